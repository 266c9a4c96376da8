/**
 * The interface through which endpoints are called; tests implement it
 * without sockets.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type { Result } from "neverthrow";
import type { AccountId, Failure } from "../core/mod.ts";
import type { EndpointStatement } from "../decisions/steering/mod.ts";

/** Headers with lower-case names. */
export type Headers = Readonly<Record<string, string>>;

/** A request as sent to an endpoint, without the caller's API key. */
export interface EndpointRequest {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Readable | Uint8Array | undefined;
  readonly account: AccountId;
  /** How long the endpoint may take, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** Called when the header of the response arrives. */
  readonly onStatement?: (statement: EndpointStatement) => void;
}

/** An endpoint's response; the body is streamed. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Readable;
}

/** The health that an endpoint reports in answer to a probe. */
export interface EndpointReport {
  readonly ready: boolean;
  /** Requests in flight by its own count; may be out of date. */
  readonly inFlight: number | undefined;
}

/**
 * Sends requests and probes to endpoints.
 *
 * Failures of `send`: `endpoint_failed` with outcome `not-run` where no byte
 * can have reached the endpoint or the endpoint reported that, else `unknown`;
 * `deadline_exceeded` and `cancelled` with outcome `unknown`.
 */
export interface EndpointClient {
  send(req: EndpointRequest): Promise<Result<EndpointAnswer, Failure>>;
  probe(
    url: string,
    timeoutMs: number,
  ): Promise<Result<EndpointReport, Failure>>;
  close(): Promise<void>;
}
