/**
 * How much of a region's work falls to each region.
 *
 * Objects mostly concern callers of one region. Work done there saves two ways
 * between regions and the bytes on the link, but a region's endpoints may be
 * fewer than its callers need. So each region serves its own callers as far as
 * its part of the slots goes, and the rest is divided among regions that have
 * slots to spare. Slots that work bound to a region needs are no part of that. Callers are taken to be spread evenly: following their waves
 * would move objects to endpoints that do not know them, and with them more
 * traffic between regions at a time than links and users bear.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { type BoundDemand, NOTHING_BOUND } from "./bound_demand.ts";

/** Work of one region's callers by the region that does it; sums to one. */
export type RegionWeights = ReadonlyMap<RegionId, number>;

/**
 * Divides the work of callers in `from` by the slots that regions have.
 *
 * @param rows Endpoints that may be used.
 * @param regions Regions with callers.
 * @param bound Work that is not divided here, since one region alone may do it.
 *
 * @example
 * ```ts
 * regionWeights(rows, regions, "eu").get("eu"); // 0.3: slots for that much
 * ```
 */
export function regionWeights(
  rows: readonly EndpointRow[],
  regions: readonly RegionId[],
  from: RegionId,
  bound: BoundDemand = NOTHING_BOUND,
): RegionWeights {
  const parts = freeParts(slotParts(rows), bound);
  const demand = 1 / Math.max(1, regions.length);
  const own = Math.min(demand, parts.get(from) ?? 0);
  const weights = new Map<RegionId, number>([[from, own / demand]]);
  const spares = new Map<RegionId, number>();
  let spareSum = 0;
  for (const [region, part] of parts) {
    const asked = regions.includes(region) ? demand : 0;
    const spare = Math.max(0, part - asked);
    spares.set(region, spare);
    spareSum += spare;
  }
  if (spareSum <= 0) return weights;
  const rest = 1 - own / demand;
  for (const [region, spare] of spares) {
    const more = rest * spare / spareSum;
    if (more > 0) weights.set(region, (weights.get(region) ?? 0) + more);
  }
  return weights;
}

/** Each region's part of the slots that bound work leaves, summing to one. */
function freeParts(
  parts: ReadonlyMap<RegionId, number>,
  bound: BoundDemand,
): ReadonlyMap<RegionId, number> {
  const free = new Map<RegionId, number>();
  let sum = 0;
  for (const [region, part] of parts) {
    const left = Math.max(0, part - (bound.get(region) ?? 0));
    free.set(region, left);
    sum += left;
  }
  // Bound work needs all there is: it is shared as if there were none.
  if (sum <= 0) return parts;
  for (const [region, left] of free) free.set(region, left / sum);
  return free;
}

/** Each region's part of all slots. */
function slotParts(rows: readonly EndpointRow[]): Map<RegionId, number> {
  const parts = new Map<RegionId, number>();
  let sum = 0;
  for (const { record } of rows) sum += record.slots;
  for (const { region, record } of rows) {
    parts.set(region, (parts.get(region) ?? 0) + record.slots / sum);
  }
  return parts;
}
