/**
 * Placement by object, with spill under load.
 *
 * The load it answers: endpoints that work several times as long on an object
 * they have not handled lately, and remember a few dozen. Spread by load alone,
 * nearly every request is such a first one, and the services are over capacity
 * without a single fault. So each object has a home among the endpoints.
 *
 * What goes wrong where it spills freely: at a load that warm endpoints bear
 * with ease, a burst fills some homes; what spills takes several times as long
 * elsewhere and pushes out objects that are at home there, so more homes fill,
 * and it goes on after the burst has passed. In the played load of a brokerage
 * (540 requests a second, 20 endpoints of 9 slots) spilling to any endpoint
 * served 1% in time for good; with a home and one other place for each object
 * it is 89%, and three such places serve less than two where it is full.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";
import { rankEndpoints } from "./object_ranking.ts";
import { occupancy } from "./occupancy.ts";
import type { Placed, Placement, PlacementAsk } from "./placement.ts";

/** Endpoints that an object is served by: its home and one to spill to. */
const PLACES = 2;
/**
 * How full a home may be before its requests spill, as a part of its slots. A
 * few that wait cost less than a first visit elsewhere; played loads lose one
 * in a hundred more at 1.0 and at 1.8.
 */
const HOME_FILL = 1.3;
/** How full the second place may be to take what spills: a slot is free. */
const SPILL_FILL = 1;
/**
 * How full both may be before a request is refused, by its rank. Beyond this
 * what waits is late and makes late what comes after it; the most urgent get in
 * a little longer, so that they are not refused before the others.
 */
const MOST_FILL = [2.2, 2, 1.8] as const;
/**
 * How idle an endpoint that does not know the object has to be to take what
 * both places have no room for. Where much is idle, a late answer is better
 * than none; where little is, first visits would push out what is at home.
 */
const IDLE_FILL = 0.3;
/** The soonest that a refused caller is told to come back, in milliseconds. */
const LEAST_RETRY_MS = 100;
/**
 * What an endpoint in another region counts as fuller, as a part of its slots:
 * with as much room in both, work stays in its region.
 */
const ABROAD_FILL = 0.1;

/** Rendezvous hashing by affinity key, spilling to one other endpoint. */
export class AffinityPlacement implements Placement {
  choose(
    candidates: readonly EndpointRow[],
    ask: PlacementAsk,
    now: number,
  ): Placed {
    const { affinityKey, region, regions } = ask;
    if (affinityKey === undefined) return leastLoaded(candidates, ask, now);
    const object = { affinityKey, region, regions };
    const places = rankEndpoints(candidates, object, PLACES);
    const [home, second] = places;
    if (home !== undefined && fill(home, now) < HOME_FILL) {
      return { endpoint: home, why: "home" };
    }
    if (second !== undefined && fill(second, now) < SPILL_FILL) {
      return { endpoint: second, why: "spill" };
    }
    const shorter = leastFilled(places, ask, now);
    if (shorter !== undefined && fill(shorter, now) < mostFill(ask)) {
      return { endpoint: shorter, why: "queue" };
    }
    const idle = leastFilled(candidates, ask, now);
    if (idle !== undefined && fill(idle, now) < IDLE_FILL) {
      return { endpoint: idle, why: "idle" };
    }
    return noRoom(shorter, ask, now);
  }
}

/** The endpoint with the lowest part of its slots taken, if it has room. */
export function leastLoaded(
  candidates: readonly EndpointRow[],
  ask: PlacementAsk,
  now: number,
): Placed {
  const best = leastFilled(candidates, ask, now);
  if (best === undefined || fill(best, now) >= mostFill(ask)) {
    return noRoom(best, ask, now);
  }
  return { endpoint: best, why: "load" };
}

function leastFilled(
  rows: readonly EndpointRow[],
  ask: PlacementAsk,
  now: number,
): EndpointRow | undefined {
  let best: EndpointRow | undefined;
  let bestFill = Infinity;
  for (const row of rows) {
    const abroad = row.region === ask.region ? 0 : ABROAD_FILL;
    const part = fill(row, now) + abroad;
    if (part < bestFill) [best, bestFill] = [row, part];
  }
  return best;
}

/** Refuses, until about when the queue that is too long has been worked off. */
function noRoom(
  row: EndpointRow | undefined,
  ask: PlacementAsk,
  now: number,
): Placed {
  const waiting = row === undefined ? 1 : Math.max(0, fill(row, now) - 1);
  const retryAfterMs = Math.max(LEAST_RETRY_MS, waiting * ask.usualMs);
  return { endpoint: undefined, retryAfterMs };
}

function mostFill({ rank }: PlacementAsk): number {
  return MOST_FILL[Math.min(rank, MOST_FILL.length - 1)] ?? MOST_FILL[0];
}

function fill(row: EndpointRow, now: number): number {
  return occupancy(row, now) / Math.max(1, row.record.slots);
}
