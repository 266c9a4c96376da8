/**
 * Average utilization of endpoints over some seconds, as one instance sees it.
 *
 * Load: an endpoint has a few slots, a third of which are in use on average, and
 * what is known of them is up to 800 ms old. Endpoints that are members of many
 * replica sets often look as free as others at a moment, and get up to twice
 * the mean of requests; the average shows the difference.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";
import { requestsAt, slotsOf } from "./load_view.ts";

/** Time constant of the average, in milliseconds. */
const AVERAGE_PERIOD_MS = 5_000;

interface Average {
  utilization: number;
  at: number;
}

/** Averages what is observed whenever an endpoint is considered. */
export class UtilizationAverage {
  readonly #averages = new WeakMap<EndpointRow, Average>();

  /** Adds the current utilization of an endpoint, and returns the average. */
  observe(row: EndpointRow, now: number): number {
    const utilization = requestsAt(row, now) / slotsOf(row);
    const average = this.#averages.get(row);
    if (average === undefined) {
      this.#averages.set(row, { utilization, at: now });
      return utilization;
    }
    const weight = 1 - Math.exp((average.at - now) / AVERAGE_PERIOD_MS);
    average.utilization += (utilization - average.utilization) * weight;
    average.at = now;
    return average.utilization;
  }
}
