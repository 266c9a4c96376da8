/**
 * Which service of a weighted route a request goes to.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";
import type { Route } from "../../traffic/mod.ts";

/**
 * Keeps each route's services to their weights by smooth weighted round robin:
 * every service earns its weight with each request and the one that has earned
 * most pays the whole round. Random choice would be off by several parts in a
 * hundred over the few hundred requests within which operators look at a split.
 */
export class WeightedChoice {
  readonly #earned = new Map<string, Map<ServiceId, number>>();

  /**
   * @example
   * ```ts
   * const service = choice.next(route);
   * ```
   */
  next(route: Route): ServiceId | undefined {
    const [only] = route.services;
    if (route.services.length === 1) return only?.service;
    const earned = this.#of(route.name);
    let chosen: ServiceId | undefined;
    let most = -Infinity;
    let round = 0;
    for (const { service, weight } of route.services) {
      if (weight <= 0) continue;
      const now = (earned.get(service) ?? 0) + weight;
      earned.set(service, now);
      round += weight;
      if (now > most) [chosen, most] = [service, now];
    }
    if (chosen !== undefined) earned.set(chosen, most - round);
    return chosen;
  }

  #of(route: string): Map<ServiceId, number> {
    const known = this.#earned.get(route);
    if (known !== undefined) return known;
    const fresh = new Map<ServiceId, number>();
    this.#earned.set(route, fresh);
    return fresh;
  }
}
