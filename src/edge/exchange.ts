/**
 * One request and its answer on one connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Clock } from "../core/mod.ts";
import { holdEnd } from "./connection_end.ts";
import type { EndpointConnection } from "./endpoint_connections.ts";
import type { AnswerRest, AnswerSink, SendResult } from "./endpoint_sender.ts";
import { headerOf } from "./header_fields.ts";
import type { AnswerFields, RequestCodec } from "./request_codec.ts";

/**
 * Answers up to this size are held until they are whole, in bytes: one that
 * breaks off can then be had from another endpoint, or be reported as a
 * failure, where a caller would otherwise get half of it.
 */
const HELD_BYTES = 262_144;

/** What an exchange works with. */
export interface ExchangeOptions {
  /** The id that the answer has to name. */
  readonly requestId: string;
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly settle: (result: SendResult) => void;
}

/** Follows one request from its connection to the end of its answer. */
export class Exchange {
  readonly #opts: ExchangeOptions;
  readonly #req: ClientRequest;
  #connection: EndpointConnection | undefined;
  #res: IncomingMessage | undefined;
  #fields: AnswerFields | undefined;
  #headAt = 0;
  #held: Buffer[] = [];
  #heldBytes = 0;
  #settled = false;
  #sink: AnswerSink | undefined;
  #failure: string | undefined;
  #ended = false;

  constructor(req: ClientRequest, opts: ExchangeOptions) {
    this.#opts = opts;
    this.#req = req;
    req.on("response", (res: IncomingMessage) => this.#onResponse(res));
    req.on("error", (error) => this.#onError(error));
  }

  /** How long the connection had been idle; undefined if it was new. */
  get restedMs(): number | undefined {
    return this.#connection?.restedMs;
  }

  /** Whether bytes of the request may have gone out. */
  get sent(): boolean {
    return this.#connection?.opened === true;
  }

  /** Takes the connection that the request goes out on. */
  attach(connection: EndpointConnection | undefined): void {
    this.#connection = connection;
  }

  /** Ends the exchange; the endpoint sees its connection close. */
  cancel(): void {
    this.#finish({ kind: "cancelled", sent: this.sent });
    this.#req.destroy();
  }

  #onResponse(res: IncomingMessage): void {
    const status = res.statusCode ?? 0;
    this.#res = res;
    this.#headAt = this.#opts.clock.now();
    this.#fields = this.#opts.codec.readAnswer(status, res.rawHeaders);
    if (!this.#isAnswer(this.#fields)) {
      this.#finish({ kind: "unknown", reason: "foreign" });
      this.#req.destroy();
      return;
    }
    if (endsWithConnection(res)) holdEnd(res.socket, this.#opts.clock);
    res.on("data", (chunk: Buffer) => this.#onData(res, chunk));
    res.on("end", () => this.#onEnd(res));
    res.on("error", () => this.#brokeOff("cut"));
  }

  #onData(res: IncomingMessage, chunk: Buffer): void {
    if (this.#sink !== undefined) {
      if (!this.#sink.data(chunk)) res.pause();
      return;
    }
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    if (this.#heldBytes <= HELD_BYTES) return;
    res.pause();
    this.#answer(res, this.#rest(res));
  }

  #onEnd(res: IncomingMessage): void {
    if (!this.#isWhole(res)) return this.#brokeOff("cut");
    this.#ended = true;
    if (this.#sink !== undefined) this.#sink.end();
    else this.#answer(res, undefined);
  }

  /** The parser takes an answer without a length for whole after a reset. */
  #isWhole(res: IncomingMessage): boolean {
    const reset = this.#connection?.broken === true && endsWithConnection(res);
    return res.complete && !reset;
  }

  #brokeOff(reason: "cut" | "malformed" | "broken"): void {
    if (this.#ended) return;
    if (this.#connection !== undefined) this.#connection.spoiled = true;
    this.#failure = reason;
    this.#sink?.fail(reason);
    this.#finish({ kind: "unknown", reason });
  }

  #onError(error: Error & { readonly code?: string }): void {
    const res = this.#res;
    // What follows a whole answer does not concern it; its end is yet to come.
    if (res?.complete && !endsWithConnection(res)) return;
    if (!this.sent) {
      const reason = error.code ?? error.message;
      return this.#finish({ kind: "unsent", reason });
    }
    const malformed = error.code?.startsWith("HPE_") === true;
    const begun = res !== undefined;
    this.#brokeOff(begun ? "cut" : malformed ? "malformed" : "broken");
  }

  /**
   * Whether this answers the request that was sent. An answer to an earlier
   * request can come late, where that to the next one is due; the caller would
   * get somebody else's. A refusal may come without an id.
   */
  #isAnswer({ requestId, notRun, moved }: AnswerFields): boolean {
    if (requestId === undefined) return notRun || moved;
    return requestId === this.#opts.requestId;
  }

  #answer(res: IncomingMessage, rest: AnswerRest | undefined): void {
    const fields = this.#fields;
    if (fields === undefined || this.#settled) return;
    if (fields.moved || fields.notRun) {
      const { moved } = fields;
      this.#finish({ kind: "not-run", moved, fields, headAt: this.#headAt });
      return;
    }
    const bytes = Buffer.concat(this.#held);
    this.#held = [];
    this.#finish({
      kind: "answer",
      status: res.statusCode ?? 0,
      headers: res.rawHeaders,
      fields,
      headAt: this.#headAt,
      body: { bytes, rest },
    });
  }

  #rest(res: IncomingMessage): AnswerRest {
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

function endsWithConnection({ rawHeaders }: IncomingMessage): boolean {
  return headerOf(rawHeaders, "content-length") === undefined &&
    headerOf(rawHeaders, "transfer-encoding") === undefined;
}
