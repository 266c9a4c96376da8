/**
 * Latency estimate by service, as a moving average.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";

/** Part of a new sample in the mean: about the last thirty answers count. */
const SAMPLE_PART = 0.03;
/** Before the first answer, in milliseconds: a common time of a request. */
const FIRST_GUESS_MS = 200;

/** Moving means by service. */
export class LatencyEstimator {
  readonly #means = new Map<ServiceId, number>();

  add(service: ServiceId, ms: number): void {
    const mean = this.#means.get(service);
    const next = mean === undefined ? ms : mean + (ms - mean) * SAMPLE_PART;
    this.#means.set(service, next);
  }

  /** Milliseconds. */
  of(service: ServiceId): number {
    return this.#means.get(service) ?? FIRST_GUESS_MS;
  }
}
