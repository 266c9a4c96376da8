/**
 * How much of the work may be done in one region only.
 *
 * The load it answers: a large client account that operators bind to a region
 * with few endpoints. Callers from everywhere are sent there on its behalf, and
 * meet other accounts' requests, which the rest of the fleet could serve with
 * ease: the region's endpoints are full, the bound account is refused, and
 * elsewhere slots are free.
 *
 * An account's rate is taken for how much it sends. What was counted would be
 * nearer the truth but moves with every burst, and objects would move with it
 * to endpoints that do not know them.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { Account } from "../../traffic/mod.ts";

/** Part of all work that a region alone may do, by region; none if missing. */
export type BoundDemand = ReadonlyMap<RegionId, number>;

/** No account is bound to a region. */
export const NOTHING_BOUND: BoundDemand = new Map();

/**
 * Parts of the rates of all accounts. One that may be served in several regions
 * counts in each with its part of them.
 *
 * @example
 * ```ts
 * boundDemand(plan.accounts).get("eu"); // 0.3: three tenths of all rates
 * ```
 */
export function boundDemand(accounts: readonly Account[]): BoundDemand {
  let all = 0;
  const bound = new Map<RegionId, number>();
  for (const { ratePerS, allowedRegions } of accounts) {
    all += ratePerS;
    for (const region of allowedRegions) {
      const part = ratePerS / allowedRegions.length;
      bound.set(region, (bound.get(region) ?? 0) + part);
    }
  }
  for (const [region, rate] of bound) bound.set(region, rate / all);
  return all > 0 ? bound : NOTHING_BOUND;
}
