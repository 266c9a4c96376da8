/**
 * At-most-once execution of requests that are not idempotent: each runs under
 * an operation id, and a retry with that id never starts a second run.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type {
  AccountId,
  Failure,
  OperationId,
  ServiceId,
} from "../core/mod.ts";
import type { Headers } from "../endpoints/mod.ts";

/** Identifies an operation; ids are scoped to their account. */
export interface OperationKey {
  readonly account: AccountId;
  readonly id: OperationId;
  /** Digest of the request, so that one id cannot be used for two requests. */
  readonly fingerprint: string;
  /** The home token from a lookup, if the caller sent one. */
  readonly home?: string;
}

/** The complete request for an endpoint, whichever instance sends it. */
export interface OperationRequest extends OperationKey {
  /** Whether this instance generated the id, so that no retry can carry it. */
  readonly hasGeneratedId: boolean;
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers, without the caller's API key. */
  readonly headers: Headers;
  readonly body: Uint8Array;
  /** How long the caller will still wait, in milliseconds. */
  readonly maxWaitMs: number;
}

/** An endpoint's complete response, as recorded. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Uint8Array;
}

/** The result of a run. */
export type RunResult = Result<RecordedAnswer, Failure>;

/** Dispatches an operation to an endpoint. */
export interface OperationRunner {
  /** Upper bound on the duration of a run, in milliseconds. */
  maxRunMs(req: OperationRequest): number;
  /** Runs the operation within `maxRunMs`, even if no caller waits any more. */
  run(req: OperationRequest): Promise<RunResult>;
}

/** Runs operations at most once. */
export interface Operations {
  /**
   * Runs the operation unless it has run before; otherwise returns the recorded
   * answer, joins the run in progress, or fails with `outcome_unknown`.
   *
   * Every failure carries `outcome`: `not-run` if this attempt did not run and
   * never will, else `unknown`.
   */
  run(req: OperationRequest): Promise<RunResult>;
}
