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

/** Follows one request through undici's callbacks. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #req: OutgoingRequest;
  readonly #codec: RequestCodec;
  readonly #settle: (result: SendResult) => void;
  /** Called once the connection is free, or broken. */
  readonly #released: (reusable: boolean) => void;
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
    },
  ) {
    this.#req = req;
    this.#codec = codec;
    this.#settle = done.settle;
    this.#released = done.released;
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
    if (this.#fields.requestId === this.#req.requestId) return;
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
    this.#ended = true;
    this.#released(true);
    if (this.#sink !== undefined) this.#sink.end();
    else this.#answer(undefined);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error & { code?: string },
  ): void {
    this.#released(false);
    this.#failure = error.code ?? error.message;
    if (this.#sink !== undefined) this.#sink.fail(this.#failure);
    if (!this.sent) {
      this.#finish({ kind: "unsent", reason: this.#failure });
      return;
    }
    const begun = this.#status !== 0;
    const malformed = this.#failure.startsWith("HPE_");
    const reason = begun ? "cut" : malformed ? "malformed" : "broken";
    this.#finish({ kind: "unknown", reason });
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
    const { status, headers } = {
      status: this.#status,
      headers: this.#headers,
    };
    const body = { bytes, rest };
    this.#finish({ kind: "answer", status, headers, fields, body });
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
