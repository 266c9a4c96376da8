/**
 * Sends requests to endpoints over persistent HTTP/1.1 connections.
 *
 * A connection carries one request at a time. It is not reused after being idle
 * for nearly the endpoint's keep-alive timeout: the endpoint may close it while
 * the request is on the way, which is then lost. Nor is it reused before what
 * has arrived on it was read: after a stall of the event loop that may be the
 * endpoint's close, or bytes that belong to no request.
 *
 * @module
 */
import { type ClientRequest, request } from "node:http";
import type { Clock } from "../core/mod.ts";
import { IdleTimeouts } from "../decisions/placement/mod.ts";
import { type HostPort, splitAddress } from "../fleet/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import {
  type EndpointConnectionOptions,
  EndpointConnections,
} from "./endpoint_connections.ts";
import type {
  EndpointSender,
  OutgoingRequest,
  PendingSend,
  SendResult,
} from "./endpoint_sender.ts";
import { Exchange } from "./exchange.ts";
import type { RequestCodec } from "./request_codec.ts";

/** Methods whose requests usually have no body. */
const BODYLESS_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "DELETE",
]);

/** Sends requests with the Node.js HTTP client. */
export class HttpEndpointSender implements EndpointSender {
  readonly #codec: RequestCodec;
  readonly #clock: Clock;
  readonly #connections: EndpointConnections;
  readonly #idle = new IdleTimeouts();

  constructor(
    codec: RequestCodec,
    clock: Clock,
    opts: EndpointConnectionOptions = {},
  ) {
    this.#codec = codec;
    this.#clock = clock;
    this.#connections = new EndpointConnections(clock, opts);
  }

  send(endpoint: EndpointRow, outgoing: OutgoingRequest): PendingSend {
    const address = splitAddress(endpoint.record.address);
    this.#connections.closeIdle(address, this.#idle.of(endpoint));
    const start = () => this.#start(endpoint, address, outgoing);
    return this.#connections.hasIdle(address) ? afterReads(start) : start();
  }

  #start(
    endpoint: EndpointRow,
    address: HostPort,
    outgoing: OutgoingRequest,
  ): PendingSend {
    if (!outgoing.maySend()) return settled({ kind: "withheld" });
    let req: ClientRequest;
    try {
      req = request({
        ...address,
        method: outgoing.method,
        path: outgoing.path,
        headers: headersOf(outgoing),
        agent: this.#connections,
      });
    } catch (cause) {
      // Node.js rejected the path or a header field; nothing was sent.
      return settled({ kind: "unsent", reason: String(cause) });
    }
    let settle: (result: SendResult) => void;
    const result = new Promise<SendResult>((resolve) => settle = resolve);
    const exchange = new Exchange(req, {
      requestId: outgoing.requestId,
      codec: this.#codec,
      clock: this.#clock,
      maySend: outgoing.maySend,
      onHead: outgoing.onHead,
      settle: (result) => {
        this.#recordIdleTimeout(endpoint, result, exchange.idleBeforeMs);
        settle(result);
      },
    });
    req.once("socket", (socket) => {
      exchange.attach(socket, this.#connections.of(socket));
    });
    req.end(outgoing.body);
    return { result, cancel: () => exchange.cancel() };
  }

  closeIdleConnections(endpoint: EndpointRow): void {
    this.#connections.closeIdle(splitAddress(endpoint.record.address), 0);
  }

  close(): void {
    this.#connections.destroy();
  }

  /** Updates how long connections to the endpoint may be idle. */
  #recordIdleTimeout(
    endpoint: EndpointRow,
    result: SendResult,
    idleMs: number | undefined,
  ): void {
    if (result.kind === "answer") {
      const { keepAliveMs } = result.fields;
      if (keepAliveMs !== undefined) this.#idle.stated(endpoint, keepAliveMs);
      if (idleMs !== undefined) this.#idle.reused(endpoint);
      return;
    }
    const isBroken = result.kind === "unknown" && result.reason === "broken";
    if (isBroken && idleMs !== undefined) this.#idle.lost(endpoint, idleMs);
  }
}

/** Adds the length; without it Node.js would send the body in chunks. */
function headersOf({ method, headers, body }: OutgoingRequest): string[] {
  if (body === undefined && BODYLESS_METHODS.has(method)) return headers;
  return [...headers, "Content-Length", String(body?.length ?? 0)];
}

/** Starts a send once the event loop has read what sockets have received. */
function afterReads(start: () => PendingSend): PendingSend {
  let started: PendingSend | undefined;
  let isCancelled = false;
  const result = new Promise<SendResult>((resolve) => {
    setImmediate(() => {
      if (isCancelled) return resolve({ kind: "cancelled", sent: false });
      started = start();
      resolve(started.result);
    });
  });
  const cancel = () => {
    isCancelled = true;
    started?.cancel();
  };
  return { result, cancel };
}

function settled(result: SendResult): PendingSend {
  return { result: Promise.resolve(result), cancel: () => {} };
}
