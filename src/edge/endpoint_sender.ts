/**
 * Interface of what sends one request to one endpoint.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { EndpointRow } from "../traffic/mod.ts";
import type { AnswerFields } from "./request_codec.ts";

/** A request as it goes out. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** The id that the answer has to name. */
  readonly requestId: string;
}

/** Takes the rest of an answer that is too long to be held. */
export interface AnswerSink {
  /** Gives whether more may come at once; else `resume` asks for it. */
  data(chunk: Buffer): boolean;
  end(): void;
  /** The answer broke off; what the caller has must not look complete. */
  fail(reason: string): void;
}

/** The rest of an answer, on its way. */
export interface AnswerRest {
  pipe(sink: AnswerSink): void;
  resume(): void;
  /** Nobody wants it any more; the connection is let go. */
  cancel(): void;
}

/** An answer's body: whole, or its beginning and the rest. */
export interface AnswerBody {
  readonly bytes: Buffer;
  readonly rest: AnswerRest | undefined;
}

/** Why it is not known whether an endpoint ran a request. */
export type UnknownReason =
  /** The connection broke. */
  | "broken"
  /** The answer was that of another request. */
  | "foreign"
  /** What came was no answer. */
  | "malformed"
  /** The answer ended early. */
  | "cut";

/** Outcome of one attempt at an endpoint. */
export type SendResult =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: string[];
    readonly fields: AnswerFields;
    /** When its head came, on the instance's clock; just now if unknown. */
    readonly headAt?: number;
    readonly body: AnswerBody;
  }
  /** No byte of it can have arrived. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The endpoint said that it did not run it. */
  | {
    readonly kind: "not-run";
    readonly moved: boolean;
    readonly fields: AnswerFields;
    readonly headAt?: number;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason }
  /** `cancel` was called before an answer came. */
  | { readonly kind: "cancelled"; readonly sent: boolean };

/** A request on its way. */
export interface Sending {
  readonly result: Promise<SendResult>;
  /** Ends it; the endpoint sees its connection close. */
  cancel(): void;
}

/** Sends requests to endpoints. */
export interface EndpointSender {
  send(endpoint: EndpointRow, req: OutgoingRequest): Sending;
  /** Lets the connections to an endpoint go. */
  forget(endpoint: EndpointRow): void;
  close(): void;
}
