/**
 * Demand that operators pin to regions.
 *
 * Load: a large client account is pinned to a region with few endpoints. Its
 * requests go there from all regions and compete with other accounts' requests,
 * which the rest of the fleet could serve: the region's endpoints are full and
 * the pinned account is refused while slots are free in other regions.
 *
 * An account's demand is its configured rate. Measured traffic would be more
 * accurate but changes with every burst, and affinity keys would move with it
 * to endpoints that do not have them cached.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { Account } from "../../traffic/mod.ts";

/** Share of all demand that is pinned to each region; zero if missing. */
export type PinnedDemand = ReadonlyMap<RegionId, number>;

/** No account is pinned to a region. */
export const NOTHING_PINNED: PinnedDemand = new Map();

/**
 * Computes each region's pinned share of the rates of all accounts. The rate of
 * an account with several allowed regions is divided equally among them.
 *
 * @example
 * ```ts
 * pinnedDemand(plan.accounts).get("eu"); // 0.3: 30% of the sum of all rates
 * ```
 */
export function pinnedDemand(accounts: readonly Account[]): PinnedDemand {
  let total = 0;
  const pinned = new Map<RegionId, number>();
  for (const { ratePerS, allowedRegions } of accounts) {
    total += ratePerS;
    for (const region of allowedRegions) {
      const share = ratePerS / allowedRegions.length;
      pinned.set(region, (pinned.get(region) ?? 0) + share);
    }
  }
  for (const [region, rate] of pinned) pinned.set(region, rate / total);
  return total > 0 ? pinned : NOTHING_PINNED;
}
