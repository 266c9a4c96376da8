/**
 * One account's token bucket over the whole fleet, as one instance keeps it.
 *
 * @module
 */
import type { InstanceId } from "../../core/mod.ts";
import type { RateLimit } from "./rate_limit.ts";
import { WindowCount } from "./window_count.ts";

/** An account's limit, and what of it is this instance's to give. */
export interface FleetRate extends RateLimit {
  /** This instance's share of the rate, in [0, 1]. */
  readonly share: number;
  /** Part of the rate that instances which are not heard may be spending. */
  readonly reserved: number;
  /** Whether all that may spend are heard, or their shares are set aside. */
  readonly allKnown: boolean;
  /** Requests a second that the others were asked for, as they last told. */
  readonly othersPerS: number;
  /** How old what the others told may be, in milliseconds. */
  readonly gossipDelayMs: number;
  /**
   * Tokens that this instance may spend beyond its own while the fleet has
   * some, until the others have told what they spent.
   */
  readonly ahead: number;
}

/** What an instance has admitted of an account. */
export interface Admitted {
  readonly instance: InstanceId;
  /** Names the instance's start: counts begin anew with it. */
  readonly start: string;
  /** Requests admitted since that start. */
  readonly admitted: number;
  /** The fleet's level as that instance knows it, in tokens. */
  readonly level: number;
}

/**
 * Tokens that an instance can always hold: requests are whole, and shares of a
 * small burst are not.
 */
const LEAST_TOKENS = 1;
/**
 * What an instance can save up of a small burst, as a part of what it may spend
 * ahead: with a single token at each of a dozen instances, one at an instance
 * without requests is lost.
 */
const SAVED_AHEAD = 0.5;
/**
 * How long an instance that begins was surely not there, in milliseconds: from
 * its end to its listening again. What came in meanwhile is at hand, whatever
 * was spent before.
 */
const DOWN_MS = 500;
const MS_PER_S = 1_000;

/**
 * Knows two things: the fleet's level, from what every instance says it has
 * admitted, and this instance's own tokens, which are all that it spends but
 * for a few ahead.
 *
 * Its own tokens arrive by its share of the rate, so their sum over the fleet
 * is the rate, whoever is in touch with whom. Each tick they are brought to its
 * share of the fleet's level: without that, an account with a small burst would
 * be refused at one instance while its tokens lie unused at eleven others.
 *
 * The level is what the bucket holds, and never more than what the window has
 * left.
 */
export class FleetBucket {
  #saved: number;
  #levelKnown = false;
  #tokens = LEAST_TOKENS;
  readonly #startedAt: number;
  #filledAt: number;
  #admitted = 0;
  /** Spent beyond its own tokens since all others have told. */
  #ahead = 0;
  #window: WindowCount | undefined;
  readonly #reported = new Map<InstanceId, Admitted>();

  /** What the account spent before is not known: all it may have spent. */
  constructor(now: number) {
    this.#saved = 0;
    this.#startedAt = now;
    this.#filledAt = now - DOWN_MS;
  }

  /** Requests admitted here since this instance's start. */
  get admitted(): number {
    return this.#admitted;
  }

  /** Tokens of the fleet as far as known; below zero after overspending. */
  level(rate: FleetRate, now: number): number {
    this.#fill(rate, now);
    return this.#level(rate, now);
  }

  /** Spends one token if there is one. */
  take(rate: FleetRate, now: number): boolean {
    this.#fill(rate, now);
    if (this.#tokens >= 1) this.#tokens--;
    else if (this.#mayRunAhead(rate, now)) this.#ahead++;
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

  /** Takes in what another instance has admitted. */
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
   * An instance is heard no more. What it spends from now on is in the reserved
   * part of the rate, so its next count is a new beginning.
   */
  unreachable(instance: InstanceId): void {
    this.#reported.delete(instance);
  }

  /**
   * Brings this instance's tokens to its share of the fleet's level.
   *
   * @param allTold Whether all others have told since the last time that they
   * had, so that what was spent ahead is in everybody's level.
   */
  rebalance(rate: FleetRate, allReported: boolean, now: number): void {
    if (allReported) this.#ahead = 0;
    const level = this.level(rate, now);
    const heard = heardPart(rate);
    // Of what those that hear each other may spend, this instance's part.
    const part = heard > 0 ? Math.min(1, rate.share / heard) : 0;
    // Where some were never heard, the level lacks what they spend.
    const surplus = rate.allKnown ? level - unheard(rate) : 0;
    const least = surplus >= 1 ? Math.max(LEAST_TOKENS, surplus * part) : 0;
    const most = Math.max(LEAST_TOKENS, level * part);
    this.#tokens = Math.max(least, Math.min(this.#tokens, most));
  }

  /** The fleet has tokens, though none are here: an account that just came. */
  #mayRunAhead(rate: FleetRate, now: number): boolean {
    if (this.#ahead + 1 > rate.ahead || !this.#isSure(rate, now)) return false;
    return this.level(rate, now) - unheard(rate) >= 1;
  }

  #spend(n: number, now: number): void {
    this.#saved -= n;
    this.#window?.add(n, now);
  }

  /** One that was there before knows what was spent. */
  #adoptLevel(level: number, rate: FleetRate, now: number): void {
    const known = Math.min(level, rate.burst);
    this.#saved = Math.max(this.#saved, known);
    if (this.#window === undefined) return;
    const spent = this.#window.sum(now);
    const reported = Math.max(0, rate.perWindow - known);
    if (reported < spent) this.#window.assume(reported, 0, now);
  }

  /**
   * Tokens that instances which are not heard may be spending are neither
   * counted nor kept: of the burst, too, only the rest is at hand here.
   */
  #fill(rate: FleetRate, now: number): void {
    this.#followWindow(rate, now);
    const elapsedS = Math.max(0, now - this.#filledAt) / MS_PER_S;
    this.#filledAt = Math.max(now, this.#filledAt);
    const perS = this.#isSure(rate, now) ? rate.ratePerS : rate.firstPerS;
    const gained = elapsedS * perS;
    const heard = heardPart(rate);
    this.#saved = Math.min(rate.burst * heard, this.#saved + gained * heard);
    // After more was spent than there was, nothing is given out until that has
    // come in again.
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
   * Whether what the window holds is known. It is not while this instance is
   * younger than the window, since all others may be as young, nor while some
   * that may spend were never heard.
   */
  #isSure({ windowMs, allKnown }: FleetRate, now: number): boolean {
    return allKnown && now - this.#startedAt >= windowMs;
  }

  /** At the start, all of the window may have been spent before. */
  #followWindow({ windowMs, perWindow }: FleetRate, now: number): void {
    if (windowMs <= 0 || this.#window !== undefined) return;
    this.#window = new WindowCount(windowMs, now);
    this.#window.assume(perWindow, now - this.#filledAt, now);
  }
}

function heardPart({ reserved }: FleetRate): number {
  return 1 - reserved;
}

/** What the others may have admitted since they last told. */
function unheard({ othersPerS, ratePerS, gossipDelayMs }: FleetRate): number {
  return Math.min(othersPerS, ratePerS) * gossipDelayMs / MS_PER_S;
}
