/**
 * The rendezvous order of endpoints for an affinity key, cached.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { EndpointRanking, type RankingRequest } from "./endpoint_ranking.ts";
import type { PinnedDemand } from "./pinned_demand.ts";

/**
 * Length of a cached order: the largest replica set, and as many endpoints that
 * are skipped. Beyond it the whole order is computed, which takes some 50 µs.
 */
const CACHED_LENGTH = 16;
/** Cached orders per endpoint array and region; the oldest is evicted first. */
const MAX_CACHED_KEYS = 1_024;

/** Cached orders by caller region and key, valid for one pinned demand. */
interface CachedOrders {
  readonly pinned: PinnedDemand;
  readonly byRegion: Map<RegionId, Map<string, readonly EndpointRow[]>>;
}

/** The properties of a request that determine its order. */
export type OrderRequest = Omit<RankingRequest, "usable">;

/**
 * Orders endpoints by {@link EndpointRanking}. Every instance of a region has
 * the same order of a key while it knows the same endpoints.
 */
export class EndpointOrder {
  readonly #ranking = new EndpointRanking();
  readonly #cached = new WeakMap<readonly EndpointRow[], CachedOrders>();

  /**
   * The first `count` usable endpoints of a key's order.
   *
   * @example
   * ```ts
   * const set = order.first(endpoints, req, 3, (row) => !row.isEnding);
   * ```
   */
  first(
    endpoints: readonly EndpointRow[],
    req: OrderRequest,
    count: number,
    usable: (row: EndpointRow) => boolean,
  ): EndpointRow[] {
    const cached = this.#cachedOrder(endpoints, req);
    const found = firstUsable(cached, count, usable);
    if (found.length === count || cached.length === endpoints.length) {
      return found;
    }
    const whole = this.#ranking.order(endpoints, req, endpoints.length);
    return firstUsable(whole, count, usable);
  }

  #cachedOrder(
    endpoints: readonly EndpointRow[],
    req: OrderRequest,
  ): readonly EndpointRow[] {
    const { pinned, region, affinityKey } = req;
    let memo = this.#cached.get(endpoints);
    if (memo?.pinned !== pinned) {
      memo = { pinned, byRegion: new Map() };
      this.#cached.set(endpoints, memo);
    }
    let orders = memo.byRegion.get(region);
    if (orders === undefined) {
      orders = new Map();
      memo.byRegion.set(region, orders);
    }
    const known = orders.get(affinityKey);
    if (known !== undefined) return known;
    const order = this.#ranking.order(endpoints, req, CACHED_LENGTH);
    if (orders.size >= MAX_CACHED_KEYS) {
      for (const oldest of orders.keys()) {
        orders.delete(oldest);
        break;
      }
    }
    orders.set(affinityKey, order);
    return order;
  }
}

function firstUsable(
  order: readonly EndpointRow[],
  count: number,
  usable: (row: EndpointRow) => boolean,
): EndpointRow[] {
  const found: EndpointRow[] = [];
  for (const row of order) {
    if (found.length === count) break;
    if (usable(row)) found.push(row);
  }
  return found;
}
