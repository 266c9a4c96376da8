/**
 * Estimates request latency per service as a moving average.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";

/** Weight of a new sample in the EWMA: about the last thirty answers count. */
const EWMA_WEIGHT = 0.03;
/** Estimate before the first answer: a common request latency. */
const INITIAL_ESTIMATE_MS = 200;

/** EWMA of request latency by service. */
export class LatencyEstimator {
  readonly #means = new Map<ServiceId, number>();

  add(service: ServiceId, ms: number): void {
    const mean = this.#means.get(service);
    const next = mean === undefined ? ms : mean + (ms - mean) * EWMA_WEIGHT;
    this.#means.set(service, next);
  }

  /** Estimated latency of a service's requests, in milliseconds. */
  of(service: ServiceId): number {
    return this.#means.get(service) ?? INITIAL_ESTIMATE_MS;
  }
}
