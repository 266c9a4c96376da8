/**
 * What callers and the runner write down, to be judged at the end.
 *
 * @module
 */

/** One request as its caller saw it; times in milliseconds since the epoch. */
export interface SentRecord {
  readonly account: string;
  readonly service: string;
  readonly request: string;
  readonly idempotent: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly timeoutMs: number;
  readonly result: SentResult;
  /** The answer was another request's or another account's. */
  readonly misdelivered: boolean;
  /** The failure's code and message, for people. */
  readonly why: string;
}

/** `lost`: neither an answer nor a refusal came. */
export type SentResult = "answered" | "not_run" | "unknown" | "lost";

/** What the operator did during the run; times as above. */
export interface EventRecord {
  withdrawnAccount?: string;
  withdrawnAt?: number;
  drainedEndpoints?: readonly string[];
  drainedAt?: number;
}
