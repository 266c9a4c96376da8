/**
 * One request and its response on one connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../core/mod.ts";
import { delayEnd } from "./connection_end.ts";
import type { EndpointConnection } from "./endpoint_connections.ts";
import type { BodyRemainder, BodySink, SendResult } from "./endpoint_sender.ts";
import { headerOf } from "./header_fields.ts";
import type { BodyFraming } from "./received_bytes.ts";
import type { RequestCodec, ResponseFields } from "./request_codec.ts";
import { isValidHead } from "./response_head.ts";
import {
  framingOf,
  holdsAnotherResponse,
  type ResponseFraming,
} from "./response_framing.ts";

/**
 * Responses up to this size in bytes are buffered until complete, while there is
 * memory for it: a truncated one can then be retried at another endpoint or
 * reported as a failure, where the caller would otherwise get half of it.
 */
const MAX_BUFFERED_BYTES = 262_144;

/**
 * Informational responses before a response. Each is handled by the event loop,
 * so an endpoint that sends them without end would keep it from all others.
 */
const MAX_INFORMATIONAL = 16;
/** How much of a refusal's body is read to keep its connection, in bytes. */
const MAX_DISCARDED_BYTES = 262_144;
/** How long a refusal's body is read to keep its connection, in ms. */
const MAX_DISCARD_MS = 1_000;

/** Dependencies of an exchange. */
export interface ExchangeOptions {
  /** The request id that the response must have. */
  readonly requestId: string;
  readonly codec: RequestCodec;
  readonly clock: Clock;
  /** Checked once a new connection is open, before the request is written. */
  readonly maySend: () => boolean;
  /** Asked before bytes of the response are kept; false streams the rest. */
  readonly mayBuffer: (bytes: number) => boolean;
  /** Called with the header of the response, if it belongs to the request. */
  readonly onHead: (fields: ResponseFields) => void;
  readonly settle: (result: SendResult) => void;
}

/** Tracks one request until the end of its response. */
export class Exchange {
  readonly #opts: ExchangeOptions;
  readonly #req: ClientRequest;
  #connection: EndpointConnection | undefined;
  #res: IncomingMessage | undefined;
  #fields: ResponseFields | undefined;
  #framing: ResponseFraming = "none";
  #buffered: Buffer[] = [];
  #bodyBytes = 0;
  #settled = false;
  #sink: BodySink | undefined;
  #failure: string | undefined;
  #ended = false;
  #informational = 0;

  constructor(req: ClientRequest, opts: ExchangeOptions) {
    this.#opts = opts;
    this.#req = req;
    req.on("information", () => this.#onInformational());
    req.on("response", (res: IncomingMessage) => this.#onResponse(res));
    req.on("error", (error) => this.#onError(error));
    req.on("upgrade", (_res, socket) => {
      this.#finish({ kind: "unknown", reason: "malformed" });
      socket.destroy();
    });
    // Node.js does not report every end of a connection as an error.
    req.on("close", () => this.#onClose());
  }

  /** Idle time of the connection before the request; undefined if it was new. */
  get idleBeforeMs(): number | undefined {
    return this.#connection?.idleBeforeMs;
  }

  /** Whether bytes of the request may have been sent. */
  get sent(): boolean {
    return this.#connection?.connected === true;
  }

  /**
   * Sets the connection that the request is sent on. Must be called before the
   * request is flushed to the socket, which then waits until that is connected.
   */
  attach(socket: Socket, connection: EndpointConnection | undefined): void {
    this.#connection = connection;
    if (!socket.connecting) return;
    socket.once("connect", () => {
      if (!this.#opts.maySend()) this.#withhold();
    });
  }

  /** Aborts the exchange and resets its connection. */
  cancel(): void {
    this.#finish({ kind: "cancelled", sent: this.sent });
    // Closed instead, the system would still deliver what it has not sent, even
    // seconds later once a link that was cut works again.
    if (this.sent && !this.#req.destroyed) this.#req.socket?.resetAndDestroy();
    this.#req.destroy();
  }

  #withhold(): void {
    this.#finish({ kind: "withheld" });
    this.#req.destroy();
  }

  #onInformational(): void {
    this.#informational++;
    if (this.#informational !== MAX_INFORMATIONAL + 1) return;
    this.#finish({ kind: "unknown", reason: "malformed" });
    this.#req.destroy();
  }

  #onResponse(res: IncomingMessage): void {
    const status = res.statusCode ?? 0;
    this.#res = res;
    if (!isValidHead(status, res.rawHeaders)) {
      this.#finish({ kind: "unknown", reason: "malformed" });
      this.#req.destroy();
      return;
    }
    this.#framing = framingOf(res, this.#req.method);
    this.#fields = this.#opts.codec.readResponse(status, res.rawHeaders);
    const isCut = this.#connection?.received.isHeadCut === true ||
      holdsAnotherResponse(res.rawHeaders);
    if (isCut || !this.#matchesRequest(this.#fields)) {
      const reason = isCut ? "cut" : "foreign";
      this.#finish({ kind: "unknown", reason });
      this.#req.destroy();
      return;
    }
    this.#opts.onHead(this.#fields);
    if (this.#endsWithConnection) delayEnd(res.socket, this.#opts.clock);
    res.on("data", (chunk: Buffer) => this.#onData(res, chunk));
    res.on("end", () => this.#onEnd(res));
    res.on("error", () => this.#fail("cut"));
    this.#finishIfRefused(res, this.#fields);
  }

  /**
   * Acts on a refusal at its header. Its body is read only so that the connection
   * can be used again, which takes too long if it has no end.
   */
  #finishIfRefused(res: IncomingMessage, fields: ResponseFields): void {
    const { moved, notRun } = fields;
    if (!moved && !notRun) return;
    const timer = this.#opts.clock.after(
      MAX_DISCARD_MS,
      () => void this.#req.destroy(),
    );
    res.once("close", () => timer.close());
    this.#finish({ kind: "not-run", moved, fields });
  }

  #onData(res: IncomingMessage, chunk: Buffer): void {
    this.#bodyBytes += chunk.length;
    if (this.#sink !== undefined) {
      if (!this.#sink.data(chunk)) res.pause();
      return;
    }
    // A refusal.
    if (this.#settled) {
      if (this.#bodyBytes > MAX_DISCARDED_BYTES) this.#req.destroy();
      return;
    }
    this.#buffered.push(chunk);
    const mayBuffer = this.#opts.mayBuffer(chunk.length);
    if (mayBuffer && this.#bodyBytes <= MAX_BUFFERED_BYTES) return;
    res.pause();
    this.#deliver(res, this.#remainder(res));
  }

  #onEnd(res: IncomingMessage): void {
    if (!this.#isComplete(res)) return this.#fail("cut");
    this.#ended = true;
    this.#detectSurplus(res);
    if (this.#sink !== undefined) this.#sink.end();
    else this.#deliver(res, undefined);
  }

  /**
   * The parser reports a close-delimited response as complete after a reset, and
   * if the endpoint closes after a header whose length field is missing.
   */
  #isComplete(res: IncomingMessage): boolean {
    if (!this.#endsWithConnection) return res.complete;
    const isEmpty = this.#bodyBytes === 0 && isSuccess(res.statusCode ?? 0);
    return res.complete && !isEmpty && this.#connection?.broken !== true;
  }

  get #endsWithConnection(): boolean {
    return this.#framing === "connection";
  }

  /** Keeps the connection from reuse if bytes arrived after the response. */
  #detectSurplus(res: IncomingMessage): void {
    const connection = this.#connection;
    if (connection === undefined) return;
    const isChunked =
      headerOf(res.rawHeaders, "transfer-encoding") !== undefined;
    const framing: BodyFraming = isChunked
      ? { kind: "chunked" }
      : { kind: "length", bytes: this.#bodyBytes };
    if (!connection.received.endsWith(framing)) connection.tainted = true;
  }

  #fail(reason: "cut" | "malformed" | "broken"): void {
    if (this.#ended) return;
    if (this.#connection !== undefined) this.#connection.tainted = true;
    this.#failure = reason;
    this.#sink?.fail(reason);
    this.#finish({ kind: "unknown", reason });
  }

  #onError(error: Error & { readonly code?: string }): void {
    const res = this.#res;
    // An error after a complete response does not affect it; `end` still follows.
    if (res?.complete && !this.#endsWithConnection) return;
    if (!this.sent) {
      const reason = error.code ?? error.message;
      return this.#finish({ kind: "unsent", reason });
    }
    const malformed = error.code?.startsWith("HPE_") === true;
    const hasResponse = res !== undefined;
    this.#fail(hasResponse ? "cut" : malformed ? "malformed" : "broken");
  }

  #onClose(): void {
    if (this.#res !== undefined || this.#settled) return;
    if (this.sent) this.#fail("broken");
    else this.#finish({ kind: "unsent", reason: "closed" });
  }

  /**
   * Whether a response belongs to the request. A late response to an earlier
   * request would otherwise go to the wrong caller. Refusals may have no id.
   */
  #matchesRequest({ requestId, notRun, moved }: ResponseFields): boolean {
    if (requestId === undefined) return notRun || moved;
    return requestId === this.#opts.requestId;
  }

  #deliver(res: IncomingMessage, rest: BodyRemainder | undefined): void {
    const fields = this.#fields;
    if (fields === undefined || this.#settled) return;
    const bytes = Buffer.concat(this.#buffered);
    this.#buffered = [];
    this.#finish({
      kind: "answer",
      status: res.statusCode ?? 0,
      headers: res.rawHeaders,
      fields,
      body: {
        bytes,
        remainder: rest,
        endsWithConnection: this.#endsWithConnection,
      },
    });
  }

  #remainder(res: IncomingMessage): BodyRemainder {
    return {
      pipe: (sink) => {
        this.#sink = sink;
        if (this.#failure !== undefined) sink.fail(this.#failure);
        else if (this.#ended) sink.end();
        else res.resume();
      },
      resume: () => void res.resume(),
      cancel: () => void this.#req.destroy(),
    };
  }

  #finish(result: SendResult): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#opts.settle(result);
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
