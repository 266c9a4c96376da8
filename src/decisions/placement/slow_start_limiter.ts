/**
 * Limits the rate of requests to endpoints in slow start.
 *
 * The load it answers: an endpoint that starts, or comes back, takes the part
 * of the traffic that its place in the hashing gives it, from every instance at
 * once, and crashes under it. Nobody counts the fleet's requests in time, so
 * each instance sends one request in its own short part of each round, and the
 * rounds are as long as the fleet's rate asks for. What an instance does not
 * use lapses: saved up, the parts of all instances could be spent in the same
 * second. The sum stays near the rate with instances in touch or not.
 *
 * @module
 */
import { type EndpointId, hash, type InstanceId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";

/**
 * Part of the stated rate that is used. Requests sent in one second may arrive
 * in the next, which bunches instances' parts.
 */
const USED_PART = 0.8;
/** An instance's part of a round, as a part of the round and in ms at most. */
const TURN_PART = 0.3;
const LONGEST_TURN_MS = 300;
const MS_PER_S = 1_000;
const HASHES = 0x1_0000_0000;

/** What a cold endpoint bears, and how many share it. */
export interface ColdRate {
  /** Requests a second from the whole fleet. */
  readonly ratePerS: number;
  /** Instances that may send to it. */
  readonly instances: number;
}

/** When an instance may send to the cold endpoints. */
export class SlowStartLimiter {
  readonly #own: InstanceId;
  /** The round in which each endpoint was last sent a request. */
  readonly #used = new Map<EndpointId, number>();

  constructor(own: InstanceId) {
    this.#own = own;
  }

  /** Whether the endpoint is cold now. */
  isCold(row: EndpointRow, now: number): boolean {
    return now < row.coldUntil;
  }

  /** Whether one request more may go to a cold endpoint now. */
  hasRoom(row: EndpointRow, rate: ColdRate, now: number): boolean {
    const { round, isTurn } = this.#turn(row, rate, now);
    return isTurn && this.#used.get(row.id) !== round;
  }

  /** Takes one request's room at a cold endpoint, if there is any. */
  take(row: EndpointRow, rate: ColdRate, now: number): boolean {
    if (!this.hasRoom(row, rate, now)) return false;
    this.#used.set(row.id, this.#turn(row, rate, now).round);
    return true;
  }

  forget(id: EndpointId): void {
    this.#used.delete(id);
  }

  /**
   * The round, and whether it is this instance's turn in it. Turns are spread
   * by hashing, so that instances which learn of a cold endpoint together do
   * not send to it together.
   */
  #turn(
    row: EndpointRow,
    rate: ColdRate,
    now: number,
  ): { readonly round: number; readonly isTurn: boolean } {
    const perS = rate.ratePerS * USED_PART / Math.max(1, rate.instances);
    const roundMs = MS_PER_S / Math.max(perS, 1e-6);
    const offset = hash(`${this.#own} ${row.id}`) / HASHES * roundMs;
    const at = now + offset;
    const turnMs = Math.min(LONGEST_TURN_MS, roundMs * TURN_PART);
    return { round: Math.floor(at / roundMs), isTurn: at % roundMs < turnMs };
  }
}
