/**
 * What a ledger holds, is told and decides.
 *
 * @module
 */
import type { RecordedAnswer } from "./operations.ts";

/** Tells operations apart; the scope is that of a home token, or empty. */
export interface OperationName {
  readonly account: string;
  readonly id: string;
  readonly scope: string;
}

/** A seat and the epoch of the holder that speaks. */
export interface SeatEpoch {
  readonly zone: string;
  readonly index: number;
  readonly epoch: number;
}

/** What is known of an operation. */
export type RecordState =
  | "none"
  /** About to run, running, or ran without an answer. */
  | "intent"
  | "answered"
  /** Did not run and never will under this name. */
  | "refused"
  /** Ran or may have run; no answer will come. */
  | "unknown";

/** What a place tells of an operation. */
export interface RecordView {
  readonly state: RecordState;
  readonly fingerprint: string;
  /** Absent where it was too large to be kept. */
  readonly answer?: RecordedAnswer | undefined;
}

/** One record. */
export interface LedgerRecord extends RecordView {
  readonly name: OperationName;
  /** The run that the record stands for. */
  readonly run: string;
  /** The incarnation that runs it. */
  readonly owner: string;
  readonly seat?: SeatEpoch | undefined;
  /** When it may be forgotten, on this instance's clock. */
  readonly expiresAt: number;
}

/** What an owner does with an attempt. */
export type BeginDecision =
  | { readonly kind: "start"; readonly run: string }
  /** It is known; the view says how far. */
  | { readonly kind: "known"; readonly record: LedgerRecord }
  | { readonly kind: "mismatch" }
  | { readonly kind: "full" };

/** An intent as its owner or second place records it. */
export interface IntentEntry {
  readonly name: OperationName;
  readonly fingerprint: string;
  readonly run: string;
  readonly owner: string;
  readonly keepMs: number;
  readonly seat?: SeatEpoch | undefined;
}

/** What a place says to an entry; not accepted means that it took no effect. */
export interface PlaceDecision extends RecordView {
  readonly accepted: boolean;
}

/** How a run ended, as it is recorded. */
export type Conclusion =
  | { readonly state: "answered"; readonly answer?: RecordedAnswer | undefined }
  | { readonly state: "unknown" | "refused" };

/** Bounds of a ledger. */
export interface LedgerLimits {
  /** How long a concluded record is kept, in milliseconds. */
  readonly retentionMs: number;
  readonly maxRecords: number;
  /** Bytes of recorded answers, all together. */
  readonly maxBytes: number;
  /** A larger answer is dropped; that it ran stays. */
  readonly maxAnswerBytes: number;
}

/**
 * Ten minutes outlast every sensible retry. A record takes about 1.2 kB of
 * heap, so that 20,000 of them and 8 MB of answers make about 32 MB, what
 * control may take. That is 33 records a second over the ten minutes; each
 * operation makes two, at its owner and at its second place.
 */
export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  retentionMs: 600_000,
  maxRecords: 20_000,
  maxBytes: 8_000_000,
  maxAnswerBytes: 64_000,
};
