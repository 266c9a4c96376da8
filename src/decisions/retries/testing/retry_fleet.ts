/**
 * Simulates instances that serve callers of one service, with failures,
 * restarts and callers that move, and checks the fleet's retry budget.
 *
 * @module
 */
import { SeededRandom, type ServiceId } from "../../../core/mod.ts";
import { type RetryAllowance, SharedRetryBudget } from "../mod.ts";

const SERVICE = "s" as ServiceId;
const STEP_MS = 5;
const MS_PER_S = 1_000;

/** Budget of a fleet whose callers send 92 requests a second. */
export const ALLOWANCE: RetryAllowance = {
  ratio: 0.2,
  slack: 58,
  windowMs: 10_000,
};

/** What a test sets instead of the defaults. */
export interface RetryFleetOptions {
  readonly size?: number;
  readonly allowance?: RetryAllowance;
  /** Requests of all callers a second. */
  readonly perS?: number;
  readonly seed?: number;
  /** Time from the decision on a retry to its arrival, in milliseconds. */
  readonly delayMs?: (random: SeededRandom) => number;
  /** Fleet size that an instance knows this long after its start. */
  readonly knownSize?: (sinceStartMs: number) => number;
}

interface Member {
  budget: SharedRetryBudget;
  startedAt: number;
  /** Time from which it serves; callers of a dead one get no response. */
  upAt: number;
  /** Part of the callers that use it, relative to the others. */
  weight: number;
}

/** Instances with a retry budget each. */
export class RetryFleet {
  /** Fraction of the attempts that fail. */
  failing = 0;
  now = 0;
  /** Requests with a successful attempt. */
  served = 0;
  readonly #allowance: RetryAllowance;
  readonly #opts: RetryFleetOptions;
  readonly #random: SeededRandom;
  readonly #members: Member[];
  /** When callers sent requests, and when retries arrived. */
  readonly #requests: number[] = [];
  readonly #repeats: number[] = [];

  constructor(opts: RetryFleetOptions = {}) {
    this.#opts = opts;
    this.#allowance = opts.allowance ?? ALLOWANCE;
    this.#random = new SeededRandom(opts.seed ?? 1);
    this.#members = Array.from({ length: opts.size ?? 9 }, () => ({
      ...this.#started(0),
      upAt: 0,
      weight: 1,
    }));
  }

  /** Lets callers send until a time, in milliseconds. */
  runUntil(end: number): void {
    const perStep = (this.#opts.perS ?? 92) * STEP_MS / MS_PER_S;
    for (; this.now < end; this.now += STEP_MS) {
      if (this.#random.next() < perStep % 1) this.#request();
      for (let i = 1; i <= perStep; i++) this.#request();
    }
  }

  /** Kills instances; they serve again with new processes after a time. */
  restart(indices: readonly number[], downMs: number): void {
    for (const i of indices) {
      const upAt = this.now + downMs;
      Object.assign(this.#members[i]!, { ...this.#started(upAt), upAt });
    }
  }

  /** Sets the part of the callers that use each instance. */
  moveCallers(weightOf: (index: number) => number): void {
    for (const [i, member] of this.#members.entries()) {
      member.weight = weightOf(i);
    }
  }

  /** All instances. */
  get all(): number[] {
    return [...this.#members.keys()];
  }

  /** The fullest window, as a fraction of the retries that it may hold. */
  get fullestWindow(): number {
    const { ratio, slack, windowMs } = this.#allowance;
    const repeats = this.#repeats.toSorted((a, b) => a - b);
    const requestsFrom = (from: number) =>
      countBetween(this.#requests, from, from + windowMs);
    return Math.max(
      0,
      ...repeats.map((from) => {
        const most = Math.max(
          ...[0, windowMs / 2, windowMs].map((ago) => requestsFrom(from - ago)),
        );
        const arrived = countBetween(repeats, from, from + windowMs);
        return arrived / (most * ratio + slack);
      }),
    );
  }

  #started(at: number): Pick<Member, "budget" | "startedAt"> {
    const budget = new SharedRetryBudget(this.#allowance, at);
    return { budget, startedAt: at };
  }

  /** A request of a caller: an attempt, and another one if that fails. */
  #request(): void {
    this.#requests.push(this.now);
    const member = this.#choose();
    if (member.upAt > this.now) return;
    member.budget.request(SERVICE, this.now);
    if (this.#succeeds()) this.served++;
    else if (this.#takeRetry(member)) {
      const delayMs = this.#opts.delayMs?.(this.#random) ?? 0;
      this.#repeats.push(this.now + delayMs);
      if (this.#succeeds()) this.served++;
    }
  }

  #takeRetry({ budget, startedAt }: Member): boolean {
    const { knownSize } = this.#opts;
    const instances = knownSize?.(this.now - startedAt) ?? this.#members.length;
    const fleet = { instances, isSizeKnown: true };
    return budget.take(SERVICE, fleet, this.now);
  }

  #succeeds(): boolean {
    return this.#random.next() >= this.failing;
  }

  /** An instance, by the part of the callers that use it. */
  #choose(): Member {
    const total = this.#members.reduce((sum, { weight }) => sum + weight, 0);
    let at = this.#random.next() * total;
    for (const member of this.#members) {
      at -= member.weight;
      if (at < 0) return member;
    }
    return this.#members.at(-1)!;
  }
}

/** Times within `[from, to)` in a sorted list. */
function countBetween(
  times: readonly number[],
  from: number,
  to: number,
): number {
  return firstFrom(times, to) - firstFrom(times, from);
}

/** Index of the first time that is not before a moment. */
function firstFrom(times: readonly number[], moment: number): number {
  let low = 0;
  for (let high = times.length; low < high;) {
    const middle = (low + high) >> 1;
    if ((times[middle] ?? Infinity) < moment) low = middle + 1;
    else high = middle;
  }
  return low;
}
