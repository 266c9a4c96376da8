/**
 * What one caller may take of a listener: header and body size, connections
 * and time.
 *
 * Without them a single caller holds up all others: by connections that it
 * opens and leaves, by headers that it sends a byte a minute, or by a body
 * without end. One would notice memory and open sockets that grow while the
 * number of answered requests does not.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Outcome } from "../core/mod.ts";

/** Limits of a listener. */
export interface ListenerLimits {
  /** Bytes of a request's header fields together. */
  readonly headerBytes: number;
  /** Bytes of a request's body. */
  readonly bodyBytes: number;
  /** Connections over all callers. */
  readonly connections: number;
  /** Connections from one address. */
  readonly connectionsPerAddress: number;
  /** How long a caller may take to send its header fields, in milliseconds. */
  readonly headerMs: number;
  /** How long a caller may take to send a whole request, in milliseconds. */
  readonly requestMs: number;
  /** How long a connection may rest between requests, in milliseconds. */
  readonly idleMs: number;
}

/** How often times and sizes are looked at, in milliseconds. */
export const CHECK_EVERY_MS = 1_000;

/** Holds a server to its limits. */
export class LimitGuard {
  readonly #limits: ListenerLimits;
  readonly #perAddress = new Map<string, number>();
  readonly #bodies = new Map<IncomingMessage, number>();
  /** The request that each connection is in the middle of. */
  readonly #running = new WeakMap<Duplex, ServerResponse>();
  readonly #timer: NodeJS.Timeout;

  constructor(server: Server, limits: ListenerLimits) {
    this.#limits = limits;
    server.maxConnections = limits.connections;
    server.headersTimeout = limits.headerMs;
    server.requestTimeout = limits.requestMs;
    server.keepAliveTimeout = limits.idleMs;
    server.on("connection", (socket: Socket) => this.#count(socket));
    server.on("clientError", (cause, socket) => {
      answerClientError(cause, socket, this.#running.get(socket));
    });
    this.#timer = setInterval(() => this.#sweep(), CHECK_EVERY_MS);
    this.#timer.unref();
  }

  /**
   * Whether a request may go on. A body of announced length is judged by its
   * announcement, another by what has come, so that it need not be kept; what
   * came in one piece with the header fields is not counted.
   */
  admit(req: IncomingMessage, res: ServerResponse): boolean {
    const announced = Number(req.headers["content-length"] ?? 0);
    if (announced > this.#limits.bodyBytes) {
      refuseBody(res, this.#limits.bodyBytes);
      return false;
    }
    this.#running.set(req.socket, res);
    res.once("close", () => this.#running.delete(req.socket));
    if (req.headers["transfer-encoding"] !== undefined) {
      this.#bodies.set(req, req.socket.bytesRead);
      req.once("close", () => this.#bodies.delete(req));
    }
    return true;
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #count(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    const open = (this.#perAddress.get(address) ?? 0) + 1;
    this.#perAddress.set(address, open);
    socket.once("close", () => this.#uncount(address));
    if (open > this.#limits.connectionsPerAddress) socket.destroy();
  }

  #uncount(address: string): void {
    const left = (this.#perAddress.get(address) ?? 1) - 1;
    if (left > 0) this.#perAddress.set(address, left);
    else this.#perAddress.delete(address);
  }

  #sweep(): void {
    for (const [req, from] of this.#bodies) {
      const taken = req.socket.bytesRead - from;
      if (taken > this.#limits.bodyBytes) req.socket.destroy();
    }
  }
}

function refuseBody(res: ServerResponse, limit: number): void {
  const message = `a body may have ${limit} bytes`;
  const body = refusal("value_too_large", message, "not-run");
  res.writeHead(413, { ...headersFor("not-run"), "connection": "close" });
  res.end(body);
}

/**
 * Answers what could not be read to its end. Nothing was run of a request that
 * had not begun; of one whose body broke off, an endpoint may have seen a part.
 */
function answerClientError(
  cause: Error & { readonly code?: string },
  socket: Duplex,
  running: ServerResponse | undefined,
): void {
  const begun = running !== undefined;
  if (
    !socket.writable || cause.code === "ECONNRESET" || running?.headersSent
  ) {
    socket.destroy();
    return;
  }
  const [status, message] = CLIENT_ERRORS[cause.code ?? ""] ?? MALFORMED;
  const outcome = begun ? "unknown" : "not-run";
  const body = refusal("bad_request", message, outcome);
  const fields = Object.entries({
    ...headersFor(outcome),
    "connection": "close",
    "content-length": String(body.length),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.end(`HTTP/1.1 ${status}\r\n${fields.join("")}\r\n${body}`);
}

function headersFor(outcome: Outcome): Record<string, string> {
  return {
    "content-type": "application/json",
    "x-magnoliahook-outcome": outcome,
  };
}

const MALFORMED = ["400 Bad Request", "the request is malformed"] as const;
const CLIENT_ERRORS: Readonly<Record<string, readonly [string, string]>> = {
  HPE_HEADER_OVERFLOW: [
    "431 Request Header Fields Too Large",
    "the header fields are too large",
  ],
  ERR_HTTP_REQUEST_TIMEOUT: [
    "408 Request Timeout",
    "the request took too long to arrive",
  ],
};

function refusal(code: string, message: string, outcome: Outcome): string {
  return JSON.stringify({ code, message, path: [], outcome });
}
