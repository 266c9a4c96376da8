/**
 * How endpoints are spoken to, as an interface, so that a test plays an
 * endpoint without sockets.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type { Result } from "neverthrow";
import type { AccountId, Failure } from "../core/mod.ts";

/** Headers with lower-case names. */
export type Headers = Readonly<Record<string, string>>;

/** A request as an endpoint gets it: the caller's key is not in it. */
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
}

/** An endpoint's answer, its body still to come. */
export interface EndpointAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Readable;
}

/** What an endpoint says of itself. */
export interface EndpointReport {
  readonly ready: boolean;
  /** Requests it says it runs now; a hint that lags. */
  readonly inFlight: number | undefined;
}

/**
 * Speaks to endpoints.
 *
 * Failures of `send`: `endpoint_failed` with outcome `not-run` where no byte
 * can have reached the endpoint or it said so itself, else `unknown`;
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
