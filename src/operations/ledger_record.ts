/**
 * Records, entries and decisions of the ledger.
 *
 * @module
 */
import type { RecordedAnswer } from "./operations.ts";

/** Identifies an operation; the scope is that of its home token, or empty. */
export interface OperationName {
  readonly account: string;
  readonly id: string;
  readonly scope: string;
}

/** A seat and the epoch of the holder that sends the entry. */
export interface SeatEpoch {
  readonly zone: string;
  readonly index: number;
  readonly epoch: number;
}

/** The recorded state of an operation. */
export type RecordState =
  | "none"
  /** About to run, running, or ended without an answer. */
  | "intent"
  | "answered"
  /** Did not run and never will under this name. */
  | "refused"
  /** Ran or may have run; no answer will follow. */
  | "unknown";

/** A replica's view of an operation. */
export interface RecordView {
  readonly state: RecordState;
  readonly fingerprint: string;
  /** Absent if it was too large to store. */
  readonly answer?: RecordedAnswer | undefined;
}

/** A record of one operation. */
export interface LedgerRecord extends RecordView {
  readonly name: OperationName;
  /** The run that the record belongs to. */
  readonly run: string;
  /** The incarnation that runs it. */
  readonly owner: string;
  readonly seat?: SeatEpoch | undefined;
  /** When the record expires, on this instance's clock. */
  readonly expiresAt: number;
}

/** The owner's decision on an attempt. */
export type BeginDecision =
  | { readonly kind: "start"; readonly run: string }
  /** The operation has a record, which gives its state. */
  | { readonly kind: "known"; readonly record: LedgerRecord }
  | { readonly kind: "mismatch" }
  | { readonly kind: "full" };

/** An intent as recorded by the owner or the backup. */
export interface IntentEntry {
  readonly name: OperationName;
  readonly fingerprint: string;
  readonly run: string;
  readonly owner: string;
  readonly keepMs: number;
  readonly seat?: SeatEpoch | undefined;
}

/** A replica's decision on an entry; one that is not accepted has no effect. */
export interface SettleDecision extends RecordView {
  readonly accepted: boolean;
}

/** How a run ended, as recorded. */
export type Conclusion =
  | { readonly state: "answered"; readonly answer?: RecordedAnswer | undefined }
  | { readonly state: "unknown" | "refused" };

/** Limits of a ledger. */
export interface LedgerLimits {
  /** Retention time of a concluded record, in milliseconds. */
  readonly retentionMs: number;
  readonly maxRecords: number;
  /** Total bytes of recorded answers. */
  readonly maxBytes: number;
  /** A larger answer is dropped; the record that the operation ran is kept. */
  readonly maxAnswerBytes: number;
}

/**
 * Ten minutes outlast every sensible retry. A record takes about 1.2 kB of
 * heap, so 20,000 records and 8 MB of answers make about 32 MB, the memory
 * allowed for the control plane. That allows 33 records a second over the ten
 * minutes; each operation makes two, at its owner and at its backup.
 */
export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  retentionMs: 600_000,
  maxRecords: 20_000,
  maxBytes: 8_000_000,
  maxAnswerBytes: 64_000,
};
