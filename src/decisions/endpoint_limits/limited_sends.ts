/**
 * Admits requests to endpoints that name a limit.
 *
 * Load: an endpoint in need is the home of objects that many instances ask for,
 * at several times the rate that it takes. Each instance sends the same part of
 * what it is asked for, limit by demand of the fleet, evenly spaced; so the
 * rate goes where the demand is, at two instances or two hundred, and no
 * instance saves up a share that all could spend at once. Without it each
 * instance keeps the limit alone and the endpoint gets it from all of them.
 *
 * What all sent lately is counted as well: it stops a rise of the demand before
 * peers have reported it.
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
 * The part of the demand that is sent is the limit's, times this, less
 * `FEEDBACK` of the window's utilization: what was sent too little or too much
 * is made up for.
 */
const BASE = 1.5;
const FEEDBACK = 0.5;
/**
 * Part of a limit that is left alone for each second by which peers' reports
 * are late: a rise of the demand goes out until they show it.
 */
const LEFT_ALONE_PER_S = 0.2;
/**
 * Requests a second that an endpoint gets whatever it names: only an answer
 * says that its limit has changed.
 */
const LEAST_PER_S = 0.25;
/** How far one instance may pass its share of the window. */
const OWN_OVERSHOOT = 1.25;
/** How much sooner than others the most urgent requests are admitted. */
const URGENT_ADVANCE = 0.5;
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
  /** Requests that may be sent; a whole one is needed. */
  credit: number;
  /** Requests sent from here since the limit was learned. */
  sent: number;
  /** Requests that all sent lately, as far as reported, and this instance. */
  readonly window: WindowCount;
  readonly ownWindow: WindowCount;
  /** What groups had sent when they last reported. */
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

  /** An endpoint has a limit from now on: what peers send there is counted. */
  begin(id: EndpointId, now: number): void {
    this.#rowOf(id, now);
  }

  /** Whether the next request to an endpoint is admitted. */
  hasRoom(
    id: EndpointId,
    { ratePerS, rank }: LimitedRequest,
    now: number,
  ): boolean {
    const row = this.#rowOf(id, now);
    const perWindow = this.#usedPerS(ratePerS) * WINDOW_MS / MS_PER_S;
    if (row.window.sum(now) >= perWindow + WINDOW_SLACK) return false;
    // Bounds what goes out before peers report a rise of the demand.
    const own = perWindow * this.#demand.shares.own(id) * OWN_OVERSHOOT;
    if (row.ownWindow.sum(now) >= own + WINDOW_SLACK) return false;
    const advance = rank === 0 ? URGENT_ADVANCE : 0;
    return row.credit + this.#part(id, ratePerS, now) >= 1 - advance;
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
    const admitted = this.hasRoom(id, req, now);
    row.credit += this.#part(id, req.ratePerS, now);
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
   * What this instance reports. An endpoint that it sent to stays in, or its
   * count would seem new when it is asked for again.
   */
  uses(): Map<RatedId, RateUse> {
    const uses = new Map<RatedId, RateUse>();
    for (const [id, { sent }] of this.#rows) {
      const perS = this.#demand.ownPerS(id);
      if (perS > 0 || sent > 0) {
        uses.set(id, { perS, admitted: sent, level: 0 });
      }
    }
    return uses;
  }

  /** Takes in what another instance, or several as one, sent. */
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
      // What it sent before it was first heard is not of this window.
      if (before === undefined) continue;
      const goesOn = before.start === start && sent >= before.sent;
      window.add(sent - (goesOn ? before.sent : 0), now);
    }
  }

  /** A group is not heard; its next count is a new beginning. */
  unreachable(group: InstanceId): void {
    for (const { counted } of this.#rows.values()) counted.delete(group);
  }

  /** The endpoint has no limit any more, or has ended. */
  forget(id: EndpointId): void {
    this.#rows.delete(id);
  }

  /** The part of the requests for an endpoint that is sent. */
  #part(id: EndpointId, ratePerS: number, now: number): number {
    const row = this.#rowOf(id, now);
    const askedPerS = this.#demand.fleetPerS(id, now);
    if (askedPerS <= 0) return 1;
    const usedPerS = this.#usedPerS(ratePerS);
    const perWindow = usedPerS * WINDOW_MS / MS_PER_S;
    const utilization = row.window.sum(now) / perWindow;
    const aim = Math.max(0, BASE - FEEDBACK * utilization);
    return Math.min(1, usedPerS * aim / askedPerS);
  }

  #usedPerS(ratePerS: number): number {
    const leftAlone = LEFT_ALONE_PER_S * this.#gossipDelayMs() / MS_PER_S;
    return Math.max(LEAST_PER_S, ratePerS * (1 - leftAlone));
  }

  /** Instances begin at different credits, so that they do not send at once. */
  #rowOf(id: EndpointId, now: number): Row {
    const known = this.#rows.get(id);
    if (known !== undefined) return known;
    const row: Row = {
      credit: hash(`${this.#own} ${id}`) / HASHES,
      sent: 0,
      window: new WindowCount(WINDOW_MS, now),
      ownWindow: new WindowCount(WINDOW_MS, now),
      counted: new Map(),
    };
    this.#rows.set(id, row);
    return row;
  }
}
