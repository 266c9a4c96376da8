/**
 * Demand of affinity keys, as one instance sees it.
 *
 * Load: of a few hundred keys some get ten times the requests of others. Digests
 * have no room for rates by key, so an instance takes its own rate of a key as
 * its share of the region's. At ten requests a second per instance, that is
 * accurate for keys that need more than the smallest set only. Instances that
 * disagree choose prefixes of one order, which differ in their last members.
 *
 * @module
 */

/** Time constant of the moving average of a rate, in milliseconds. */
const RATE_PERIOD_MS = 2_000;
/** Interval at which a size shrinks by one while the demand is lower. */
const SHRINK_INTERVAL_MS = 4_000;
/** The key that was idle longest is evicted beyond this many. */
const MAX_KEYS = 2_048;
const MS_PER_S = 1_000;

interface KeyRow {
  ratePerS: number;
  countedAt: number;
  size: number;
  /** When the size last had a reason, or shrank. */
  sizedAt: number;
}

/** What determines the size of a replica set, beside the key's demand. */
export interface SetSizing {
  /** Instances among which the key's requests are divided. */
  readonly instances: number;
  /** Requests a second that one member can take of one key. */
  readonly memberPerS: number;
  readonly min: number;
  readonly max: number;
}

/** Estimates the demand of keys, and the sizes of their replica sets. */
export class KeyDemand {
  readonly #keys = new Map<string, KeyRow>();

  /** Counts a request of a key. */
  count(key: string, now: number): void {
    const row = this.#keys.get(key);
    if (row === undefined) {
      const ratePerS = MS_PER_S / RATE_PERIOD_MS;
      this.#keys.set(key, { ratePerS, countedAt: now, size: 0, sizedAt: now });
      this.#evictOldest();
      return;
    }
    row.ratePerS = rateAt(row, now) + MS_PER_S / RATE_PERIOD_MS;
    row.countedAt = now;
    // Keys are evicted in the order of their last request.
    this.#keys.delete(key);
    this.#keys.set(key, row);
  }

  /** The size of a key's replica set: grows at once, shrinks by steps. */
  sizeOf(key: string, sizing: SetSizing, now: number): number {
    const { instances, memberPerS, min, max } = sizing;
    const row = this.#keys.get(key);
    if (row === undefined) return min;
    const ratePerS = sureRate(rateAt(row, now));
    const needed = Math.ceil(ratePerS * instances / memberPerS);
    const bounded = Math.max(min, Math.min(max, needed));
    if (bounded >= row.size) {
      row.size = bounded;
      row.sizedAt = now;
      return bounded;
    }
    const steps = Math.floor((now - row.sizedAt) / SHRINK_INTERVAL_MS);
    if (steps > 0) {
      row.size = Math.max(bounded, row.size - steps);
      row.sizedAt = now;
    }
    return row.size;
  }

  #evictOldest(): void {
    if (this.#keys.size <= MAX_KEYS) return;
    for (const oldest of this.#keys.keys()) {
      this.#keys.delete(oldest);
      return;
    }
  }
}

/**
 * A rate less the standard deviation of its estimate. A few requests by chance
 * would otherwise enlarge the sets of many keys.
 */
function sureRate(ratePerS: number): number {
  const counted = ratePerS * RATE_PERIOD_MS / MS_PER_S;
  return Math.max(0, counted - Math.sqrt(counted)) * MS_PER_S / RATE_PERIOD_MS;
}

function rateAt({ ratePerS, countedAt }: KeyRow, now: number): number {
  return ratePerS * Math.exp((countedAt - now) / RATE_PERIOD_MS);
}
