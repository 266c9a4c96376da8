/**
 * One account's token bucket over the whole fleet, as one instance keeps it.
 *
 * @module
 */
import type { InstanceId } from "../../core/mod.ts";
import type { RateLimit } from "./rate_limit.ts";
import { WindowCount } from "./window_count.ts";

/** An account's limit, and this instance's part in it. */
export interface FleetRate extends RateLimit {
  /** This instance's share of the rate, in [0, 1]. */
  readonly share: number;
  /** Part of the rate that unreachable instances may be spending. */
  readonly reserved: number;
  /** Whether each instance that may spend reported or has its share reserved. */
  readonly allKnown: boolean;
  /** Requests a second at the peers, as last reported. */
  readonly othersPerS: number;
  /** How old peers' reports may be, in milliseconds. */
  readonly gossipDelayMs: number;
  /**
   * Overdraft: tokens that this instance may spend beyond its own while the
   * fleet has some, until all peers have reported.
   */
  readonly ahead: number;
}

/** What an instance has admitted of an account. */
export interface Admitted {
  readonly instance: InstanceId;
  /** Identifies the instance's start: counts restart with it. */
  readonly start: string;
  /** Requests admitted since that start. */
  readonly admitted: number;
  /** The fleet's remaining tokens as that instance knows them. */
  readonly level: number;
}

/**
 * Tokens that an instance can always hold: requests are whole, and shares of a
 * small burst are not.
 */
const LEAST_TOKENS = 1;
/**
 * What an instance can save of a small burst, as a part of its overdraft: a
 * single token at an instance without requests would be lost.
 */
const SAVED_AHEAD = 0.5;
/**
 * The shortest downtime of a restart, in milliseconds. Tokens of that time are
 * available at the start, whatever was spent before.
 */
const DOWN_MS = 500;
const MS_PER_S = 1_000;

/**
 * Keeps the fleet's remaining tokens, from what all instances report as
 * admitted, and this instance's own tokens, which it spends besides a small
 * overdraft.
 *
 * Own tokens are refilled at this instance's share of the rate, so they sum to
 * the rate over the fleet, also under partitions. Each tick they are rebalanced
 * to its share of the fleet's remaining tokens: otherwise an account with a
 * small burst is refused at one instance while its tokens are unused elsewhere.
 *
 * Remaining tokens never exceed what the window has left.
 */
export class FleetBucket {
  #saved: number;
  #levelKnown = false;
  #tokens = LEAST_TOKENS;
  readonly #startedAt: number;
  #filledAt: number;
  #admitted = 0;
  /** Overdraft since all peers last reported. */
  #ahead = 0;
  #window: WindowCount | undefined;
  readonly #reported = new Map<InstanceId, Admitted>();

  /** What was spent before is unknown, so the full rate is assumed. */
  constructor(now: number) {
    this.#saved = 0;
    this.#startedAt = now;
    this.#filledAt = now - DOWN_MS;
  }

  /** Requests admitted here since this instance's start. */
  get admitted(): number {
    return this.#admitted;
  }

  /** Remaining tokens of the fleet; below zero after overspending. */
  level(rate: FleetRate, now: number): number {
    this.#fill(rate, now);
    return this.#level(rate, now);
  }

  /** Spends one token if there is one. */
  take(rate: FleetRate, now: number): boolean {
    this.#fill(rate, now);
    if (this.#tokens >= 1) this.#tokens--;
    else if (this.#mayOverdraw(rate, now)) this.#ahead++;
    else return false;
    this.#spend(1, now);
    this.#admitted++;
    return true;
  }

  /** Milliseconds until this instance has its next token. */
  waitMs(rate: FleetRate): number {
    const perMs = rate.ratePerS * rate.share / MS_PER_S;
    return perMs <= 0 ? Infinity : Math.max(0, 1 - this.#tokens) / perMs;
  }

  /** Applies a peer's report of what it has admitted. */
  hear(news: Admitted, rate: FleetRate, now: number): void {
    this.#fill(rate, now);
    const before = this.#reported.get(news.instance);
    this.#reported.set(news.instance, news);
    if (!this.#levelKnown) {
      this.#levelKnown = true;
      this.#adoptLevel(news.level, rate, now);
      return;
    }
    if (before === undefined) return;
    const from = before.start === news.start ? before.admitted : 0;
    this.#spend(Math.max(0, news.admitted - from), now);
  }

  /**
   * A peer is unreachable. What it spends from now on is in the reserved part of
   * the rate, so its next report is a new baseline.
   */
  unreachable(instance: InstanceId): void {
    this.#reported.delete(instance);
  }

  /**
   * Rebalances own tokens to this instance's share of the remaining tokens.
   *
   * @param allReported Whether all peers have reported again, so that everybody
   * knows of the overdraft.
   */
  rebalance(rate: FleetRate, allReported: boolean, now: number): void {
    if (allReported) this.#ahead = 0;
    const level = this.level(rate, now);
    const heard = heardPart(rate);
    // This instance's part of what the reachable instances may spend.
    const part = heard > 0 ? Math.min(1, rate.share / heard) : 0;
    // Without a report of some instance, its spending is missing.
    const surplus = rate.allKnown ? level - unheard(rate) : 0;
    const least = surplus >= 1 ? Math.max(LEAST_TOKENS, surplus * part) : 0;
    const most = Math.max(LEAST_TOKENS, level * part);
    this.#tokens = Math.max(least, Math.min(this.#tokens, most));
  }

  /** The fleet has tokens though this instance has none, as for new demand. */
  #mayOverdraw(rate: FleetRate, now: number): boolean {
    if (this.#ahead + 1 > rate.ahead || !this.#isSure(rate, now)) return false;
    return this.level(rate, now) - unheard(rate) >= 1;
  }

  #spend(n: number, now: number): void {
    this.#saved -= n;
    this.#window?.add(n, now);
  }

  /** A peer that ran before this start knows what was spent. */
  #adoptLevel(level: number, rate: FleetRate, now: number): void {
    const known = Math.min(level, rate.burst);
    this.#saved = Math.max(this.#saved, known);
    if (this.#window === undefined) return;
    const spent = this.#window.sum(now);
    const reported = Math.max(0, rate.perWindow - known);
    if (reported < spent) this.#window.assume(reported, 0, now);
  }

  /**
   * Tokens that unreachable instances may be spending are not counted; the same
   * part of the burst is unavailable.
   */
  #fill(rate: FleetRate, now: number): void {
    this.#followWindow(rate, now);
    const elapsedS = Math.max(0, now - this.#filledAt) / MS_PER_S;
    this.#filledAt = Math.max(now, this.#filledAt);
    const perS = this.#isSure(rate, now) ? rate.ratePerS : rate.firstPerS;
    const gained = elapsedS * perS;
    const heard = heardPart(rate);
    this.#saved = Math.min(rate.burst * heard, this.#saved + gained * heard);
    // After overspending nothing is handed out until the level is positive.
    const given = this.#level(rate, now) > 0 ? gained * rate.share : 0;
    const least = LEAST_TOKENS + rate.ahead * SAVED_AHEAD;
    const cap = Math.max(least, rate.burst * rate.share);
    this.#tokens = Math.min(cap, this.#tokens + given);
  }

  #level(rate: FleetRate, now: number): number {
    if (this.#window === undefined) return this.#saved;
    const room = rate.perWindow * heardPart(rate) - this.#window.sum(now);
    return Math.min(this.#saved, room);
  }

  /**
   * Whether the window's contents are known: this instance is older than the
   * window, and each that may spend has reported.
   */
  #isSure({ windowMs, allKnown }: FleetRate, now: number): boolean {
    return allKnown && now - this.#startedAt >= windowMs;
  }

  /** At the start the whole window may have been spent before. */
  #followWindow({ windowMs, perWindow }: FleetRate, now: number): void {
    if (windowMs <= 0 || this.#window !== undefined) return;
    this.#window = new WindowCount(windowMs, now);
    this.#window.assume(perWindow, now - this.#filledAt, now);
  }
}

function heardPart({ reserved }: FleetRate): number {
  return 1 - reserved;
}

/** What peers may have admitted since their last report. */
function unheard({ othersPerS, ratePerS, gossipDelayMs }: FleetRate): number {
  return Math.min(othersPerS, ratePerS) * gossipDelayMs / MS_PER_S;
}
