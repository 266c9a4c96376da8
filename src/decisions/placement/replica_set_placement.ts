/**
 * Placement by affinity key among a set of replicas, by expected completion.
 *
 * Load: with few keys, one endpoint per key leaves a third of the endpoints
 * without work and others at their slots before any wave or burst. A key's
 * replica set is therefore a prefix of its rendezvous order, and a request goes
 * to the member where it is expected to complete first. Members stay the same
 * while demand varies, so requests find the key in the cache; an endpoint beyond
 * the set is expected to take as long as for a key that it does not have.
 *
 * @module
 */
import type { Random } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { maxUtilization } from "./affinity_placement.ts";
import { EndpointOrder } from "./endpoint_order.ts";
import { KeyDemand } from "./key_demand.ts";
import { hasFreeSlot, slotsOf, slowdownOf, waitShare } from "./load_view.ts";
import type {
  Placement,
  PlacementReason,
  PlacementRequest,
  PlacementResult,
} from "./placement.ts";
import { UtilizationAverage } from "./utilization_average.ts";

/**
 * Size of the replica set of a key without much demand, at endpoints with few
 * slots and with many. Three members of four slots keep bursts in time that two
 * do not; two members of nine slots do as well as three, and each copy costs one
 * cold run after a start.
 */
export const MIN_REPLICAS = 3;
export const MIN_LARGE_REPLICAS = 2;
/** Number of slots from which an endpoint has many. */
const MANY_SLOTS = 8;
/** Maximum size: the number of copies of a key that endpoints cache. */
export const MAX_REPLICAS = 8;
/**
 * Slots of a member that one key's demand may use before its set grows, and the
 * maximum as a share of its slots. The rest is for the other keys of the
 * endpoint, and for waves and bursts. Half as many at endpoints of four slots
 * enlarges sets by chance, and 0.756 instead of 0.832 of a burst is in time.
 */
const KEY_SLOTS = 2.5;
const MAX_KEY_SLOT_SHARE = 0.6;
/**
 * Additional work on a key that an endpoint does not have cached, as a multiple
 * of the usual: a cache hit takes 0.3 of the work of a miss.
 */
const COLD_WORK = 2.3;
/** Round trip to an endpoint in another region, in milliseconds. */
const OTHER_REGION_MS = 24;
/**
 * Weight of an endpoint's average utilization, as a multiple of the usual
 * duration. The view of its slots is 250 to 800 ms old, and requests that start
 * meanwhile are more likely to have to wait where more have been. Simulated,
 * the busiest of 106 endpoints has 1.5 times the mean with 2, and 1.9 with 0.3
 * of the current utilization; with 4, more keys are not in the cache.
 */
const UTILIZATION_WEIGHT = 2;
/**
 * Difference of expected completion up to which endpoints count as equal, as a
 * share of the usual duration. Instances with the same stale view would
 * otherwise all choose the same endpoint.
 */
const NEAR_EQUAL = 0.4;
const MS_PER_S = 1_000;

/** Options of {@link ReplicaSetPlacement}. */
export interface ReplicaSetOptions {
  readonly random: Random;
  /** Size of the smallest set, whatever the slots, to compare sizes. */
  readonly minReplicas?: number;
}

/** An endpoint, and when a request would complete there. */
interface Candidate {
  readonly row: EndpointRow;
  readonly completionMs: number;
  readonly why: PlacementReason;
}

/** What a request's candidates are compared by. */
interface Comparison {
  readonly req: PlacementRequest;
  readonly now: number;
  /** Usual duration of a request without waiting for a slot. */
  readonly workMs: number;
  readonly utilization: UtilizationAverage;
}

/** Earliest expected completion within the replica set of the affinity key. */
export class ReplicaSetPlacement implements Placement {
  readonly #random: Random;
  readonly #minReplicas: number | undefined;
  readonly #order = new EndpointOrder();
  readonly #demand = new KeyDemand();
  readonly #utilization = new UtilizationAverage();

  constructor({ random, minReplicas }: ReplicaSetOptions) {
    this.#random = random;
    this.#minReplicas = minReplicas;
  }

  choose(
    endpoints: readonly EndpointRow[],
    req: PlacementRequest,
  ): PlacementResult {
    const comparison = {
      req,
      now: req.now ?? 0,
      workMs: req.meanWorkMs ?? req.meanLatencyMs,
      utilization: this.#utilization,
    };
    const { affinityKey } = req;
    if (affinityKey === undefined) {
      const usable = endpoints.filter(req.usable);
      return this.#chooseAmong(comparison, usable, usable.length, LEAST_LOADED);
    }
    const rows = this.#order.first(
      endpoints,
      { ...req, affinityKey },
      MAX_REPLICAS,
      req.usable,
    );
    const size = this.#setSize(endpoints, affinityKey, comparison);
    return this.#chooseAmong(comparison, rows, size, REPLICA);
  }

  #setSize(
    endpoints: readonly EndpointRow[],
    affinityKey: string,
    { req, now, workMs }: Comparison,
  ): number {
    const [first] = endpoints;
    if (first === undefined) return 0;
    const key = `${first.record.service} ${affinityKey}`;
    this.#demand.count(key, now);
    // An instance has callers of its own region, whose order this is.
    const instances = (req.instances ?? 1) / Math.max(1, req.regions.length);
    const slots = Math.min(KEY_SLOTS, slotsOf(first) * MAX_KEY_SLOT_SHARE);
    const memberPerS = slots * MS_PER_S / workMs;
    const sizing = {
      instances: Math.max(1, instances),
      memberPerS,
      min: this.#minReplicas ?? minReplicasOf(first),
      max: MAX_REPLICAS,
    };
    return this.#demand.sizeOf(key, sizing, now);
  }

  /**
   * Chooses among `rows`, of which the first `size` have the key. The others are
   * used if they complete earlier in spite of the additional work, or if no
   * member can take the request and they have a free slot.
   */
  #chooseAmong(
    comparison: Comparison,
    rows: readonly EndpointRow[],
    size: number,
    reasons: Reasons,
  ): PlacementResult {
    const candidates: Candidate[] = [];
    for (const [i, row] of rows.entries()) {
      const candidate = candidateOf(comparison, row, i < size, reasons);
      if (candidate !== undefined) candidates.push(candidate);
    }
    const best = this.#pick(candidates, comparison);
    if (best !== undefined) return { endpoint: best.row, why: best.why };
    return { endpoint: undefined, waitMs: freeInMs(comparison, rows) };
  }

  /**
   * Picks at random among near equals, those with an open connection first.
   */
  #pick(
    candidates: readonly Candidate[],
    { req, workMs }: Comparison,
  ): Candidate | undefined {
    let earliest = Infinity;
    for (const { completionMs } of candidates) {
      if (completionMs < earliest) earliest = completionMs;
    }
    const limit = earliest + NEAR_EQUAL * workMs;
    const near = candidates.filter((c) => c.completionMs <= limit);
    if (near.length <= 1) return near[0];
    // Among all endpoints of a service, looking up connections costs too much.
    const connected = near.length > MAX_REPLICAS
      ? []
      : near.filter(({ row }) => req.isConnected?.(row) ?? false);
    const among = connected.length > 0 ? connected : near;
    return among[this.#random.below(among.length)];
  }
}

/** The reasons for an endpoint with a free slot, and for one with a queue. */
interface Reasons {
  readonly free: PlacementReason;
  readonly queued: PlacementReason;
}

const REPLICA: Reasons = { free: "replica", queued: "replica-queue" };
const LEAST_LOADED: Reasons = { free: "least-loaded", queued: "least-loaded" };

/** An endpoint as a candidate, unless it cannot take the request in time. */
function candidateOf(
  { req, now, workMs, utilization }: Comparison,
  row: EndpointRow,
  isMember: boolean,
  reasons: Reasons,
): Candidate | undefined {
  const isFree = hasFreeSlot(row, now);
  const wait = waitShare(row, now);
  // The request itself is part of its wait, but not of the utilization.
  const maxWait = maxUtilization(req) - 1 + 1 / slotsOf(row);
  const average = Math.min(1, utilization.observe(row, now));
  if (!isFree && (!isMember || wait >= maxWait)) return undefined;
  const linkMs = row.region === req.region ? 0 : OTHER_REGION_MS;
  const work = slowdownOf(row, now) * (isMember ? 1 : 1 + COLD_WORK);
  const expectedMs = (wait + work) * workMs + linkMs;
  // On a free slot a request is not refused by an estimate: routes of a service
  // may differ in duration, and the estimate changes only with responses.
  if (!isFree && expectedMs > (req.leftMs ?? Infinity)) return undefined;
  const completionMs = expectedMs + average * UTILIZATION_WEIGHT * workMs;
  const why = !isMember ? "beyond-set" : isFree ? reasons.free : reasons.queued;
  return { row, completionMs, why };
}

function minReplicasOf(row: EndpointRow): number {
  return slotsOf(row) < MANY_SLOTS ? MIN_REPLICAS : MIN_LARGE_REPLICAS;
}

/** Time until one of the endpoints has a free slot, in milliseconds. */
function freeInMs(
  { now, workMs }: Comparison,
  rows: readonly EndpointRow[],
): number {
  if (rows.length === 0) return 0;
  return Math.min(...rows.map((row) => waitShare(row, now))) * workMs;
}
