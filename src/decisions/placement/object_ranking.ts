/**
 * Ranks the endpoints of an affinity key.
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

/** A request to rank endpoints for. */
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

/** The endpoints of an affinity key that rank highest. */
export interface RankedEndpoints {
  readonly primary: EndpointRow | undefined;
  readonly secondary: EndpointRow | undefined;
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
   * The two usable endpoints that rank highest.
   *
   * @example
   * ```ts
   * const { primary, secondary } = ranking.rank(endpoints, ask);
   * ```
   */
  rank(endpoints: readonly EndpointRow[], ask: ObjectAsk): RankedEndpoints {
    const weights = this.#weightsOf(endpoints, ask);
    const object = hash(ask.affinityKey);
    let primary: EndpointRow | undefined;
    let secondary: EndpointRow | undefined;
    let highest = -1;
    let next = -1;
    for (const [i, row] of endpoints.entries()) {
      const draw = (mix(object ^ row.seed) + 1) / (HASHES + 1);
      const score = -(weights[i] ?? LAST_RESORT) / Math.log(draw);
      if (score <= next || !ask.usable(row)) continue;
      if (score > highest) {
        [secondary, next] = [primary, highest];
        [primary, highest] = [row, score];
      } else {
        [secondary, next] = [row, score];
      }
    }
    return { primary, secondary };
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
