/**
 * How fast a cold endpoint may be sent requests.
 *
 * The load it answers: an endpoint that starts, or comes back, takes the part
 * of the traffic that its place in the hashing gives it, from every instance at
 * once, and crashes under it. Nobody counts the fleet's requests in time, so
 * each instance keeps to its part of the rate: the sum stays under the limit in
 * any second, with instances in touch or not.
 *
 * @module
 */
import { type BucketSize, TokenBucket } from "../limits/token_bucket.ts";
import type { EndpointId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";

/**
 * Part of the stated rate that is used. Requests sent in one second may arrive
 * in the next, which bunches two instances' parts.
 */
const USED_PART = 0.8;
/** Tokens a bucket holds: one, so that instances cannot save up for a burst. */
const BURST = 1;

/** What a cold endpoint bears, and how many share it. */
export interface ColdRate {
  /** Requests a second from the whole fleet. */
  readonly ratePerS: number;
  /** Instances that may send to it. */
  readonly instances: number;
}

/** Rates of the cold endpoints at one instance. */
export class ColdLimits {
  readonly #buckets = new Map<EndpointId, TokenBucket>();

  /** Whether the endpoint is cold now. */
  isCold(row: EndpointRow, now: number): boolean {
    return now < row.coldUntil;
  }

  /** Whether one request more has room at a cold endpoint. */
  hasRoom(row: EndpointRow, rate: ColdRate, now: number): boolean {
    return this.#bucket(row, rate, now).tokens(now) >= 1;
  }

  /** Takes one request's room at a cold endpoint, if there is any. */
  take(row: EndpointRow, rate: ColdRate, now: number): boolean {
    return this.#bucket(row, rate, now).take(now);
  }

  forget(id: EndpointId): void {
    this.#buckets.delete(id);
  }

  #bucket(row: EndpointRow, rate: ColdRate, now: number): TokenBucket {
    const size: BucketSize = {
      ratePerS: rate.ratePerS * USED_PART / Math.max(1, rate.instances),
      burst: BURST,
    };
    const known = this.#buckets.get(row.id);
    if (known === undefined) {
      const fresh = new TokenBucket(size, now);
      this.#buckets.set(row.id, fresh);
      return fresh;
    }
    known.resize(size, now);
    return known;
  }
}
