/**
 * Attempts that were answered "not run". A message that carries one of them
 * may arrive once more; run then, it would make that answer false.
 *
 * @module
 */
import type { ForwardResponse } from "../gen/ledger_pb.ts";

interface Refused {
  readonly answer: ForwardResponse;
  readonly expiresAt: number;
}

/** Longer than any message between instances can be under way. */
const KEPT_MS = 60_000;

/** Remembers answers to refused attempts, by attempt. */
export class RefusedAttempts {
  readonly #refused = new Map<string, Refused>();

  add(attempt: string, answer: ForwardResponse, now: number): void {
    this.#refused.set(attempt, { answer, expiresAt: now + KEPT_MS });
  }

  find(attempt: string): ForwardResponse | undefined {
    return this.#refused.get(attempt)?.answer;
  }

  /** All are kept equally long, so the first that stays ends the sweep. */
  expire(now: number): void {
    for (const [attempt, refused] of this.#refused) {
      if (refused.expiresAt > now) return;
      this.#refused.delete(attempt);
    }
  }
}
