/**
 * Requests that are not idempotent run at most once: each runs under an
 * operation id, and a second attempt never starts a second run.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { AccountId, Failure, OperationId } from "../core/mod.ts";

/** Identifies an operation; ids of different accounts never meet. */
export interface OperationKey {
  readonly account: AccountId;
  readonly id: OperationId;
  /** Digest of what is asked, so that one id cannot stand for two requests. */
  readonly fingerprint: string;
  /** The home that a look-up handed out, if the caller sent it back. */
  readonly home?: string;
}

/** A whole recorded answer of an endpoint. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** How a run ended. */
export type RunResult = Result<RecordedAnswer, Failure>;

/** Runs operations at most once. */
export interface Operations {
  /**
   * Runs `run` unless the operation ran before; then gives the recorded
   * answer, joins the running attempt, or fails with `outcome_unknown`.
   *
   * A run that failed with outcome `not-run` is forgotten, so that a later
   * attempt may run.
   */
  once(key: OperationKey, run: () => Promise<RunResult>): Promise<RunResult>;
}
