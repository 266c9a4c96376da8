/**
 * One request and its answer on one connection.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
import type {
  AnswerRest,
  AnswerSink,
  OutgoingRequest,
  SendResult,
} from "./endpoint_sender.ts";
import type { AnswerFields, RequestCodec } from "./request_codec.ts";

/**
 * Answers up to this size are held until they are whole, in bytes: one that
 * breaks off can then be had from another endpoint, or be told as a failure,
 * where a caller would otherwise get half of it. Nearly all are smaller.
 */
const HELD_BYTES = 262_144;

/** The connection that an exchange runs on, as far as the socket shows. */
export interface ConnectionState {
  /** The other side has closed it in order. */
  readonly ended: boolean;
  /** It broke. */
  readonly broken: boolean;
}

/** Follows one request through undici's callbacks. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #req: OutgoingRequest;
  readonly #codec: RequestCodec;
  readonly #settle: (result: SendResult) => void;
  /** Called once the connection is free, or broken. */
  readonly #released: (reusable: boolean) => void;
  readonly #connection: ConnectionState;
  #controller: Dispatcher.DispatchController | undefined;
  #status = 0;
  #headers: string[] = [];
  #fields: AnswerFields | undefined;
  #held: Buffer[] = [];
  #heldBytes = 0;
  #settled = false;
  #cancelled = false;
  #sink: AnswerSink | undefined;
  #failure: string | undefined;
  #ended = false;

  constructor(
    req: OutgoingRequest,
    codec: RequestCodec,
    done: {
      readonly settle: (result: SendResult) => void;
      readonly released: (reusable: boolean) => void;
      readonly connection: ConnectionState;
    },
  ) {
    this.#req = req;
    this.#codec = codec;
    this.#settle = done.settle;
    this.#released = done.released;
    this.#connection = done.connection;
  }

  /** Whether bytes of the request may have gone out. */
  get sent(): boolean {
    return this.#controller !== undefined;
  }

  /** Ends the exchange; gives false if it has not begun yet. */
  cancel(): boolean {
    this.#cancelled = true;
    this.#finish({ kind: "cancelled", sent: this.sent });
    this.#controller?.abort(new Error("cancelled"));
    return this.sent;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#cancelled) controller.abort(new Error("cancelled"));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (status < 200) return;
    this.#status = status;
    this.#headers = texts(controller.rawHeaders);
    this.#fields = this.#codec.readAnswer(status, this.#headers);
    if (this.#isAnswer(this.#fields)) return;
    this.#finish({ kind: "unknown", reason: "foreign" });
    controller.abort(new Error("the answer is that of another request"));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.#sink !== undefined) {
      if (!this.#sink.data(chunk)) controller.pause();
      return;
    }
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    if (this.#heldBytes <= HELD_BYTES) return;
    controller.pause();
    this.#answer(this.#rest());
  }

  onResponseEnd(): void {
    const whole = this.#isWhole();
    this.#released(whole && !this.#connection.ended);
    if (!whole) return this.#brokeOff("cut");
    this.#ended = true;
    if (this.#sink !== undefined) this.#sink.end();
    else this.#answer(undefined);
  }

  /**
   * Whether an answer that the library takes for whole is. It also takes one
   * for whole whose connection was to close and broke, or closed between two
   * chunks; the caller would get half an answer as a success.
   */
  #isWhole(): boolean {
    const { ended, broken } = this.#connection;
    if (broken) return false;
    return !ended || !this.#isChunked();
  }

  /** Whether an answer has begun whose end is that of the connection. */
  get endsWithConnection(): boolean {
    return this.#status !== 0 && !this.#isChunked() &&
      !this.#names("content-length");
  }

  #isChunked(): boolean {
    return this.#names("transfer-encoding");
  }

  #names(field: string): boolean {
    return this.#headers.some((name, i) =>
      i % 2 === 0 && name.toLowerCase() === field
    );
  }

  #brokeOff(reason: "cut" | "malformed" | "broken"): void {
    this.#failure = reason;
    this.#sink?.fail(reason);
    this.#finish({ kind: "unknown", reason });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error & { code?: string },
  ): void {
    this.#released(false);
    const why = error.code ?? error.message;
    const malformed = error.name === "HTTPParserError";
    if (!this.sent) {
      this.#finish({ kind: "unsent", reason: why });
      return;
    }
    const begun = this.#status !== 0;
    this.#brokeOff(begun ? "cut" : malformed ? "malformed" : "broken");
  }

  /**
   * Whether this answers the request that was sent. An answer to an earlier
   * request can come late, where that to the next one is due; the caller would
   * get what is somebody else's. A refusal may come without an id.
   */
  #isAnswer({ requestId, notRun, moved }: AnswerFields): boolean {
    if (requestId === undefined) return notRun || moved;
    return requestId === this.#req.requestId;
  }

  #answer(rest: AnswerRest | undefined): void {
    const fields = this.#fields;
    if (fields === undefined || this.#settled) return;
    if (fields.moved || fields.notRun) {
      this.#finish({ kind: "not-run", moved: fields.moved, fields });
      return;
    }
    const bytes = Buffer.concat(this.#held);
    this.#held = [];
    this.#finish({
      kind: "answer",
      status: this.#status,
      headers: this.#headers,
      fields,
      body: { bytes, rest },
    });
  }

  #rest(): AnswerRest {
    return {
      pipe: (sink) => {
        this.#sink = sink;
        if (this.#failure !== undefined) sink.fail(this.#failure);
        else if (this.#ended) sink.end();
        else this.#controller?.resume();
      },
      resume: () => this.#controller?.resume(),
      cancel: () => this.#controller?.abort(new Error("cancelled")),
    };
  }

  #finish(result: SendResult): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#settle(result);
  }
}

function texts(
  raw: Dispatcher.DispatchController["rawHeaders"],
): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((part) =>
    typeof part === "string" ? part : part.toString("latin1")
  );
}
