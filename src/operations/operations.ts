/**
 * Requests that are not idempotent run at most once: each runs under an
 * operation id, and a second attempt never starts a second run.
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

/** Identifies an operation; ids of different accounts never meet. */
export interface OperationKey {
  readonly account: AccountId;
  readonly id: OperationId;
  /** Digest of what is asked, so that one id cannot stand for two requests. */
  readonly fingerprint: string;
  /** The home that a look-up handed out, if the caller sent it back. */
  readonly home?: string;
}

/** All that an endpoint is to be asked, wherever it is dispatched from. */
export interface OperationRequest extends OperationKey {
  /** Whether the id was made here, so that no other attempt can know it. */
  readonly generated: boolean;
  readonly service: ServiceId;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers; the caller's key is not among them. */
  readonly headers: Headers;
  readonly body: Uint8Array;
  /** How long the caller still waits, in milliseconds. */
  readonly patienceMs: number;
}

/** A whole recorded answer of an endpoint. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Uint8Array;
}

/** How a run ended. */
export type RunResult = Result<RecordedAnswer, Failure>;

/** Dispatches an operation to an endpoint. */
export interface OperationRunner {
  /** How long a run of the operation may take, in milliseconds. */
  limitMs(req: OperationRequest): number;
  /** Runs it within `limitMs`, whether or not a caller still waits. */
  run(req: OperationRequest): Promise<RunResult>;
}

/** Runs operations at most once. */
export interface Operations {
  /**
   * Runs the operation unless it ran before; then gives the recorded answer,
   * joins the running attempt, or fails with `outcome_unknown`.
   *
   * Every failure carries `outcome`: `not-run` where this attempt surely did
   * not run and never will, else `unknown`.
   */
  run(req: OperationRequest): Promise<RunResult>;
}
