/**
 * Selects the service of a weighted route for each request.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";
import type { Route } from "../../traffic/mod.ts";

/**
 * Smooth weighted round robin over each route's services: a request adds each
 * service's weight to its credit, and the sum of the weights is subtracted from
 * the highest credit, whose service is selected. Random selection would deviate
 * by several percent over the few hundred requests of an operator's check.
 */
export class WeightedRoundRobin {
  readonly #credits = new Map<string, Map<ServiceId, number>>();

  /**
   * @example
   * ```ts
   * const service = roundRobin.next(route);
   * ```
   */
  next(route: Route): ServiceId | undefined {
    const [only] = route.services;
    if (route.services.length === 1) return only?.service;
    const credits = this.#creditsOf(route.name);
    let chosen: ServiceId | undefined;
    let highest = -Infinity;
    let total = 0;
    for (const { service, weight } of route.services) {
      if (weight <= 0) continue;
      const credit = (credits.get(service) ?? 0) + weight;
      credits.set(service, credit);
      total += weight;
      if (credit > highest) [chosen, highest] = [service, credit];
    }
    if (chosen !== undefined) credits.set(chosen, highest - total);
    return chosen;
  }

  #creditsOf(route: string): Map<ServiceId, number> {
    const known = this.#credits.get(route);
    if (known !== undefined) return known;
    const fresh = new Map<ServiceId, number>();
    this.#credits.set(route, fresh);
    return fresh;
  }
}
