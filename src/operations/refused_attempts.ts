/**
 * Attempts that were answered "not run". A duplicate of such a message may
 * arrive later; running it would make that answer false.
 *
 * @module
 */
import type { ForwardResponse } from "../gen/ledger_pb.ts";

interface RefusedAttempt {
  readonly answer: ForwardResponse;
  readonly expiresAt: number;
}

/** Longer than any message between instances can be in transit. */
const RETENTION_MS = 60_000;

/** Stores the responses to refused attempts, by attempt id. */
export class RefusedAttempts {
  readonly #refused = new Map<string, RefusedAttempt>();

  add(attempt: string, answer: ForwardResponse, now: number): void {
    this.#refused.set(attempt, { answer, expiresAt: now + RETENTION_MS });
  }

  find(attempt: string): ForwardResponse | undefined {
    return this.#refused.get(attempt)?.answer;
  }

  /** Entries share one retention, so the first unexpired one ends the scan. */
  expire(now: number): void {
    for (const [attempt, refused] of this.#refused) {
      if (refused.expiresAt > now) return;
      this.#refused.delete(attempt);
    }
  }
}
