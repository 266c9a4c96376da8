/**
 * Sends requests to endpoints over HTTP/1.1 on kept connections.
 *
 * A connection carries one request at a time. One that was idle for nearly as
 * long as the endpoint allows is not used: its close may cross the request,
 * which is then lost.
 *
 * @module
 */
import { type ClientRequest, request } from "node:http";
import type { Clock } from "../core/mod.ts";
import { IdleTimeouts } from "../decisions/placement/mod.ts";
import { splitAddress } from "../fleet/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import { EndpointConnections } from "./endpoint_connections.ts";
import type {
  EndpointSender,
  OutgoingRequest,
  Sending,
  SendResult,
} from "./endpoint_sender.ts";
import { Exchange } from "./exchange.ts";
import type { RequestCodec } from "./request_codec.ts";

/** Methods whose requests usually have no body. */
const BODYLESS: ReadonlySet<string> = new Set(["GET", "HEAD", "DELETE"]);

/** The sender that instances use. */
export class HttpEndpointSender implements EndpointSender {
  readonly #codec: RequestCodec;
  readonly #clock: Clock;
  readonly #connections: EndpointConnections;
  readonly #limits = new IdleTimeouts();

  constructor(codec: RequestCodec, clock: Clock) {
    this.#codec = codec;
    this.#clock = clock;
    this.#connections = new EndpointConnections(clock);
  }

  send(endpoint: EndpointRow, out: OutgoingRequest): Sending {
    const address = splitAddress(endpoint.record.address);
    this.#connections.retire(address, this.#limits.of(endpoint));
    let req: ClientRequest;
    try {
      req = request({
        ...address,
        method: out.method,
        path: out.path,
        headers: headersOf(out),
        agent: this.#connections,
      });
    } catch (cause) {
      // The runtime does not take its path or fields; nothing went out.
      return unsent(String(cause));
    }
    let settle: (result: SendResult) => void;
    const result = new Promise<SendResult>((resolve) => settle = resolve);
    const exchange = new Exchange(req, {
      requestId: out.requestId,
      codec: this.#codec,
      clock: this.#clock,
      settle: (result) => {
        this.#learn(endpoint, result, exchange.restedMs);
        settle(result);
      },
    });
    req.once("socket", (socket) => {
      exchange.attach(this.#connections.of(socket));
    });
    req.end(out.body);
    return { result, cancel: () => exchange.cancel() };
  }

  forget(endpoint: EndpointRow): void {
    this.#connections.retire(splitAddress(endpoint.record.address), 0);
  }

  close(): void {
    this.#connections.destroy();
  }

  /** Learns how long connections to the endpoint may be idle. */
  #learn(
    endpoint: EndpointRow,
    result: SendResult,
    restedMs: number | undefined,
  ): void {
    if (result.kind === "answer") {
      const { keepAliveMs } = result.fields;
      if (keepAliveMs !== undefined) this.#limits.stated(endpoint, keepAliveMs);
      if (restedMs !== undefined) this.#limits.reused(endpoint);
      return;
    }
    const broke = result.kind === "unknown" && result.reason === "broken";
    if (broke && restedMs !== undefined) this.#limits.lost(endpoint, restedMs);
  }
}

/** The length is stated, or the runtime would send the body in chunks. */
function headersOf({ method, headers, body }: OutgoingRequest): string[] {
  if (body === undefined && BODYLESS.has(method)) return headers;
  return [...headers, "Content-Length", String(body?.length ?? 0)];
}

function unsent(reason: string): Sending {
  return {
    result: Promise.resolve({ kind: "unsent", reason }),
    cancel: () => {},
  };
}
