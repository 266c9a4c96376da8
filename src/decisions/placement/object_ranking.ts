/**
 * Which endpoints an object belongs to, first choice first.
 *
 * @module
 */
import { hash, type RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { regionWeights } from "./region_weights.ts";

/**
 * Weight of an endpoint in a region that has no part in the caller's work: it
 * comes after all that have one, and before none.
 */
const LAST_RESORT = 1e-6;
const HASHES = 0x1_0000_0000;

/** What is ranked. */
export interface ObjectAsk {
  readonly affinityKey: string;
  /** Where its callers are. */
  readonly region: RegionId;
  /** Regions with callers. */
  readonly regions: readonly RegionId[];
}

/**
 * The first endpoints of an object, by weighted rendezvous hashing (Thaler and
 * Ravishankar 1998; weights by the logarithm of the hash). Every instance of a
 * region finds the same ones without a message, and when an endpoint comes or
 * goes only its own objects move.
 *
 * @example
 * ```ts
 * const [home, second] = rankEndpoints(rows, ask, 2);
 * ```
 */
export function rankEndpoints(
  rows: readonly EndpointRow[],
  ask: ObjectAsk,
  count: number,
): EndpointRow[] {
  const weights = regionWeights(rows, ask.regions, ask.region);
  const slots = new Map<RegionId, number>();
  for (const { region, record } of rows) {
    slots.set(region, (slots.get(region) ?? 0) + record.slots);
  }
  const object = hash(ask.affinityKey);
  const scored = rows.map((row) => {
    const ofRegion = weights.get(row.region) ?? 0;
    const part = row.record.slots / (slots.get(row.region) ?? 1);
    const weight = Math.max(LAST_RESORT, ofRegion * part);
    const draw = (mix(object ^ row.seed) + 1) / (HASHES + 1);
    return { row, score: -weight / Math.log(draw) };
  });
  scored.sort((a, b) => b.score - a.score || (a.row.id < b.row.id ? -1 : 1));
  return scored.slice(0, count).map(({ row }) => row);
}

/** The finalizer of MurmurHash3: near inputs fall apart. */
function mix(value: number): number {
  let h = value;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
