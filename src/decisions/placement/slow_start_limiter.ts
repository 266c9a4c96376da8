/**
 * Limits the rate of requests to endpoints in slow start.
 *
 * Load: an endpoint that starts or recovers gets its full hash share of the
 * traffic from every instance at once, and crashes under it. Gossip is too slow
 * to count the fleet's requests, so each instance may send one request in its
 * own short window of each period, whose length follows from the fleet's rate.
 * Unused windows expire: accumulated, those of all instances could be spent in
 * the same second. The sum stays near the rate even during a partition.
 *
 * @module
 */
import {
  type EndpointId,
  hashFraction,
  type InstanceId,
} from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";

/**
 * Share of the configured rate that is used. Requests sent in one second may
 * arrive in the next, together with those sent then.
 */
const RATE_SHARE = 0.8;
/** Length of an instance's window, as a share of the period and at most. */
const WINDOW_SHARE = 0.3;
const MAX_WINDOW_MS = 300;
const MS_PER_S = 1_000;

/** Rate limit of a cold endpoint, and how many instances share it. */
export interface ColdRate {
  /** Requests per second from the whole fleet. */
  readonly ratePerS: number;
  /** Instances that may send to it; undefined if not known. */
  readonly instances: number | undefined;
}

/** Decides when an instance may send to cold endpoints. */
export class SlowStartLimiter {
  readonly #own: InstanceId;
  /** The period of the last request to each endpoint. */
  readonly #lastPeriods = new Map<EndpointId, number>();

  constructor(own: InstanceId) {
    this.#own = own;
  }

  isCold(row: EndpointRow, now: number): boolean {
    return now < row.coldUntil;
  }

  /** Whether one more request may be sent to a cold endpoint now. */
  hasRoom(row: EndpointRow, rate: ColdRate, now: number): boolean {
    return this.#openPeriod(row, rate, now) !== undefined;
  }

  /** Reserves one request at a cold endpoint, if one may be sent now. */
  take(row: EndpointRow, rate: ColdRate, now: number): boolean {
    const period = this.#openPeriod(row, rate, now);
    if (period === undefined) return false;
    this.#lastPeriods.set(row.id, period);
    return true;
  }

  forget(id: EndpointId): void {
    this.#lastPeriods.delete(id);
  }

  /** The current period, if a request may be sent in it now. */
  #openPeriod(
    row: EndpointRow,
    { ratePerS, instances }: ColdRate,
    now: number,
  ): number | undefined {
    // With too small a number, a fleet that starts would send a multiple of it.
    if (instances === undefined) return undefined;
    const ownPerS = ratePerS * RATE_SHARE / Math.max(1, instances);
    const { period, inWindow } = this.#window(row, ownPerS, now);
    const isUsed = this.#lastPeriods.get(row.id) === period;
    return inWindow && !isUsed ? period : undefined;
  }

  /**
   * The current period, and whether it is in this instance's window. Windows
   * are spread by hashing, so that instances which discover a cold endpoint at
   * the same time do not send to it at the same time.
   */
  #window(
    row: EndpointRow,
    ownPerS: number,
    now: number,
  ): { readonly period: number; readonly inWindow: boolean } {
    const periodMs = MS_PER_S / Math.max(ownPerS, 1e-6);
    const offset = hashFraction(`${this.#own} ${row.id}`) * periodMs;
    const at = now + offset;
    const windowMs = Math.min(MAX_WINDOW_MS, periodMs * WINDOW_SHARE);
    return {
      period: Math.floor(at / periodMs),
      inWindow: at % periodMs < windowMs,
    };
  }
}
