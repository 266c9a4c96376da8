/**
 * How much work an instance would like to run elsewhere.
 *
 * Answers demand that comes and goes from tick to tick: asking for exactly
 * what one tick wanted would give room back in each quiet tick, which shows as
 * requests refused between two askings.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";

/** Part of the last wish kept each tick: half is gone after three. */
const KEPT = 0.8;
/** A smaller wish is none. */
const LEAST = 0.5;

/** Smoothed wishes by service. */
export class WishCounter {
  readonly #counts = new Map<ServiceId, number>();
  readonly #smoothed = new Map<ServiceId, number>();

  /** Counts a request that would rather run elsewhere. */
  add(service: ServiceId): void {
    this.#counts.set(service, (this.#counts.get(service) ?? 0) + 1);
  }

  /** Ends a tick; `least` is wished for in any case. */
  settle(service: ServiceId, least: number): void {
    const counted = this.#counts.get(service) ?? 0;
    this.#counts.delete(service);
    const kept = (this.#smoothed.get(service) ?? 0) * KEPT;
    const wish = Math.max(counted, least, kept);
    if (wish < LEAST) this.#smoothed.delete(service);
    else this.#smoothed.set(service, wish);
  }

  of(service: ServiceId): number {
    return Math.ceil(this.#smoothed.get(service) ?? 0);
  }
}
