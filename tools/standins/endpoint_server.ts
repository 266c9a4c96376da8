/**
 * A fake HTTP endpoint with simulated processing time. Records each request,
 * and whether it exceeded the slots or carried the client's API key.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { type Random, SeededRandom } from "../../src/core/mod.ts";

/** Configuration of a fake endpoint. */
export interface EndpointSpec {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  /** Mean processing time of an ordinary request, in milliseconds. */
  readonly workMs: number;
  readonly seed: number;
}

/** A received request; times in milliseconds since the epoch. */
export interface RunRecord {
  readonly endpoint: string;
  readonly service: string;
  readonly account: string;
  readonly request: string;
  readonly startedAt: number;
  endedAt: number;
  /** More requests were in flight than there are slots. */
  readonly overSlots: boolean;
  /** The request carried an authorization header. */
  readonly keySeen: boolean;
}

const LONG_REQUEST_RATIO = 0.02;
const LONG_REQUEST_FACTOR = 5;

/** A fake endpoint that listens on loopback. */
export class EndpointServer {
  readonly spec: EndpointSpec;
  readonly runs: RunRecord[] = [];
  /** Multiplies processing times; raised to simulate a slow endpoint. */
  latencyFactor = 1;
  readonly #random: Random;
  readonly #server: Server;
  #inFlight = 0;

  private constructor(spec: EndpointSpec) {
    this.spec = spec;
    this.#random = new SeededRandom(spec.seed);
    this.#server = createServer((req, res) => void this.#serve(req, res));
  }

  /** Listens on a free port. */
  static open(spec: EndpointSpec): Promise<EndpointServer> {
    const endpoint = new EndpointServer(spec);
    return new Promise((resolve) => {
      endpoint.#server.listen(0, "127.0.0.1", () => resolve(endpoint));
    });
  }

  get url(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === "/healthz") {
      const report = { ready: true, in_flight: this.#inFlight };
      res.end(JSON.stringify(report));
      return;
    }
    this.#inFlight += 1;
    const run = this.#record(req);
    try {
      const bytes = await readLength(req);
      await workUnlessGone(res, this.#workMs(req));
      this.#answer(req, res, bytes);
    } catch {
      res.destroy();
    } finally {
      this.#inFlight -= 1;
      run.endedAt = Date.now();
    }
  }

  #record(req: IncomingMessage): RunRecord {
    const now = Date.now();
    const run: RunRecord = {
      endpoint: this.spec.id,
      service: this.spec.service,
      account: String(req.headers["x-client-account"]),
      request: String(req.headers["x-request-id"]),
      startedAt: now,
      endedAt: Infinity,
      overSlots: this.#inFlight > this.spec.slots,
      keySeen: req.headers.authorization !== undefined,
    };
    this.runs.push(run);
    return run;
  }

  /** Some requests take long, but none longer than its timeout. */
  #workMs(req: IncomingMessage): number {
    const long = this.#random.next() < LONG_REQUEST_RATIO
      ? LONG_REQUEST_FACTOR
      : 1;
    const spread = 0.5 + this.#random.next();
    const ms = this.spec.workMs * spread * long * this.latencyFactor;
    return Math.min(ms, Number(req.headers["x-timeout-ms"] ?? Infinity));
  }

  /** Echoes account and request id, so that callers detect foreign responses. */
  #answer(req: IncomingMessage, res: ServerResponse, bytes: number): void {
    const text = JSON.stringify({
      endpoint: this.spec.id,
      account: req.headers["x-client-account"],
      request: req.headers["x-request-id"],
      bytes,
    });
    res.setHeader("content-type", "application/json");
    res.setHeader("content-length", String(text.length));
    res.end(text);
  }
}

async function readLength(req: IncomingMessage): Promise<number> {
  let bytes = 0;
  for await (const chunk of req) bytes += (chunk as Uint8Array).length;
  return bytes;
}

/** Resolves after `ms`; rejects as soon as the connection closes. */
function workUnlessGone(res: ServerResponse, ms: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(resolve, ms);
    res.once("close", () => {
      clearTimeout(timer);
      reject(new Error("connection closed before the response was sent"));
    });
  });
}
