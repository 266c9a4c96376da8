/**
 * Placement by object.
 *
 * The load it answers: endpoints that work several times as long on an object
 * they have not handled lately, and remember a few dozen. Spread by load alone,
 * nearly every request is such a first one, and the services are over capacity
 * without a single fault. So each object has a home among the endpoints, and its
 * requests wait there for a while. Only what would wait too long goes to the
 * object's second place, if a slot is free there.
 *
 * What goes wrong where requests spill sooner, or to any idle endpoint: what
 * spills takes several times as long there and pushes out objects that are at
 * home there. So more homes fill, more spills, and endpoints forget more than
 * they keep; it goes on after the burst that began it has passed.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";
import { ObjectRanking } from "./object_ranking.ts";
import { occupancy } from "./occupancy.ts";
import type { Placed, Placement, PlacementAsk } from "./placement.ts";

/**
 * How full a home may be before requests go elsewhere or are refused, by their
 * rank, as a part of its slots. Beyond this what waits is late and makes late
 * what comes after it; the most urgent get in a little longer, so that they are
 * not refused before the others.
 */
const MAX_UTILIZATION = [2.2, 2, 1.8] as const;
/** Up to this a slot is free, and nothing waits. */
const ALL_SLOTS = 1;
/**
 * What an endpoint in another region counts as fuller, as a part of its slots:
 * with as much room in both, work stays in its region.
 */
const ABROAD_FILL = 0.1;

/** Rendezvous hashing by affinity key, with a second place for each object. */
export class AffinityPlacement implements Placement {
  readonly #ranking = new ObjectRanking();

  choose(
    endpoints: readonly EndpointRow[],
    ask: PlacementAsk,
  ): Placed {
    const { affinityKey } = ask;
    if (affinityKey === undefined) return leastLoaded(endpoints, ask);
    const object = { ...ask, affinityKey };
    const { home, second } = this.#ranking.places(endpoints, object);
    if (home === undefined) return { endpoint: undefined, waitMs: 0 };
    const fill = utilizationOf(home);
    if (fill < maxUtilization(ask)) {
      return { endpoint: home, why: fill < ALL_SLOTS ? "home" : "queue" };
    }
    if (second !== undefined && utilizationOf(second) < ALL_SLOTS) {
      return { endpoint: second, why: "spill" };
    }
    return { endpoint: undefined, waitMs: (fill - 1) * ask.usualMs };
  }
}

/** The endpoint with the lowest part of its slots taken, if it has room. */
export function leastLoaded(
  endpoints: readonly EndpointRow[],
  ask: PlacementAsk,
): Placed {
  const best = leastUtilized(endpoints, ask);
  if (best === undefined) return { endpoint: undefined, waitMs: 0 };
  const fill = utilizationOf(best);
  if (fill < maxUtilization(ask)) return { endpoint: best, why: "load" };
  return { endpoint: undefined, waitMs: (fill - 1) * ask.usualMs };
}

function leastUtilized(
  endpoints: readonly EndpointRow[],
  ask: PlacementAsk,
): EndpointRow | undefined {
  let best: EndpointRow | undefined;
  let bestFill = Infinity;
  for (const row of endpoints) {
    const abroad = row.region === ask.region ? 0 : ABROAD_FILL;
    const part = utilizationOf(row) + abroad;
    if (part < bestFill && ask.usable(row)) [best, bestFill] = [row, part];
  }
  return best;
}

function maxUtilization({ rank }: PlacementAsk): number {
  return MAX_UTILIZATION[Math.min(rank, MAX_UTILIZATION.length - 1)] ??
    MAX_UTILIZATION[0];
}

function utilizationOf(row: EndpointRow): number {
  return occupancy(row) / Math.max(1, row.record.slots);
}
