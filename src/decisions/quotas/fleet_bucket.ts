/**
 * One instance's part of an account's fleet-wide token bucket.
 *
 * @module
 */
import type { InstanceId } from "../../core/mod.ts";
import { DIRECT_GOSSIP_DELAY_MS } from "./gossip_delay.ts";
import type { RateLimit } from "./rate_limit.ts";
import { SlidingWindowCounter } from "./sliding_window_counter.ts";
import {
  RECENT_MS,
  unreportedMs,
  WindowAdmission,
} from "./window_admission.ts";

/** An account's limit, and this instance's share of it. */
export interface FleetRate extends RateLimit {
  /** This instance's share of the rate, in [0, 1]. */
  readonly share: number;
  /** Fraction of the rate reserved for unreachable instances. */
  readonly reserved: number;
  /** Whether each instance has reported or has its share reserved. */
  readonly complete: boolean;
  /** Requests a second at the peers, as last reported. */
  readonly peersPerS: number;
  /** Requests a second at this instance. */
  readonly ownPerS: number;
  /** Reachable instances, this one included. */
  readonly instances: number;
  /** Instances that may admit requests, unreachable ones included. */
  readonly fleetSize: number;
  /** Requests per window that are tolerated above the limit. */
  readonly tolerated: number;
  /** Maximum age of peers' reports. */
  readonly gossipDelayMs: number;
  /**
   * Tokens that this instance may spend beyond its own, while the fleet has
   * tokens, until all peers have reported.
   */
  readonly overdraft: number;
}

/** An instance's report on one account. */
export interface AdmissionReport {
  readonly instance: InstanceId;
  /** Identifies the instance's start: counters restart with it. */
  readonly start: string;
  /** Requests admitted since that start. */
  readonly admitted: number;
  /** That instance's estimate of the fleet's remaining tokens. */
  readonly level: number;
}

/**
 * Minimum capacity of an instance's own tokens: a share of a small burst can be
 * less than the one token that a request takes.
 */
const MIN_TOKENS = 1;
/**
 * Additional capacity for small bursts, as a fraction of the overdraft: with a
 * capacity of one token, refills at an instance without requests are lost.
 */
const SAVED_OVERDRAFT_FRACTION = 0.5;
/**
 * Minimum downtime of a restart. Tokens refilled in that time are available at
 * the start, whatever was spent before.
 */
const MIN_DOWNTIME_MS = 500;
/** Rate an instance, in requests a second, above which shares are accurate. */
const MAX_SPARSE_PER_S = 8;
const MS_PER_S = 1_000;

/**
 * Tracks the fleet's remaining tokens, from the admissions that all instances
 * report, and this instance's own tokens, which it spends together with a small
 * overdraft.
 *
 * Own tokens refill at this instance's share of the rate, so refills sum to the
 * rate over the fleet, also under partitions. Each tick they are rebalanced to
 * its share of the fleet's remaining tokens: otherwise an account with a small
 * burst is refused at one instance while its tokens are unused elsewhere.
 *
 * Remaining tokens never exceed what the window still allows.
 */
export class FleetBucket {
  #fleetTokens: number;
  #levelKnown = false;
  #ownTokens = MIN_TOKENS;
  readonly #startedAt: number;
  #refilledAt: number;
  #admitted = 0;
  /** Overdraft spent since all peers last reported. */
  #overdraftUsed = 0;
  #window: SlidingWindowCounter | undefined;
  /** Requests in the window that this instance admitted. */
  #ownWindow: SlidingWindowCounter | undefined;
  /**
   * Whether a peer's counters start anew and the window has not been adjusted
   * to its reserved share.
   */
  #hasGap = false;
  /** When a peer last reported. */
  #reportedAt: number;
  /** Fraction of the rate that the window's counts stand for. */
  #windowFraction = 1;
  readonly #byWindow: WindowAdmission;
  readonly #lastReports = new Map<InstanceId, AdmissionReport>();

  /**
   * Earlier spending is unknown and assumed to be at the full rate.
   *
   * @param dither In [0, 1), different at each instance.
   */
  constructor(now: number, dither = 0) {
    this.#byWindow = new WindowAdmission(dither);
    this.#fleetTokens = 0;
    this.#startedAt = now;
    this.#reportedAt = now;
    this.#refilledAt = now - MIN_DOWNTIME_MS;
  }

  /** Requests admitted here since this instance started. */
  get admitted(): number {
    return this.#admitted;
  }

  /** Milliseconds since a peer last reported, or since the start. */
  reportAgeMs(now: number): number {
    return now - this.#reportedAt;
  }

  /** Remaining tokens of the fleet; below zero after overspending. */
  level(rate: FleetRate, now: number): number {
    this.#refill(rate, now);
    return this.#level(rate, now);
  }

  /** Spends one token if one is available. */
  take(rate: FleetRate, now: number): boolean {
    this.#refill(rate, now);
    this.#byWindow.recordRequest(now);
    if (this.#usesWindow(rate)) {
      if (this.#byWindow.needsPlan(now)) this.#planWindow(rate, now);
      if (!this.#byWindow.take(() => this.#unreported(rate, now))) return false;
    } else if (this.#ownTokens >= 1) this.#ownTokens--;
    else if (this.#mayOverdraw(rate, now)) this.#overdraftUsed++;
    else return false;
    this.#spend(1, now);
    this.#ownWindow?.add(1, now);
    this.#admitted++;
    return true;
  }

  /** Milliseconds until this instance has its next token. */
  waitMs(rate: FleetRate): number {
    if (this.#usesWindow(rate)) return this.#byWindow.waitMs;
    const perMs = rate.ratePerS * rate.share / MS_PER_S;
    return perMs <= 0 ? Infinity : Math.max(0, 1 - this.#ownTokens) / perMs;
  }

  /** Applies a peer's report of what it has admitted. */
  applyReport(report: AdmissionReport, rate: FleetRate, now: number): void {
    this.#refill(rate, now);
    const before = this.#lastReports.get(report.instance);
    const gapMs = this.#hasGap ? now - this.#reportedAt : 0;
    this.#hasGap = false;
    this.#reportedAt = now;
    this.#lastReports.set(report.instance, report);
    if (!this.#levelKnown) {
      this.#levelKnown = true;
      this.#adoptLevel(report.level, rate, now);
      return;
    }
    if (before === undefined) {
      this.#countGap(gapMs, now);
      return;
    }
    const from = before.start === report.start ? before.admitted : 0;
    this.#spend(Math.max(0, report.admitted - from), now);
  }

  /**
   * Marks a peer as unreachable. The reserved part of the rate covers what it
   * spends from now on, so its next report is a new baseline.
   */
  resetPeer(instance: InstanceId): void {
    this.#hasGap = this.#lastReports.delete(instance) || this.#hasGap;
  }

  /**
   * Rebalances own tokens to this instance's share of the remaining tokens.
   *
   * @param allReported Whether all peers have reported since the last
   * rebalance, which resets the overdraft.
   */
  rebalance(rate: FleetRate, allReported: boolean, now: number): void {
    if (allReported) this.#overdraftUsed = 0;
    this.#planWindow(rate, now);
    const level = this.level(rate, now);
    const reachable = reachableFraction(rate);
    // This instance's fraction of what the reachable instances may spend.
    const part = reachable > 0 ? Math.min(1, rate.share / reachable) : 0;
    // While an instance has not reported, its spending is not in the level.
    const surplus = rate.complete ? level - unreported(rate) : 0;
    const least = surplus >= 1 ? Math.max(MIN_TOKENS, surplus * part) : 0;
    const most = Math.max(MIN_TOKENS, level * part);
    this.#ownTokens = Math.max(least, Math.min(this.#ownTokens, most));
  }

  /**
   * Whether the window decides, once each instance has reported or has its share
   * reserved. Until then an instance spends its own tokens only.
   */
  #usesWindow(rate: FleetRate): boolean {
    return rate.complete && this.#byWindow.isPlanned && isSparse(rate);
  }

  #planWindow(rate: FleetRate, now: number): void {
    this.#refill(rate, now);
    const window = this.#window;
    if (window === undefined || !rate.complete || !isSparse(rate)) return;
    const reachable = reachableFraction(rate);
    this.#adjustWindow(window, rate, now);
    this.#byWindow.plan({
      allowed: rate.perWindow * reachable,
      spent: window.sum(now),
      recentPerS: window.sumSince(RECENT_MS, now) * MS_PER_S / RECENT_MS,
      ownPerS: rate.ownPerS,
      peersPerS: rate.peersPerS,
      instances: rate.instances,
      tolerated: rate.tolerated * reachable,
      windowMs: rate.windowMs,
      gossipDelayMs: rate.gossipDelayMs,
      ageMs: now - this.#startedAt,
      sinceReportMs: rate.instances > 1 ? now - this.#reportedAt : 0,
    }, now);
  }

  /** Requests admitted here of which peers may not know yet. */
  #unreported({ gossipDelayMs }: FleetRate, now: number): number {
    return this.#ownWindow?.sumSince(unreportedMs(gossipDelayMs), now) ?? 0;
  }

  /**
   * Counts what peers admitted since the last report where counters start anew,
   * as when another relay takes over.
   */
  #countGap(gapMs: number, now: number): void {
    const perS = this.#byWindow.peersAdmitPerS;
    this.#spend(perS * gapMs / MS_PER_S, now);
  }

  /**
   * Leaves earlier admissions of instances that became unreachable out of the
   * window, in proportion to their reserved shares, and assumes that instances
   * that became reachable have spent theirs.
   */
  #adjustWindow(
    window: SlidingWindowCounter,
    rate: FleetRate,
    now: number,
  ): void {
    const fraction = reachableFraction(rate);
    const before = this.#windowFraction;
    this.#windowFraction = fraction;
    if (fraction !== before) this.#hasGap = false;
    if (fraction < before) {
      const own = Math.min(rate.share, fraction);
      const peers = Math.max(0, fraction - own) /
        Math.max(Number.EPSILON, before - own);
      window.scaleOthers(this.#ownWindow, peers, now);
    } else if (fraction > before) {
      window.addEvenly((fraction - before) * rate.perWindow, now);
    }
  }

  /** Whether the fleet has tokens left, as for demand that is new here. */
  #mayOverdraw(rate: FleetRate, now: number): boolean {
    if (
      this.#overdraftUsed + 1 > rate.overdraft ||
      !this.#isWindowKnown(rate, now)
    ) return false;
    return this.level(rate, now) - unreported(rate) >= 1;
  }

  #spend(n: number, now: number): void {
    this.#fleetTokens -= n;
    this.#window?.add(n, now);
  }

  /** Takes the level from a peer that saw the spending before this start. */
  #adoptLevel(level: number, rate: FleetRate, now: number): void {
    const known = Math.min(level, rate.burst);
    this.#fleetTokens = Math.max(this.#fleetTokens, known);
    if (this.#window === undefined) return;
    const spent = this.#window.sum(now);
    const reported = Math.max(0, rate.perWindow - level);
    if (reported < spent) this.#window.assume(reported, 0, now);
  }

  /**
   * Refills tokens. Unreachable instances may be spending the reserved part of
   * the rate, so that part of the refill and of the burst is left out.
   */
  #refill(rate: FleetRate, now: number): void {
    this.#ensureWindow(rate, now);
    const elapsedS = Math.max(0, now - this.#refilledAt) / MS_PER_S;
    this.#refilledAt = Math.max(now, this.#refilledAt);
    const perS = this.#isWindowKnown(rate, now)
      ? rate.ratePerS
      : rate.initialPerS;
    const gained = elapsedS * perS;
    const reachable = reachableFraction(rate);
    this.#fleetTokens = Math.min(
      rate.burst * reachable,
      this.#fleetTokens + gained * reachable,
    );
    // After overspending, own tokens refill only once the level is positive.
    const given = this.#level(rate, now) > 0 ? gained * rate.share : 0;
    const least = MIN_TOKENS + rate.overdraft * SAVED_OVERDRAFT_FRACTION;
    const cap = Math.max(least, rate.burst * rate.share);
    this.#ownTokens = Math.min(cap, this.#ownTokens + given);
  }

  #level(rate: FleetRate, now: number): number {
    if (this.#window === undefined) return this.#fleetTokens;
    const room = rate.perWindow * reachableFraction(rate) -
      this.#window.sum(now);
    if (this.#usesWindow(rate)) return room;
    return Math.min(this.#fleetTokens, room);
  }

  /**
   * Whether all spending in the window is known: this instance is older than
   * the window, and each instance has reported or has its share reserved.
   */
  #isWindowKnown(
    { windowMs, complete }: FleetRate,
    now: number,
  ): boolean {
    return complete && now - this.#startedAt >= windowMs;
  }

  /** Creates the window, assuming that all of it was spent before the start. */
  #ensureWindow({ windowMs, perWindow }: FleetRate, now: number): void {
    if (windowMs <= 0 || this.#window !== undefined) return;
    this.#window = new SlidingWindowCounter(windowMs, now);
    this.#ownWindow = new SlidingWindowCounter(windowMs, now);
    this.#window.assume(perWindow, now - this.#refilledAt, now);
  }
}

/**
 * Whether a rate is too small, over the fleet, to be split by shares. The fleet
 * has relays then: with reports of 0.4 s, shares serve small accounts as well.
 */
function isSparse(
  { windowMs, gossipDelayMs, ratePerS, fleetSize }: FleetRate,
): boolean {
  return windowMs > 0 && gossipDelayMs > DIRECT_GOSSIP_DELAY_MS &&
    ratePerS < MAX_SPARSE_PER_S * fleetSize;
}

function reachableFraction({ reserved }: FleetRate): number {
  return 1 - reserved;
}

/** What peers may have admitted since their last report. */
function unreported({ peersPerS, ratePerS, gossipDelayMs }: FleetRate): number {
  return Math.min(peersPerS, ratePerS) * gossipDelayMs / MS_PER_S;
}
