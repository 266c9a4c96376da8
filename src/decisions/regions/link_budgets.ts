/**
 * Rate limits for this instance's bytes on the links that leave its region.
 *
 * Handles a shift of traffic over a capped link. Every instance has a share of
 * the cap in proportion to its seats, and requests and responses are paced to
 * it. Without this a failover saturates the link, which causes packet loss and
 * latency for all other traffic on it.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { SteeringDocument } from "../../document/mod.ts";
import { TokenBucket } from "../limits/mod.ts";

/** Bytes a second in one megabit a second. */
const BYTES_PER_MBIT = 125_000;
/** The rest is for headers of lower layers and messages between instances. */
const USABLE_RATIO = 0.9;
/** Burst in seconds at this instance's rate; at least two chunks. */
const BURST_S = 0.05;
/** Largest number of bytes sent at once. */
export const CHUNK_BYTES = 65_536;
/** New requests use the link only while this part of the burst is available. */
const MIN_BURST_RATIO = 0.25;

export interface LinkBudgetsDeps {
  readonly region: RegionId;
  /** Fraction of the region's seats that this instance holds at `now`. */
  readonly part: (now: number) => number;
}

interface Link {
  readonly bytesPerS: number;
  readonly bucket: TokenBucket;
  part: number;
}

/** Token buckets over the links that leave this region. */
export class LinkBudgets {
  readonly #deps: LinkBudgetsDeps;
  #links = new Map<RegionId, Link>();

  constructor(deps: LinkBudgetsDeps) {
    this.#deps = deps;
  }

  adopt(document: SteeringDocument, now: number): void {
    const part = this.#deps.part(now);
    const before = this.#links;
    this.#links = new Map();
    for (const { from, to, cap_mbit_per_s } of document.links) {
      if (from !== this.#deps.region) continue;
      const bytesPerS = cap_mbit_per_s * BYTES_PER_MBIT * USABLE_RATIO;
      const size = bucketLimits(bytesPerS, part);
      const bucket = before.get(to)?.bucket ?? new TokenBucket(size, now);
      bucket.resize(size, now);
      this.#links.set(to, { bytesPerS, bucket, part });
    }
  }

  /** Whether new requests may use the link; true for one without a cap. */
  canSend(to: RegionId, now: number): boolean {
    const link = this.#links.get(to);
    if (link === undefined) return true;
    this.#resize(link, now);
    const { burst } = bucketLimits(link.bytesPerS, link.part);
    return link.bucket.tokens(now) >= burst * MIN_BURST_RATIO && link.part > 0;
  }

  /**
   * Takes `bytes` (at most {@link CHUNK_BYTES}) from the bucket and returns 0,
   * or returns the milliseconds to wait before the next attempt.
   */
  spend(to: RegionId, bytes: number, now: number): number {
    const link = this.#links.get(to);
    if (link === undefined) return 0;
    this.#resize(link, now);
    if (link.bucket.take(now, bytes)) return 0;
    const waitMs = link.bucket.waitMs(now, bytes);
    return Number.isFinite(waitMs)
      ? Math.max(1, Math.ceil(waitMs))
      : NO_SEAT_RETRY_MS;
  }

  #resize(link: Link, now: number): void {
    const part = this.#deps.part(now);
    if (part === link.part) return;
    link.part = part;
    link.bucket.resize(bucketLimits(link.bytesPerS, part), now);
  }
}

/** Retry delay of an instance without a seat. */
const NO_SEAT_RETRY_MS = 100;

function bucketLimits(bytesPerS: number, part: number) {
  const ratePerS = bytesPerS * part;
  if (ratePerS === 0) return { ratePerS: 0, burst: 0 };
  return { ratePerS, burst: Math.max(2 * CHUNK_BYTES, ratePerS * BURST_S) };
}
