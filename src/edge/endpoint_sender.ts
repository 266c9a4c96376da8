/**
 * Interface for sending a request to an endpoint.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { EndpointRow } from "../traffic/mod.ts";
import type { HeldBody } from "./held_body.ts";
import type { ResponseFields } from "./request_codec.ts";

/** Where a request is sent; the same object for the same destination. */
export interface Destination {
  /** Host and port. */
  readonly address: string;
}

/** A request to an endpoint, or to another instance. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  /** Held until it is written, or the request is closed. */
  readonly body: HeldBody | undefined;
  /** The request id that the response must have. */
  readonly requestId: string;
  /** Checked right before the first byte would be sent; false withholds it. */
  readonly maySend: () => boolean;
  /** Checked before a connection would be opened; false withholds it. */
  readonly mayConnect: () => boolean;
  /** Asked before bytes of the response are kept; false streams the rest. */
  readonly mayBuffer: (bytes: number) => boolean;
  /** Called when the header of the response to this request arrives. */
  readonly onHead: (fields: ResponseFields) => void;
}

/** Receives the remainder of a response that is too large to buffer. */
export interface BodySink {
  /** Returns false to pause the stream until `resume` is called. */
  data(chunk: Buffer): boolean;
  end(): void;
  /** The response was truncated and must not look complete to the caller. */
  fail(reason: string): void;
}

/** The remainder of a response that is still being received. */
export interface BodyRemainder {
  pipe(sink: BodySink): void;
  resume(): void;
  /** Discards the remainder and closes the connection. */
  cancel(): void;
}

/** A response body: complete, or its beginning and the remainder. */
export interface ResponseBody {
  readonly bytes: Buffer;
  readonly remainder: BodyRemainder | undefined;
  /** Whether only the end of its connection showed that it is complete. */
  readonly endsWithConnection?: boolean;
}

/** Why it is not known whether an endpoint ran a request. */
export type UnknownReason =
  /** The connection broke. */
  | "broken"
  /** The response belongs to another request. */
  | "foreign"
  /** The received bytes are not an HTTP response. */
  | "malformed"
  /** The response was truncated. */
  | "cut";

/** Outcome of one attempt at an endpoint. */
export type SendResult =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: string[];
    readonly fields: ResponseFields;
    readonly body: ResponseBody;
  }
  /** No byte was sent, since `maySend` or `mayConnect` returned false. */
  | { readonly kind: "withheld" }
  /** No byte of the request was sent. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The endpoint stated that it did not run the request. */
  | {
    readonly kind: "not-run";
    readonly moved: boolean;
    readonly fields: ResponseFields;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason }
  /** `cancel` was called before a response was received. */
  | { readonly kind: "cancelled"; readonly sent: boolean };

/** A request in flight. */
export interface PendingSend {
  readonly result: Promise<SendResult>;
  /** Aborts the request and closes its connection. */
  cancel(): void;
}

/** Sends requests to endpoints. */
export interface EndpointSender {
  send(endpoint: EndpointRow, req: OutgoingRequest): PendingSend;
  /** Whether a connection to the endpoint is open and idle. */
  hasIdle(endpoint: EndpointRow): boolean;
  closeIdleConnections(endpoint: EndpointRow): void;
  close(): void;
}
