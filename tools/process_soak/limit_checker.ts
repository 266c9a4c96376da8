/**
 * Checks that endpoints get no more than the rate limits that they announce.
 *
 * @module
 */
import type { Disturbances, Sender } from "./property_checker.ts";

/** The window of the check, and what it may hold beyond the limit. */
const WINDOW_S = 4;
const OVERSHOOT = 1.5;
const SLACK = 5;
/** Time from the first announcement to the end of the first window. */
const SETTLE_MS = 3_000;
/** Time after which an instance that passed on a limit has to apply it. */
const IN_FLIGHT_MS = 500;
const MS_PER_S = 1_000;

/** How an endpoint's limit was used while it was announced. */
export interface LimitSummary {
  readonly endpoint: string;
  readonly ratePerS: number;
  readonly forMs: number;
  /** Arrivals from the end of the settling time on, over the limit. */
  readonly used: number;
  /** Fullest window, over what it may hold. */
  readonly fullest: number;
  /** The same, of instances that had passed the limit on before. */
  readonly fullestInformed: number;
  /** When a window first held more, in milliseconds; undefined if none did. */
  readonly exceededAtMs: number | undefined;
  /** Arrivals in each second since the announcement. */
  readonly arrivalsPerS: readonly number[];
}

/** An announced limit, and the arrivals within the last window. */
interface Announced {
  readonly ratePerS: number;
  readonly since: number;
  /** Arrivals from all instances, from the end of the settling time on. */
  readonly settled: number[];
  /** Arrivals from instances that had passed the limit on before. */
  readonly informed: number[];
  readonly arrivalsPerS: number[];
  arrivals: number;
  fullest: number;
  fullestInformed: number;
  exceededAtMs: number | undefined;
}

/** Dependencies of the checker. */
export interface LimitCheckerOptions {
  /** Whether an instance and the store were undisturbed lately. */
  readonly isCalm: (instance: string, at: number) => boolean;
  readonly disturbances: Pick<Disturbances, "cutUntil">;
  readonly onViolation: (request: string) => void;
}

/** Tracks announced limits and the arrivals at their endpoints. */
export class LimitChecker {
  readonly #opts: LimitCheckerOptions;
  readonly #announced = new Map<string, Announced>();
  /** When an incarnation of an instance first passed an endpoint's limit on. */
  readonly #informedAt = new Map<string, number>();
  readonly summaries: LimitSummary[] = [];

  constructor(opts: LimitCheckerOptions) {
    this.#opts = opts;
  }

  /** Records an announced limit; undefined withdraws it. */
  announced(endpoint: string, ratePerS: number | undefined, now: number): void {
    this.#end(endpoint, now);
    if (ratePerS === undefined) return;
    this.#announced.set(endpoint, {
      ratePerS,
      since: now,
      settled: [],
      informed: [],
      arrivalsPerS: [],
      arrivals: 0,
      fullest: 0,
      fullestInformed: 0,
      exceededAtMs: undefined,
    });
  }

  /** Records that an instance passed on a response with a limit. */
  passedOn(endpoint: string, sender: Sender, now: number): void {
    const limit = this.#announced.get(endpoint);
    if (limit === undefined) return;
    const key = keyOf(endpoint, limit, sender);
    if (!this.#informedAt.has(key)) this.#informedAt.set(key, now);
  }

  /** Checks a request that arrives at an endpoint. */
  arrived(
    endpoint: string,
    request: string,
    sender: Sender,
    now: number,
  ): void {
    const limit = this.#announced.get(endpoint);
    if (limit === undefined) return;
    const second = Math.floor((now - limit.since) / MS_PER_S);
    limit.arrivalsPerS[second] = (limit.arrivalsPerS[second] ?? 0) + 1;
    const isSettled = now - limit.since >= SETTLE_MS;
    if (isSettled) limit.arrivals++;
    const { isCalm, disturbances } = this.#opts;
    if (!isCalm(sender.instance, now)) return;
    const informedAt = this.#informedAt.get(keyOf(endpoint, limit, sender)) ??
      Infinity;
    const isBound = now >= informedAt + IN_FLIGHT_MS &&
      disturbances.cutUntil(sender.instance) < informedAt;
    if (isBound) limit.informed.push(now);
    if (!isSettled) return;
    limit.settled.push(now);
    const from = now - WINDOW_S * MS_PER_S;
    const allowed = maxPerWindow(limit.ratePerS);
    const informed = countSince(limit.informed, from) / allowed;
    const share = Math.max(
      countSince(limit.settled, from) / allowed,
      informed,
    );
    limit.fullest = Math.max(limit.fullest, share);
    limit.fullestInformed = Math.max(limit.fullestInformed, informed);
    if (share <= 1) return;
    limit.exceededAtMs ??= now - limit.since;
    this.#opts.onViolation(request);
  }

  /** Adds the limits that are still announced to the summaries. */
  finish(now: number): void {
    for (const endpoint of [...this.#announced.keys()]) {
      this.#end(endpoint, now);
    }
  }

  #end(endpoint: string, now: number): void {
    const limit = this.#announced.get(endpoint);
    if (limit === undefined) return;
    this.#announced.delete(endpoint);
    const { ratePerS, since, arrivals, exceededAtMs } = limit;
    const { fullest, fullestInformed } = limit;
    const settledMs = Math.max(1, now - since - SETTLE_MS);
    this.summaries.push({
      endpoint,
      ratePerS,
      forMs: now - since,
      used: arrivals * MS_PER_S / (ratePerS * settledMs),
      fullest,
      fullestInformed,
      exceededAtMs,
      arrivalsPerS: Array.from(limit.arrivalsPerS, (n) => n ?? 0),
    });
  }
}

function maxPerWindow(ratePerS: number): number {
  return ratePerS * WINDOW_S * OVERSHOOT + SLACK;
}

/** Removes the times up to `from` and counts the others. */
function countSince(times: number[], from: number): number {
  while (times[0] !== undefined && times[0] <= from) times.shift();
  return times.length;
}

function keyOf(
  endpoint: string,
  { since }: Announced,
  { instance, life }: Sender,
): string {
  return `${endpoint} ${since} ${instance} ${life}`;
}
