/**
 * Simulated endpoints with processing time and lost responses. Every request
 * that reaches one is reported to `onRun`.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { ok, type Result } from "neverthrow";
import {
  type Clock,
  fail,
  type Failure,
  type Random,
} from "../../src/core/mod.ts";
import type {
  EndpointAnswer,
  EndpointClient,
  EndpointReport,
  EndpointRequest,
} from "../../src/endpoints/mod.ts";
import { FORWARD_PATH } from "../../src/gateway/mod.ts";
import { inject } from "./inject.ts";
import type { NetworkNode, SoakNetwork } from "./soak_network.ts";

/** One execution of a request at an endpoint. */
export interface EndpointRun {
  readonly endpoint: string;
  readonly account: string;
  readonly request: string;
  readonly operation: string | undefined;
  readonly at: number;
  readonly from: string;
  readonly keySeen: boolean;
}

const MAX_WORK_MS = 120;
const CONNECT_MS = 5;

/** All simulated endpoints, keyed by URL. */
export class SoakEndpoints {
  readonly inFlight: Map<string, number> = new Map();
  readonly faults = { lose: 0, probes: 0 };
  /** Called when an endpoint starts a request. */
  onRun: (run: EndpointRun) => void = () => {};
  /** Called for each forwarded request, with its body size. */
  onForward: (from: NetworkNode, url: string, bytes: number) => void = () => {};
  readonly #world: Clock;
  readonly #random: Random;
  readonly #network: SoakNetwork;

  constructor(world: Clock, random: Random, network: SoakNetwork) {
    this.#world = world;
    this.#random = random;
    this.#network = network;
  }

  /** The endpoint client of one instance. */
  clientOf(from: NetworkNode): EndpointClient {
    return {
      send: (req) => this.#send(from, req),
      probe: () =>
        Promise.resolve(
          this.#random.next() < this.faults.probes
            ? fail<EndpointReport>("endpoint_failed", "no report")
            : ok<EndpointReport, Failure>({ ready: true, inFlight: undefined }),
        ),
      close: () => Promise.resolve(),
    };
  }

  async #send(
    from: NetworkNode,
    req: EndpointRequest,
  ): Promise<Result<EndpointAnswer, Failure>> {
    await from.clock.untilRunning();
    const body = await bytesOf(req.body);
    if (req.path.startsWith(FORWARD_PATH)) {
      return await this.#forward(from, req, body);
    }
    return await this.#run(from, req, body);
  }

  /** Forwards a request to another entry instance. */
  async #forward(
    from: NetworkNode,
    req: EndpointRequest,
    body: Uint8Array,
  ): Promise<Result<EndpointAnswer, Failure>> {
    this.onForward(from, req.url, body.length);
    const headers = {
      ...req.headers,
      "x-client-account": req.account,
      "x-timeout-ms": String(Math.floor(req.timeoutMs)),
    };
    const answer = await this.#network.call(
      from,
      req.url,
      (h) =>
        inject(h.forwards, {
          method: req.method,
          url: req.path,
          headers,
          body,
        }),
      { timeoutMs: req.timeoutMs, once: true },
    );
    if (answer.isErr()) {
      return fail("endpoint_failed", "no answer", {
        outcome: answer.error.outcome ?? "unknown",
      });
    }
    const { status, headers: responseHeaders, body: bytes } = answer.value;
    if (status === undefined) return incompleteResponse();
    if (responseHeaders["x-not-run"] === "true") {
      return fail("endpoint_failed", "shed", { outcome: "not-run" });
    }
    return ok({
      status,
      headers: responseHeaders,
      body: Readable.from([bytes]),
    });
  }

  /** Runs a request to its end, even if the sender timed out or was killed. */
  #run(
    from: NetworkNode,
    req: EndpointRequest,
    body: Uint8Array,
  ): Promise<Result<EndpointAnswer, Failure>> {
    const endpoint = req.url;
    this.inFlight.set(endpoint, (this.inFlight.get(endpoint) ?? 0) + 1);
    this.onRun({
      endpoint,
      account: req.account,
      request: req.headers["x-request-id"] ?? "",
      operation: req.headers["idempotency-key"],
      at: this.#world.now(),
      from: from.name,
      keySeen: req.headers["authorization"] !== undefined,
    });
    const work = CONNECT_MS + this.#random.below(MAX_WORK_MS);
    const lost = this.#random.next() < this.faults.lose;
    return new Promise((resolve) => {
      const settle = async (result: Result<EndpointAnswer, Failure>) => {
        await from.clock.untilRunning();
        resolve(result);
      };
      const timeout = from.clock.after(
        req.timeoutMs,
        () =>
          resolve(fail("deadline_exceeded", "late", { outcome: "unknown" })),
      );
      this.#world.after(work, () => {
        const now = this.inFlight.get(endpoint) ?? 1;
        this.inFlight.set(endpoint, now - 1);
        if (lost) return;
        timeout.close();
        const text = `${req.headers["x-request-id"]} ${body.length}`;
        void settle(ok({
          status: 200,
          headers: {},
          body: Readable.from([Buffer.from(text)]),
        }));
      });
    });
  }
}

function incompleteResponse<T>(): Result<T, Failure> {
  return fail(
    "endpoint_failed",
    "connection closed before the response was complete",
    {
      outcome: "unknown",
    },
  );
}

async function bytesOf(
  body: Readable | Uint8Array | undefined,
): Promise<Uint8Array> {
  if (body === undefined) return new Uint8Array();
  if (body instanceof Uint8Array) return body;
  return Buffer.concat(await body.toArray());
}
