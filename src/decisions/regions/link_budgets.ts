/**
 * This instance's part of the links that leave its region, in bytes.
 *
 * Answers a shift of traffic over a capped link. Whoever sends over a link
 * holds its part of the cap, by seats; requests and answers alike are paced to
 * it. Without this a failover fills the link, which shows as loss and as the
 * latency of everything else on it.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { SteeringDocument } from "../../document/mod.ts";
import { TokenBucket } from "../limits/mod.ts";

/** Bytes a second in one megabit a second. */
const BYTES_PER_MBIT = 125_000;
/** Left for headers of lower layers and the instances' own messages. */
const USABLE_PART = 0.9;
/** Bytes that may pass at once: 50 ms of the link, at least two chunks. */
const BURST_S = 0.05;
/** Longest piece that is sent in one go. */
export const CHUNK_BYTES = 65_536;
/** New work waits off the link until this part of the burst is there again. */
const SPARE_PART = 0.25;

/** What link budgets need. */
export interface LinkBudgetsDeps {
  readonly region: RegionId;
  /** Part of the region's seats that this instance holds at `now`. */
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
      const bytesPerS = cap_mbit_per_s * BYTES_PER_MBIT * USABLE_PART;
      const size = sizeOf(bytesPerS, part);
      const bucket = before.get(to)?.bucket ?? new TokenBucket(size, now);
      bucket.resize(size, now);
      this.#links.set(to, { bytesPerS, bucket, part });
    }
  }

  /** Whether more work may be sent to the region; a link without a cap is open. */
  hasRoom(to: RegionId, now: number): boolean {
    const link = this.#links.get(to);
    if (link === undefined) return true;
    this.#resize(link, now);
    const { burst } = sizeOf(link.bytesPerS, link.part);
    return link.bucket.tokens(now) >= burst * SPARE_PART && link.part > 0;
  }

  /**
   * Spends `bytes` (at most {@link CHUNK_BYTES}) if they may be sent now;
   * otherwise gives the milliseconds to wait before asking again.
   */
  spend(to: RegionId, bytes: number, now: number): number {
    const link = this.#links.get(to);
    if (link === undefined) return 0;
    this.#resize(link, now);
    if (link.bucket.take(now, bytes)) return 0;
    const waitMs = link.bucket.waitMs(now, bytes);
    return Number.isFinite(waitMs) ? Math.max(1, Math.ceil(waitMs)) : IDLE_MS;
  }

  #resize(link: Link, now: number): void {
    const part = this.#deps.part(now);
    if (part === link.part) return;
    link.part = part;
    link.bucket.resize(sizeOf(link.bytesPerS, part), now);
  }
}

/** An instance without a seat asks again after this long, in milliseconds. */
const IDLE_MS = 100;

function sizeOf(bytesPerS: number, part: number) {
  const ratePerS = bytesPerS * part;
  if (ratePerS === 0) return { ratePerS: 0, burst: 0 };
  return { ratePerS, burst: Math.max(2 * CHUNK_BYTES, ratePerS * BURST_S) };
}
