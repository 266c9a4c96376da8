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
/** Stands for all lives of an instance. */
const ANY_LIFE = 0;

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
  /** The same, of those that had passed it on in any of their lives. */
  readonly fullestEverInformed: number;
  /** Senders of the first window that held more, by what they had passed on. */
  readonly exceededBy: Senders | undefined;
  /** When a window first held more, in milliseconds; undefined if none did. */
  readonly exceededAtMs: number | undefined;
  /** Arrivals in each second since the announcement. */
  readonly arrivalsPerS: readonly number[];
}

/** Arrivals of a window, by whether their senders had passed the limit on. */
export interface Senders {
  /** In their present life, half a second before or earlier. */
  informed: number;
  /** In an earlier life only. */
  earlier: number;
  never: number;
}

/** An announced limit, and the arrivals within the last window. */
interface Announced {
  readonly ratePerS: number;
  readonly since: number;
  /** Arrivals from all instances, from the end of the settling time on. */
  readonly settled: { readonly at: number; readonly by: keyof Senders }[];
  /** Arrivals from instances that had passed the limit on before. */
  readonly informed: number[];
  /** The same, of instances that had passed it on in any of their lives. */
  readonly everInformed: number[];
  readonly arrivalsPerS: number[];
  arrivals: number;
  fullest: number;
  fullestInformed: number;
  fullestEverInformed: number;
  exceededBy: Senders | undefined;
  exceededAtMs: number | undefined;
}

/** Dependencies of the checker. */
export interface LimitCheckerOptions {
  /** Whether an instance and the store were undisturbed lately. */
  readonly isCalm: (instance: string, at: number) => boolean;
  readonly disturbances: Pick<Disturbances, "cutUntil">;
  /** Called for a request in a window that held too much, with its senders. */
  readonly onViolation: (request: string, by: LimitExcess) => void;
}

/** Whose requests exceeded a limit. */
export type LimitExcess =
  /** Instances that had passed it on, in any of their lives. */
  | "informed"
  /** Those and instances that had not: the platform allows this. */
  | "all";

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
      everInformed: [],
      arrivalsPerS: [],
      arrivals: 0,
      fullest: 0,
      fullestInformed: 0,
      fullestEverInformed: 0,
      exceededBy: undefined,
      exceededAtMs: undefined,
    });
  }

  /** Records that an instance passed on a response with a limit. */
  passedOn(endpoint: string, sender: Sender, now: number): void {
    const limit = this.#announced.get(endpoint);
    if (limit === undefined) return;
    const key = keyOf(endpoint, limit, sender);
    if (!this.#informedAt.has(key)) this.#informedAt.set(key, now);
    const ever = keyOf(endpoint, limit, { ...sender, life: ANY_LIFE });
    if (!this.#informedAt.has(ever)) this.#informedAt.set(ever, now);
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
    const isInformed = (life: number): boolean => {
      const key = keyOf(endpoint, limit, { ...sender, life });
      const informedAt = this.#informedAt.get(key) ?? Infinity;
      return now >= informedAt + IN_FLIGHT_MS &&
        disturbances.cutUntil(sender.instance) < informedAt;
    };
    const isBound = isInformed(sender.life);
    const wasInformed = isInformed(ANY_LIFE);
    if (isBound) limit.informed.push(now);
    if (wasInformed) limit.everInformed.push(now);
    if (!isSettled) return;
    const by = isBound ? "informed" : wasInformed ? "earlier" : "never";
    limit.settled.push({ at: now, by });
    const from = now - WINDOW_S * MS_PER_S;
    const allowed = maxPerWindow(limit.ratePerS);
    const informed = countSince(limit.informed, from) / allowed;
    const everInformed = countSince(limit.everInformed, from) / allowed;
    while ((limit.settled[0]?.at ?? Infinity) <= from) limit.settled.shift();
    const share = Math.max(limit.settled.length / allowed, informed);
    limit.fullest = Math.max(limit.fullest, share);
    limit.fullestInformed = Math.max(limit.fullestInformed, informed);
    limit.fullestEverInformed = Math.max(
      limit.fullestEverInformed,
      everInformed,
    );
    if (Math.max(share, everInformed) <= 1) return;
    limit.exceededAtMs ??= now - limit.since;
    limit.exceededBy ??= countSenders(limit.settled);
    const isInformedExcess = Math.max(informed, everInformed) > 1;
    this.#opts.onViolation(request, isInformedExcess ? "informed" : "all");
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
    const { fullest, fullestInformed, fullestEverInformed } = limit;
    const settledMs = Math.max(1, now - since - SETTLE_MS);
    this.summaries.push({
      endpoint,
      ratePerS,
      forMs: now - since,
      used: arrivals * MS_PER_S / (ratePerS * settledMs),
      fullest,
      fullestInformed,
      fullestEverInformed,
      exceededBy: limit.exceededBy,
      exceededAtMs,
      arrivalsPerS: Array.from(limit.arrivalsPerS, (n) => n ?? 0),
    });
  }
}

function countSenders(
  arrivals: readonly { readonly by: keyof Senders }[],
): Senders {
  const senders = { informed: 0, earlier: 0, never: 0 };
  for (const { by } of arrivals) senders[by]++;
  return senders;
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
