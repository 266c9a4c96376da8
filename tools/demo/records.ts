/**
 * Records that callers and the runner keep for the evaluation of a run.
 *
 * @module
 */

/** One request as seen by its caller; times in milliseconds since the epoch. */
export interface SentRecord {
  readonly account: string;
  readonly service: string;
  readonly request: string;
  readonly idempotent: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly timeoutMs: number;
  readonly result: SentResult;
  /** The response belonged to another request or account. */
  readonly misdelivered: boolean;
  /** The failure's code and message. */
  readonly why: string;
}

/** `lost`: the caller received neither a response nor a refusal. */
export type SentResult = "answered" | "not_run" | "unknown" | "lost";

/** The operator's actions during the run; times as in `SentRecord`. */
export interface EventRecord {
  withdrawnAccount?: string;
  withdrawnAt?: number;
  drainedEndpoints?: readonly string[];
  drainedAt?: number;
}
