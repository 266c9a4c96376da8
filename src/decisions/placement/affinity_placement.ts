/**
 * Placement by object, with spill under load.
 *
 * The load it answers: endpoints that work several times as long on an object
 * they have not handled lately, and remember a few dozen. Spread by load alone,
 * nearly every request is such a first one, and the services are over capacity
 * without a single fault. So each object has one home among the endpoints, by
 * rendezvous hashing: all instances agree on it without a message, and when an
 * endpoint comes or goes only its own objects move.
 *
 * A home that is busy is still the best place for a while: with `n` slots a
 * place in its queue costs about one n-th of the usual time, while elsewhere
 * the object is unknown and costs several times the usual time, and pushes out
 * an object that is at home there. So a home may have a queue; other endpoints
 * take what spills only while they have a free slot.
 *
 * @module
 */
import { hash } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { occupancy } from "./occupancy.ts";
import type { Placed, Placement, PlacementAsk } from "./placement.ts";

/**
 * How full a home may be before its requests spill, as a part of its slots.
 * Half a round of waiting adds half the usual time to the answer; a first visit
 * elsewhere adds more than twice the usual time.
 */
const HOME_FILL = 1.5;
/** How full another endpoint may be to take what spills. */
const SPILL_FILL = 1;
/**
 * How full an endpoint may be at all. Endpoints queue a few rounds and shed
 * beyond; two rounds in the queue leave the aim of most requests behind.
 */
const MOST_FILL = 3;
/** When no endpoint has room, the soonest that one is likely to, in ms. */
const LEAST_RETRY_MS = 100;

/** Rendezvous hashing by affinity key, spilling past full endpoints. */
export class AffinityPlacement implements Placement {
  choose(
    candidates: readonly EndpointRow[],
    ask: PlacementAsk,
    now: number,
  ): Placed {
    if (ask.affinityKey === undefined) {
      return leastLoaded(candidates, ask, now);
    }
    const ranked = rank(candidates, ask.affinityKey);
    const home = ranked[0];
    if (home !== undefined && fill(home, now) < HOME_FILL) {
      return { endpoint: home, why: "home" };
    }
    const spill = ranked.find((row) => fill(row, now) < SPILL_FILL);
    if (spill !== undefined) return { endpoint: spill, why: "spill" };
    return leastLoaded(ranked, ask, now);
  }
}

/** The endpoint with the lowest part of its slots taken. */
export function leastLoaded(
  candidates: readonly EndpointRow[],
  ask: PlacementAsk,
  now: number,
): Placed {
  let best: EndpointRow | undefined;
  let bestFill = Infinity;
  for (const row of candidates) {
    const part = fill(row, now) + (row.region === ask.region ? 0 : 0.1);
    if (part < bestFill) [best, bestFill] = [row, part];
  }
  const waitMs = Math.max(0, bestFill - 1) * ask.usualMs;
  if (best === undefined || bestFill >= MOST_FILL || waitMs > ask.leftMs) {
    const retryAfterMs = Math.max(LEAST_RETRY_MS, ask.usualMs);
    return { endpoint: undefined, retryAfterMs };
  }
  return { endpoint: best, why: "load" };
}

function fill(row: EndpointRow, now: number): number {
  return occupancy(row, now) / Math.max(1, row.record.slots);
}

function rank(rows: readonly EndpointRow[], key: string): EndpointRow[] {
  const object = hash(key);
  const scored = rows.map((row) => ({ row, score: mix(object ^ row.seed) }));
  scored.sort((a, b) => b.score - a.score || (a.row.id < b.row.id ? -1 : 1));
  return scored.map(({ row }) => row);
}

/** The finalizer of MurmurHash3: near inputs fall apart. */
function mix(value: number): number {
  let h = value;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
