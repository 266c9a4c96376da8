/**
 * Which endpoints an object belongs to, first choice first.
 *
 * @module
 */
import { hash, type RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import type { BoundDemand } from "./bound_demand.ts";
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
  /** Work that only one region may do, which this object is no part of. */
  readonly bound: BoundDemand;
  readonly usable: (row: EndpointRow) => boolean;
}

/** The two first endpoints of an object. */
export interface Places {
  readonly home: EndpointRow | undefined;
  readonly second: EndpointRow | undefined;
}

/** Weights by the callers' region, as long as the bound work is the same. */
interface KnownWeights {
  readonly bound: BoundDemand;
  readonly byRegion: Map<RegionId, Float64Array>;
}

/**
 * Ranks endpoints by weighted rendezvous hashing (Thaler and Ravishankar 1998;
 * weights by the logarithm of the hash). Every instance of a region finds the
 * same places without a message, and when an endpoint comes or goes only its
 * own objects move.
 */
export class ObjectRanking {
  /** Weights of the endpoints, for each set of endpoints. */
  readonly #weights = new WeakMap<readonly EndpointRow[], KnownWeights>();

  /**
   * The first two endpoints that can be used.
   *
   * @example
   * ```ts
   * const { home, second } = ranking.places(endpoints, ask);
   * ```
   */
  places(endpoints: readonly EndpointRow[], ask: ObjectAsk): Places {
    const weights = this.#weightsOf(endpoints, ask);
    const object = hash(ask.affinityKey);
    let home: EndpointRow | undefined;
    let second: EndpointRow | undefined;
    let highest = -1;
    let next = -1;
    for (const [i, row] of endpoints.entries()) {
      const draw = (mix(object ^ row.seed) + 1) / (HASHES + 1);
      const score = -(weights[i] ?? LAST_RESORT) / Math.log(draw);
      if (score <= next || !ask.usable(row)) continue;
      if (score > highest) {
        [second, next] = [home, highest];
        [home, highest] = [row, score];
      } else {
        [second, next] = [row, score];
      }
    }
    return { home, second };
  }

  #weightsOf(endpoints: readonly EndpointRow[], ask: ObjectAsk): Float64Array {
    const { bound, region } = ask;
    let known = this.#weights.get(endpoints);
    if (known?.bound !== bound) known = { bound, byRegion: new Map() };
    this.#weights.set(endpoints, known);
    const weights = known.byRegion.get(region) ??
      endpointWeights(endpoints, ask);
    known.byRegion.set(region, weights);
    return weights;
  }
}

/** Each endpoint's part of the work of a region's callers. */
function endpointWeights(
  endpoints: readonly EndpointRow[],
  ask: ObjectAsk,
): Float64Array {
  const { regions, region: from, bound } = ask;
  const ofRegion = regionWeights(endpoints, regions, from, bound);
  const slots = new Map<RegionId, number>();
  for (const { region, record } of endpoints) {
    slots.set(region, (slots.get(region) ?? 0) + record.slots);
  }
  return Float64Array.from(endpoints, ({ region, record }) => {
    const part = record.slots / (slots.get(region) ?? 1);
    return Math.max(LAST_RESORT, (ofRegion.get(region) ?? 0) * part);
  });
}

/** The finalizer of MurmurHash3: near inputs fall apart. */
function mix(value: number): number {
  let h = value;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
