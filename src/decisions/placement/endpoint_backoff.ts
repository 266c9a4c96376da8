/**
 * Keeps requests from endpoints for as long as they asked for by Retry-After.
 *
 * Load: an endpoint over its capacity refuses what it gets. Its affinity keys
 * would still be sent to it first, so that each of their requests costs it work
 * and the caller a round trip and a retry of the budget that all share; once
 * that is used up, callers are refused while other endpoints have room.
 *
 * Unlike an ejection, this is not limited to a share of a service's endpoints.
 *
 * @module
 */
import type { EndpointRow, EndpointStart } from "../../traffic/mod.ts";

/** How long the backoff of an endpoint without an entry is kept, in ms. */
const KEEP_AFTER_REMOVAL_MS = 60_000;

/** Backoffs of one instance; times are on its own clock. */
export class EndpointBackoff {
  /** When each ends, by the start of the endpoint that asked for it. */
  readonly #ends = new Map<EndpointStart, number>();

  /**
   * Records a refusal that arrived at `now`; an earlier one that ends later
   * stays in effect.
   *
   * @returns Whether the endpoint was not in backoff before.
   */
  start(row: EndpointRow, delayMs: number, now: number): boolean {
    this.#evictEnded(now);
    const end = this.#ends.get(row.start);
    this.#ends.set(row.start, Math.max(end ?? -Infinity, now + delayMs));
    return end === undefined;
  }

  /**
   * How much longer an endpoint wants no requests, in milliseconds.
   *
   * @example
   * ```ts
   * if (backoff.leftMs(row, now) === 0) send(row);
   * ```
   */
  leftMs(row: EndpointRow, now: number): number {
    return Math.max(0, (this.#ends.get(row.start) ?? now) - now);
  }

  /**
   * Records that an endpoint's entry is gone. It may come back for the same
   * start, for example after a store outage.
   */
  removed(row: EndpointRow, now: number): void {
    const end = this.#ends.get(row.start);
    if (end === undefined) return;
    this.#ends.set(row.start, Math.min(end, now + KEEP_AFTER_REMOVAL_MS));
  }

  #evictEnded(now: number): void {
    for (const [start, end] of this.#ends) {
      if (end <= now) this.#ends.delete(start);
    }
  }
}
