/**
 * Limits of a listener: header and body size, connections and time.
 *
 * Without them a single caller can block all others, with idle connections,
 * headers sent a byte a minute, or an endless body. The symptom is that memory
 * and open sockets grow while the number of answered requests does not.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Outcome } from "../core/mod.ts";

export interface ListenerLimits {
  /** Total size of a request's header fields, in bytes. */
  readonly headerBytes: number;
  /** Size of a request's body, in bytes. */
  readonly bodyBytes: number;
  /** Connections of all callers together. */
  readonly connections: number;
  /** Connections from one address. */
  readonly connectionsPerAddress: number;
  /** Time-out for receiving the header fields, in milliseconds. */
  readonly headerMs: number;
  /** Time-out for receiving a whole request, in milliseconds. */
  readonly requestMs: number;
  /** Time-out of a connection that is idle between requests, in milliseconds. */
  readonly idleMs: number;
}

/** How often time-outs and body sizes are checked. */
export const CHECK_INTERVAL_MS = 1_000;

/** Enforces limits on a server. */
export class LimitEnforcer {
  readonly #limits: ListenerLimits;
  readonly #connectionsByAddress = new Map<string, number>();
  readonly #chunkedBodyStarts = new Map<IncomingMessage, number>();
  /** The response in progress on each connection. */
  readonly #activeResponses = new WeakMap<Duplex, ServerResponse>();
  readonly #timer: NodeJS.Timeout;

  constructor(server: Server, limits: ListenerLimits) {
    this.#limits = limits;
    server.maxConnections = limits.connections;
    server.headersTimeout = limits.headerMs;
    server.requestTimeout = limits.requestMs;
    server.keepAliveTimeout = limits.idleMs;
    server.on("connection", (socket: Socket) => this.#trackConnection(socket));
    server.on("clientError", (cause, socket) => {
      answerClientError(cause, socket, this.#activeResponses.get(socket));
    });
    this.#timer = setInterval(
      () => this.#closeOversizedBodies(),
      CHECK_INTERVAL_MS,
    );
    this.#timer.unref();
  }

  /**
   * Returns whether a request may proceed. A body with a content length is
   * checked against it. A chunked body is checked by the bytes received, so that
   * it need not be buffered; bytes received with the header fields don't count.
   */
  admit(req: IncomingMessage, res: ServerResponse): boolean {
    const contentLength = Number(req.headers["content-length"] ?? 0);
    if (contentLength > this.#limits.bodyBytes) {
      rejectLargeBody(res, this.#limits.bodyBytes);
      return false;
    }
    this.#activeResponses.set(req.socket, res);
    res.once("close", () => this.#activeResponses.delete(req.socket));
    if (req.headers["transfer-encoding"] !== undefined) {
      this.#chunkedBodyStarts.set(req, req.socket.bytesRead);
      req.once("close", () => this.#chunkedBodyStarts.delete(req));
    }
    return true;
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #trackConnection(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    const open = (this.#connectionsByAddress.get(address) ?? 0) + 1;
    this.#connectionsByAddress.set(address, open);
    socket.once("close", () => this.#untrackConnection(address));
    if (open > this.#limits.connectionsPerAddress) socket.destroy();
  }

  #untrackConnection(address: string): void {
    const left = (this.#connectionsByAddress.get(address) ?? 1) - 1;
    if (left > 0) this.#connectionsByAddress.set(address, left);
    else this.#connectionsByAddress.delete(address);
  }

  #closeOversizedBodies(): void {
    for (const [req, from] of this.#chunkedBodyStarts) {
      const received = req.socket.bytesRead - from;
      if (received > this.#limits.bodyBytes) req.socket.destroy();
    }
  }
}

function rejectLargeBody(res: ServerResponse, limit: number): void {
  const message = `the request body is larger than ${limit} bytes`;
  const body = errorBody("value_too_large", message, "not-run");
  res.writeHead(413, { ...headersFor("not-run"), "connection": "close" });
  res.end(body);
}

/**
 * Responds to a request that could not be read completely. If its body was cut
 * off, an endpoint may have received a part; otherwise nothing was executed.
 */
function answerClientError(
  cause: Error & { readonly code?: string },
  socket: Duplex,
  res: ServerResponse | undefined,
): void {
  const requestStarted = res !== undefined;
  if (
    !socket.writable || cause.code === "ECONNRESET" || res?.headersSent
  ) {
    socket.destroy();
    return;
  }
  const [status, message] = CLIENT_ERRORS[cause.code ?? ""] ?? MALFORMED;
  const outcome = requestStarted ? "unknown" : "not-run";
  const body = errorBody("bad_request", message, outcome);
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

function errorBody(code: string, message: string, outcome: Outcome): string {
  return JSON.stringify({ code, message, path: [], outcome });
}
