/**
 * Smoothed demand for capacity at other instances.
 *
 * Handles demand that varies from tick to tick. Requesting just the demand of
 * the last tick would give capacity back after each quiet tick, and requests
 * would be refused until it is granted again.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";

/** Fraction of the demand kept each tick: about half after three ticks. */
const DECAY_FACTOR = 0.8;
/** Smaller demand counts as none. */
const MIN_DEMAND = 0.5;

/** Smoothed demand by service. */
export class RemoteDemand {
  readonly #counts = new Map<ServiceId, number>();
  readonly #smoothed = new Map<ServiceId, number>();

  /** Counts a request that should be forwarded. */
  add(service: ServiceId): void {
    this.#counts.set(service, (this.#counts.get(service) ?? 0) + 1);
  }

  /** Ends a tick; the demand is at least `minimum`. */
  endTick(service: ServiceId, minimum: number): void {
    const counted = this.#counts.get(service) ?? 0;
    this.#counts.delete(service);
    const kept = (this.#smoothed.get(service) ?? 0) * DECAY_FACTOR;
    const demand = Math.max(counted, minimum, kept);
    if (demand < MIN_DEMAND) this.#smoothed.delete(service);
    else this.#smoothed.set(service, demand);
  }

  of(service: ServiceId): number {
    return Math.ceil(this.#smoothed.get(service) ?? 0);
  }
}
