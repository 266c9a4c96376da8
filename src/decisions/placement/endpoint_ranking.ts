/**
 * Ranks endpoints for an affinity key.
 *
 * @module
 */
import { hash, type RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import type { PinnedDemand } from "./pinned_demand.ts";
import { regionWeights } from "./region_weights.ts";

/**
 * Weight of an endpoint in a region that gets no share of the caller's work: it
 * ranks after all endpoints with a share, but is still better than none.
 */
const LAST_RESORT_WEIGHT = 1e-6;
const HASH_RANGE = 0x1_0000_0000;

/** The properties of a request by which endpoints are ranked. */
export interface RankingRequest {
  readonly affinityKey: string;
  /** The caller's region. */
  readonly region: RegionId;
  /** Regions with callers. */
  readonly regions: readonly RegionId[];
  /** Demand pinned to a region; this request does not belong to it. */
  readonly pinned: PinnedDemand;
  readonly usable: (row: EndpointRow) => boolean;
}

/** The two highest-ranked endpoints for an affinity key. */
export interface RankedEndpoints {
  readonly primary: EndpointRow | undefined;
  readonly secondary: EndpointRow | undefined;
}

/** Cached weights by caller region, valid for one pinned demand. */
interface CachedWeights {
  readonly pinned: PinnedDemand;
  readonly byRegion: Map<RegionId, Float64Array>;
}

/**
 * Ranks endpoints by weighted rendezvous hashing (Thaler and Ravishankar 1998;
 * weights by the logarithm of the hash). Every instance of a region computes
 * the same ranking without coordination, and when an endpoint is added or
 * removed only its own keys move.
 */
export class EndpointRanking {
  /** Endpoint weights by endpoint array. */
  readonly #weights = new WeakMap<readonly EndpointRow[], CachedWeights>();

  /**
   * Returns the two usable endpoints that rank highest.
   *
   * @example
   * ```ts
   * const { primary, secondary } = ranking.rank(endpoints, ask);
   * ```
   */
  rank(
    endpoints: readonly EndpointRow[],
    req: RankingRequest,
  ): RankedEndpoints {
    const weights = this.#weightsOf(endpoints, req);
    const keyHash = hash(req.affinityKey);
    let primary: EndpointRow | undefined;
    let secondary: EndpointRow | undefined;
    let highest = -1;
    let second = -1;
    for (const [i, row] of endpoints.entries()) {
      const draw = (mix(keyHash ^ row.seed) + 1) / (HASH_RANGE + 1);
      const score = -(weights[i] ?? LAST_RESORT_WEIGHT) / Math.log(draw);
      if (score <= second || !req.usable(row)) continue;
      if (score > highest) {
        [secondary, second] = [primary, highest];
        [primary, highest] = [row, score];
      } else {
        [secondary, second] = [row, score];
      }
    }
    return { primary, secondary };
  }

  #weightsOf(
    endpoints: readonly EndpointRow[],
    req: RankingRequest,
  ): Float64Array {
    const { pinned, region } = req;
    let memo = this.#weights.get(endpoints);
    if (memo?.pinned !== pinned) memo = { pinned, byRegion: new Map() };
    this.#weights.set(endpoints, memo);
    const weights = memo.byRegion.get(region) ??
      endpointWeights(endpoints, req);
    memo.byRegion.set(region, weights);
    return weights;
  }
}

/** Each endpoint's share of the work of a region's callers. */
function endpointWeights(
  endpoints: readonly EndpointRow[],
  req: RankingRequest,
): Float64Array {
  const { regions, region: from, pinned } = req;
  const regionShares = regionWeights(endpoints, regions, from, pinned);
  const slots = new Map<RegionId, number>();
  for (const { region, record } of endpoints) {
    slots.set(region, (slots.get(region) ?? 0) + record.slots);
  }
  return Float64Array.from(endpoints, ({ region, record }) => {
    const slotShare = record.slots / (slots.get(region) ?? 1);
    return Math.max(
      LAST_RESORT_WEIGHT,
      (regionShares.get(region) ?? 0) * slotShare,
    );
  });
}

/** The finalizer of MurmurHash3: similar inputs give unrelated outputs. */
function mix(value: number): number {
  let h = value;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
