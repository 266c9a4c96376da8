/**
 * Rate limiting of requests to endpoints that name a limit for the whole fleet.
 *
 * Load: an endpoint in need is the primary of keys that many instances request,
 * at several times the rate that it takes. Each instance admits the same part of
 * its demand, the limit over the fleet's demand, evenly spaced. So the rate
 * follows the demand at any fleet size, and no instance saves tokens that all
 * could spend at once. Limited by each instance alone, the endpoint would get
 * the rate from every one of them.
 *
 * The sum of recent sends corrects the part, and stops a rise of the demand that
 * peers have not reported yet.
 *
 * @module
 */
import { type EndpointId, hash, type InstanceId } from "../../core/mod.ts";
import {
  type FleetDemand,
  type RatedId,
  type RateUse,
  type Reporter,
  WindowCount,
} from "../quotas/mod.ts";

/** The window over which sends are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Sends that the window may hold beyond the limit. */
const WINDOW_SLACK = 1;
/**
 * The limit is multiplied by `BASE`, less `FEEDBACK` of the window's utilization:
 * at full utilization by one, below it by more.
 */
const BASE = 1.5;
const FEEDBACK = 0.5;
/**
 * Part of a limit held in reserve for each second of gossip delay: a rise of the
 * demand is admitted until peers report it.
 */
const RESERVE_PER_S = 0.2;
/**
 * Lowest rate in use, in requests a second: only an answer shows that a limit
 * has changed.
 */
const MIN_PER_S = 0.25;
/** How far an instance may exceed its share of the window. */
const OWN_OVERSHOOT = 1.25;
/** Credit by which the most urgent requests are admitted sooner. */
const URGENT_ADVANCE = 0.5;
/** Memory of the fleet's usual demand, in milliseconds. */
const USUAL_MS = 3_000;
const HASHES = 0x1_0000_0000;
const MS_PER_S = 1_000;

/** A request for an endpoint with a limit. */
export interface LimitedRequest {
  /** Requests a second that the endpoint takes from all instances. */
  readonly ratePerS: number;
  /** How urgent the request is; 0 is the most urgent. */
  readonly rank: number;
}

interface Row {
  /** Accumulated parts of requests; a whole one admits a request. */
  credit: number;
  /** Requests sent from here since the limit was learned. */
  sent: number;
  /** Recent sends of all instances as reported, and of this one. */
  readonly window: WindowCount;
  readonly ownWindow: WindowCount;
  /** Usual demand of the fleet in requests a second, and when it was updated. */
  usualPerS: number;
  usualAt: number;
  /** Sends of groups as of their last report. */
  readonly counted: Map<InstanceId, { start: string; sent: number }>;
}

/** Sends to limited endpoints at one instance. */
export class LimitedSends {
  readonly #own: InstanceId;
  readonly #demand: FleetDemand;
  readonly #gossipDelayMs: () => number;
  readonly #rows = new Map<EndpointId, Row>();

  /**
   * @param opts The fleet's demand, which counts that for endpoints too, and how
   * old what peers report may be, in milliseconds.
   */
  constructor(
    own: InstanceId,
    opts: {
      readonly demand: FleetDemand;
      readonly gossipDelayMs: () => number;
    },
  ) {
    this.#own = own;
    this.#demand = opts.demand;
    this.#gossipDelayMs = opts.gossipDelayMs;
  }

  /** Begins to count what peers send to an endpoint with a new limit. */
  begin(id: EndpointId, now: number): void {
    this.#rowOf(id, now);
  }

  /** Whether the next request to an endpoint is admitted. */
  hasRoom(id: EndpointId, req: LimitedRequest, now: number): boolean {
    const row = this.#rowOf(id, now);
    return this.#hasWindow(row, id, req, now) &&
      isAdmitted(row.credit + this.#part(row, id, req, now), req);
  }

  /**
   * Counts a request that would go to an endpoint, and admits its part of them.
   *
   * @example
   * ```ts
   * if (!sends.take(id, { ratePerS: 6.6, rank: 0 }, now)) chooseAnother();
   * ```
   */
  take(id: EndpointId, req: LimitedRequest, now: number): boolean {
    this.#demand.asked(id, now);
    const row = this.#rowOf(id, now);
    row.credit += this.#part(row, id, req, now);
    const admitted = this.#hasWindow(row, id, req, now) &&
      isAdmitted(row.credit, req);
    if (!admitted) {
      row.credit = Math.min(1, row.credit);
      return false;
    }
    row.credit -= 1;
    row.sent++;
    row.window.add(1, now);
    row.ownWindow.add(1, now);
    return true;
  }

  /**
   * This instance's report. An endpoint stays in it once it was sent to: left
   * out, its count would be a new baseline.
   */
  uses(): Map<RatedId, RateUse> {
    const uses = new Map<RatedId, RateUse>();
    for (const [id, { sent }] of this.#rows) {
      const perS = this.#demand.shares.ownPerS(id);
      if (perS > 0 || sent > 0) {
        uses.set(id, { perS, admitted: sent, level: 0 });
      }
    }
    return uses;
  }

  /** Applies a report of another instance, or of several as one. */
  reported(
    { instance, start }: Reporter,
    uses: ReadonlyMap<RatedId, RateUse>,
    now: number,
  ): void {
    for (const [id, { counted, window }] of this.#rows) {
      const use = uses.get(id);
      const before = counted.get(instance);
      const sent = use?.admitted ?? 0;
      counted.set(instance, { start, sent });
      // A first report is the baseline: its sends may be older than the window.
      if (before === undefined) continue;
      const goesOn = before.start === start && sent >= before.sent;
      window.add(sent - (goesOn ? before.sent : 0), now);
    }
  }

  /** A group is unreachable; its next report is a new baseline. */
  unreachable(group: InstanceId): void {
    for (const { counted } of this.#rows.values()) counted.delete(group);
  }

  /** The endpoint has no limit any more, or has ended. */
  forget(id: EndpointId): void {
    this.#rows.delete(id);
  }

  /** Whether recent sends leave room for one more. */
  #hasWindow(
    row: Row,
    id: EndpointId,
    { ratePerS }: LimitedRequest,
    now: number,
  ): boolean {
    const { shares } = this.#demand;
    const perWindow = this.#usedPerS(ratePerS) * WINDOW_MS / MS_PER_S;
    const reachable = perWindow * (1 - shares.reserved(id));
    if (row.window.sum(now) >= reachable + WINDOW_SLACK) return false;
    // Bounds what goes out before peers report a rise of the demand.
    const own = perWindow * shares.own(id) * OWN_OVERSHOOT;
    return row.ownWindow.sum(now) < own + WINDOW_SLACK;
  }

  /** The part of the requests for an endpoint that is sent. */
  #part(
    row: Row,
    id: EndpointId,
    { ratePerS }: LimitedRequest,
    now: number,
  ): number {
    const askedPerS = this.#askedPerS(row, id, now);
    if (askedPerS <= 0) return 1;
    const usedPerS = this.#usedPerS(ratePerS);
    // Only sends of reachable instances are counted, so only against their part.
    const reachablePerS = usedPerS * this.#demand.heardPart(id);
    const perWindow = reachablePerS * WINDOW_MS / MS_PER_S;
    const utilization = row.window.sum(now) / perWindow;
    const aim = Math.max(0, BASE - FEEDBACK * utilization);
    return Math.min(1, usedPerS * aim / askedPerS);
  }

  /**
   * The fleet's demand: as reported, or the usual one times the growth here, if
   * that is more. Growth shows before peers report it.
   */
  #askedPerS(row: Row, id: EndpointId, now: number): number {
    const reportedPerS = this.#demand.fleetPerS(id, now);
    const kept = Math.exp(Math.min(0, row.usualAt - now) / USUAL_MS);
    row.usualPerS = row.usualPerS * kept + reportedPerS * (1 - kept);
    row.usualAt = now;
    return Math.max(reportedPerS, row.usualPerS * this.#demand.growth(now));
  }

  #usedPerS(ratePerS: number): number {
    const reserve = RESERVE_PER_S * this.#gossipDelayMs() / MS_PER_S;
    return Math.max(MIN_PER_S, ratePerS * (1 - reserve));
  }

  /** Initial credits differ, so that instances do not send at the same time. */
  #rowOf(id: EndpointId, now: number): Row {
    const known = this.#rows.get(id);
    if (known !== undefined) return known;
    const row: Row = {
      credit: hash(`${this.#own} ${id}`) / HASHES,
      sent: 0,
      window: new WindowCount(WINDOW_MS, now),
      ownWindow: new WindowCount(WINDOW_MS, now),
      usualPerS: 0,
      usualAt: -Infinity,
      counted: new Map(),
    };
    this.#rows.set(id, row);
    return row;
  }
}

function isAdmitted(credit: number, { rank }: LimitedRequest): boolean {
  return credit >= 1 - (rank === 0 ? URGENT_ADVANCE : 0);
}
