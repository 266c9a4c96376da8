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
import type { LinkObserver, LinkSample } from "../decisions/links/mod.ts";
import { IdleTimeouts } from "../decisions/placement/mod.ts";
import { splitAddress } from "../fleet/mod.ts";
import {
  type EndpointConnectionOptions,
  EndpointConnections,
} from "./endpoint_connections.ts";
import type {
  Destination,
  EndpointSender,
  OutgoingRequest,
  PendingSend,
  SendResult,
} from "./endpoint_sender.ts";
import { Exchange } from "./exchange.ts";
import { probeConnection } from "./probe_connection.ts";
import type { HeldBody } from "./held_body.ts";
import type { RequestCodec } from "./request_codec.ts";

/** Methods whose requests usually have no body. */
const BODYLESS_METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "DELETE",
]);

/**
 * How soon after the request a connection breaks that was dropped while idle, in
 * milliseconds: the reset takes a round trip. An endpoint that crashes or loses
 * the response of a request that it runs mostly breaks it later.
 */
const MAX_STALE_BREAK_MS = 150;

/** Options of the sender. */
export interface HttpEndpointSenderOptions extends EndpointConnectionOptions {
  readonly links?: LinkObserver;
}

/** Sends requests with the Node.js HTTP client. */
export class HttpEndpointSender implements EndpointSender {
  readonly #codec: RequestCodec;
  readonly #clock: Clock;
  readonly #connections: EndpointConnections;
  readonly #idle = new IdleTimeouts();
  readonly #links: LinkObserver | undefined;

  constructor(
    codec: RequestCodec,
    clock: Clock,
    opts: HttpEndpointSenderOptions = {},
  ) {
    this.#codec = codec;
    this.#clock = clock;
    this.#connections = new EndpointConnections(clock, opts);
    this.#links = opts.links;
  }

  send(endpoint: Destination, outgoing: OutgoingRequest): PendingSend {
    const start = () => this.#start(endpoint, outgoing);
    return this.hasIdle(endpoint) ? afterReads(start) : start();
  }

  #start(
    endpoint: Destination,
    outgoing: OutgoingRequest,
  ): PendingSend {
    const { address } = endpoint;
    const canSend = this.#connections.hasIdle(address) || outgoing.mayConnect();
    if (!canSend || !outgoing.maySend()) return settled({ kind: "withheld" });
    let req: ClientRequest;
    try {
      req = request({
        ...splitAddress(address),
        method: outgoing.method,
        path: outgoing.path,
        headers: headersOf(outgoing),
        agent: this.#connections,
      });
    } catch (cause) {
      // Node.js rejected the path or a header field; nothing was sent.
      return settled({ kind: "unsent", reason: String(cause) });
    }
    this.#links?.sent();
    const sentAt = this.#clock.now();
    let settle: (result: SendResult) => void;
    const result = new Promise<SendResult>((resolve) => settle = resolve);
    const exchange = new Exchange(req, {
      requestId: outgoing.requestId,
      codec: this.#codec,
      clock: this.#clock,
      maySend: outgoing.maySend,
      mayBuffer: outgoing.mayBuffer,
      onHead: outgoing.onHead,
      settle: (result) => {
        this.#recordIdleTimeout(endpoint, result, {
          idleMs: exchange.idleBeforeMs,
          tookMs: this.#clock.now() - sentAt,
        });
        this.#links?.ended(
          linkSample(endpoint, result, exchange.idleBeforeMs),
        );
        settle(result);
      },
    });
    req.once("socket", (socket) => {
      exchange.attach(socket, this.#connections.of(socket));
    });
    writeBody(req, outgoing.body);
    return { result, cancel: () => exchange.cancel() };
  }

  hasIdle(endpoint: Destination): boolean {
    const { address } = endpoint;
    this.#connections.closeIdle(address, this.#idle.of(endpoint));
    return this.#connections.hasIdle(address);
  }

  /**
   * Whether a new connection to an endpoint works: it responds, or stays open
   * without a response. The request is a `GET` of a path.
   */
  probe(endpoint: Destination, path: string): Promise<boolean> {
    return probeConnection(this.#connections, splitAddress(endpoint.address), {
      path,
      clock: this.#clock,
    });
  }

  closeIdleConnections(endpoint: Destination): void {
    this.#connections.closeIdle(endpoint.address, 0);
  }

  close(): void {
    this.#connections.destroy();
  }

  /** Updates how long connections to the endpoint may be idle. */
  #recordIdleTimeout(
    endpoint: Destination,
    result: SendResult,
    { idleMs, tookMs }: {
      readonly idleMs: number | undefined;
      readonly tookMs: number;
    },
  ): void {
    if (result.kind === "answer") {
      const { keepAliveMs } = result.fields;
      if (keepAliveMs !== undefined) this.#idle.stated(endpoint, keepAliveMs);
      if (idleMs !== undefined) this.#idle.reused(endpoint);
      return;
    }
    const isBroken = result.kind === "unknown" && result.reason === "broken";
    const isStale = isBroken && tookMs <= MAX_STALE_BREAK_MS;
    if (isStale && idleMs !== undefined) this.#idle.lost(endpoint, idleMs);
  }
}

/** What the end of an attempt says about the link. */
function linkSample(
  { address }: Destination,
  result: SendResult,
  idleBeforeMs: number | undefined,
): LinkSample {
  const isNewConnection = idleBeforeMs === undefined;
  return { address, outcome: linkOutcome(result), isNewConnection };
}

function linkOutcome(result: SendResult): LinkSample["outcome"] {
  switch (result.kind) {
    case "answer":
    case "not-run":
      return "response";
    case "unsent":
      return "failure";
    case "unknown":
      return result.reason === "broken" ? "failure" : "response";
    case "cancelled":
    case "withheld":
      return "none";
  }
}

/** Adds the length; without it Node.js would send the body in chunks. */
function headersOf({ method, headers, body }: OutgoingRequest): string[] {
  if (body === undefined && BODYLESS_METHODS.has(method)) return headers;
  return [...headers, "Content-Length", String(body?.bytes ?? 0)];
}

/** Writes a body and ends the request. */
function writeBody(req: ClientRequest, body: HeldBody | undefined): void {
  if (body !== undefined) {
    const release = body.hold();
    req.once("finish", release);
    req.once("close", release);
    for (const block of body.blocks) req.write(block);
  }
  req.end();
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
