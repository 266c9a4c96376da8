/**
 * Placement by affinity key: rendezvous hashing to a primary and a secondary
 * endpoint.
 *
 * Load: endpoints work several times as long on a key that is not in their
 * cache, and cache a few dozen. Spread by load alone, nearly every request is a
 * cache miss and the services are over capacity without a fault. So requests of
 * a key queue at its primary, and overflow to its secondary only when the wait
 * would be too long and a slot is free there. Overflow that starts sooner, or
 * goes to any idle endpoint, evicts other keys there; their primaries fill up,
 * and it goes on after the burst that began it.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";
import { EndpointRanking } from "./endpoint_ranking.ts";
import { occupancy } from "./occupancy.ts";
import type {
  Placement,
  PlacementRequest,
  PlacementResult,
} from "./placement.ts";

/**
 * Maximum utilization of a primary by a request's priority, as a multiple of its
 * slots. Beyond it requests overflow or are refused, the most urgent last.
 */
const MAX_UTILIZATION = [2.2, 2, 1.8] as const;
/** Utilization below which a slot is free. */
const FULL_UTILIZATION = 1;
/**
 * Added to the utilization of endpoints in other regions: at equal load work
 * stays in its region.
 */
const OTHER_REGION_PENALTY = 0.1;

/** Rendezvous hashing by affinity key, with overflow to a secondary endpoint. */
export class AffinityPlacement implements Placement {
  readonly #ranking = new EndpointRanking();

  choose(
    endpoints: readonly EndpointRow[],
    req: PlacementRequest,
  ): PlacementResult {
    const { affinityKey } = req;
    if (affinityKey === undefined) return leastLoaded(endpoints, req);
    const rankingReq = { ...req, affinityKey };
    const { primary, secondary } = this.#ranking.rank(endpoints, rankingReq);
    if (primary === undefined) return { endpoint: undefined, waitMs: 0 };
    const utilization = utilizationOf(primary);
    if (utilization < maxUtilization(req)) {
      const why = utilization < FULL_UTILIZATION ? "primary" : "queue";
      return { endpoint: primary, why };
    }
    if (
      secondary !== undefined && utilizationOf(secondary) < FULL_UTILIZATION
    ) {
      return { endpoint: secondary, why: "overflow" };
    }
    return {
      endpoint: undefined,
      waitMs: (utilization - 1) * req.meanLatencyMs,
    };
  }
}

/** Selects the least utilized endpoint, if it is below its maximum. */
export function leastLoaded(
  endpoints: readonly EndpointRow[],
  req: PlacementRequest,
): PlacementResult {
  const best = leastUtilized(endpoints, req);
  if (best === undefined) return { endpoint: undefined, waitMs: 0 };
  const utilization = utilizationOf(best);
  if (utilization < maxUtilization(req)) {
    return { endpoint: best, why: "least-loaded" };
  }
  return { endpoint: undefined, waitMs: (utilization - 1) * req.meanLatencyMs };
}

function leastUtilized(
  endpoints: readonly EndpointRow[],
  req: PlacementRequest,
): EndpointRow | undefined {
  let best: EndpointRow | undefined;
  let lowest = Infinity;
  for (const row of endpoints) {
    const penalty = row.region === req.region ? 0 : OTHER_REGION_PENALTY;
    const score = utilizationOf(row) + penalty;
    if (score < lowest && req.usable(row)) [best, lowest] = [row, score];
  }
  return best;
}

function maxUtilization({ priority }: PlacementRequest): number {
  return MAX_UTILIZATION[Math.min(priority, MAX_UTILIZATION.length - 1)] ??
    MAX_UTILIZATION[0];
}

function utilizationOf(row: EndpointRow): number {
  return occupancy(row) / Math.max(1, row.record.slots);
}
