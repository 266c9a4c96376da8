/**
 * Distributes the work of a region's callers over the regions.
 *
 * Most affinity keys belong to callers of one region. Serving them there saves
 * bandwidth and a round trip between regions, but a region may have fewer slots
 * than its callers need. So each region serves its own callers up to its share
 * of the slots, and the rest is divided among regions with spare slots. Slots
 * that pinned demand needs are excluded. Callers are taken to be spread evenly
 * over the regions: following their peaks would move keys to endpoints that do
 * not have them cached, and with them more traffic between regions at once than
 * links and users can bear.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { NOTHING_PINNED, type PinnedDemand } from "./pinned_demand.ts";

/** Shares of one region's work by the region that serves it; they sum to one. */
export type RegionWeights = ReadonlyMap<RegionId, number>;

/**
 * Divides the work of callers in `from` by the slots of the regions.
 *
 * @param rows Endpoints that may be selected.
 * @param regions Regions with callers.
 * @param pinned Demand whose slots are not available to other work.
 *
 * @example
 * ```ts
 * regionWeights(rows, regions, "eu").get("eu"); // 0.3: its slots cover 30%
 * ```
 */
export function regionWeights(
  rows: readonly EndpointRow[],
  regions: readonly RegionId[],
  from: RegionId,
  pinned: PinnedDemand = NOTHING_PINNED,
): RegionWeights {
  const shares = freeShares(slotShares(rows), pinned);
  const demand = 1 / Math.max(1, regions.length);
  const ownShare = Math.min(demand, shares.get(from) ?? 0);
  const weights = new Map<RegionId, number>([[from, ownShare / demand]]);
  const spares = new Map<RegionId, number>();
  let spareSum = 0;
  for (const [region, part] of shares) {
    const needed = regions.includes(region) ? demand : 0;
    const spare = Math.max(0, part - needed);
    spares.set(region, spare);
    spareSum += spare;
  }
  if (spareSum <= 0) return weights;
  const excess = 1 - ownShare / demand;
  for (const [region, spare] of spares) {
    const extra = excess * spare / spareSum;
    if (extra > 0) weights.set(region, (weights.get(region) ?? 0) + extra);
  }
  return weights;
}

/** Each region's share of the slots left by pinned demand, summing to one. */
function freeShares(
  shares: ReadonlyMap<RegionId, number>,
  pinned: PinnedDemand,
): ReadonlyMap<RegionId, number> {
  const free = new Map<RegionId, number>();
  let sum = 0;
  for (const [region, part] of shares) {
    const unpinned = Math.max(0, part - (pinned.get(region) ?? 0));
    free.set(region, unpinned);
    sum += unpinned;
  }
  // Pinned demand needs every slot: the split is as if nothing were pinned.
  if (sum <= 0) return shares;
  for (const [region, unpinned] of free) free.set(region, unpinned / sum);
  return free;
}

/** Each region's share of all slots. */
function slotShares(rows: readonly EndpointRow[]): Map<RegionId, number> {
  const shares = new Map<RegionId, number>();
  let sum = 0;
  for (const { record } of rows) sum += record.slots;
  for (const { region, record } of rows) {
    shares.set(region, (shares.get(region) ?? 0) + record.slots / sum);
  }
  return shares;
}
