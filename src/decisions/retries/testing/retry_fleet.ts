/**
 * Simulates instances that serve callers of one service, with failures,
 * restarts and callers that move, and checks the fleet's retry budget.
 *
 * @module
 */
import { SeededRandom, type ServiceId } from "../../../core/mod.ts";
import { type RetryAllowance, SharedRetryBudget } from "../mod.ts";
import { countBetween, maxRetriesIn } from "./budget_window.ts";

const SERVICE = "s" as ServiceId;
const STEP_MS = 5;
const MS_PER_S = 1_000;

/** Requests a second of all callers, and the budget of their fleet. */
export const REQUESTS_PER_S = 92;
export const ALLOWANCE: RetryAllowance = {
  ratio: 0.2,
  slack: 58,
  windowMs: 10_000,
};

/** What a test sets instead of the defaults. */
export interface RetryFleetOptions {
  readonly size?: number;
  readonly allowance?: RetryAllowance;
  /** Requests of all callers a second, until it is changed. */
  readonly perS?: number;
  readonly seed?: number;
  /** Time from the decision on a retry to its arrival, in milliseconds. */
  readonly delayMs?: (random: SeededRandom) => number;
  /** Fleet size that an instance knows this long after its start. */
  readonly knownSize?: (sinceStartMs: number) => number;
}

interface Member {
  budget: SharedRetryBudget;
  /** When its process started; callers get no response before. */
  startedAt: number;
  /** Part of the callers that use it, relative to the others. */
  weight: number;
}

/** Instances with a retry budget each. */
export class RetryFleet {
  /** Fraction of the attempts that fail. */
  failing = 0;
  /** Requests of all callers a second. */
  perS: number;
  now = 0;
  /** Requests with a successful attempt. */
  served = 0;
  readonly #allowance: RetryAllowance;
  readonly #opts: RetryFleetOptions;
  readonly #random: SeededRandom;
  readonly #members: Member[];
  #usesEven = false;
  /** When callers sent requests, and when retries arrived. */
  readonly #requests: number[] = [];
  readonly #repeats: number[] = [];

  constructor(opts: RetryFleetOptions = {}) {
    this.#opts = opts;
    this.perS = opts.perS ?? REQUESTS_PER_S;
    this.#allowance = opts.allowance ?? ALLOWANCE;
    this.#random = new SeededRandom(opts.seed ?? 1);
    this.#members = Array.from({ length: opts.size ?? 9 }, () => ({
      ...this.#started(0),
      weight: 1,
    }));
  }

  /** Lets callers send until a time, in milliseconds. */
  runUntil(end: number): void {
    const perStep = this.perS * STEP_MS / MS_PER_S;
    for (; this.now < end; this.now += STEP_MS) {
      if (this.#random.next() < perStep % 1) this.#request();
      for (let i = 1; i <= perStep; i++) this.#request();
    }
  }

  /** Kills instances; they serve again with new processes after a time. */
  restart(indices: readonly number[], downMs: number): void {
    for (const i of indices) {
      Object.assign(this.#members[i]!, this.#started(this.now + downMs));
    }
  }

  /** Sets the part of the callers that use each instance. */
  moveCallers(weightOf: (index: number) => number): void {
    for (const [i, member] of this.#members.entries()) {
      member.weight = weightOf(i);
    }
  }

  /** Moves callers between the instances with an even and an odd index. */
  swapCallers(): void {
    this.#usesEven = !this.#usesEven;
    this.moveCallers((i) => (i % 2 === 0) === this.#usesEven ? 1 : 0);
  }

  /** All instances. */
  get all(): number[] {
    return [...this.#members.keys()];
  }

  /** The fullest window, as a fraction of the retries that it may hold. */
  get fullestWindow(): number {
    const allowance = this.#allowance;
    const repeats = this.#repeats.toSorted((a, b) => a - b);
    const fullness = repeats.map((from) =>
      countBetween(repeats, from, from + allowance.windowMs) /
      maxRetriesIn(this.#requests, from, allowance)
    );
    return Math.max(0, ...fullness);
  }

  #started(at: number): Pick<Member, "budget" | "startedAt"> {
    const budget = new SharedRetryBudget(this.#allowance, at);
    return { budget, startedAt: at };
  }

  /** A request of a caller: an attempt, and another one if that fails. */
  #request(): void {
    this.#requests.push(this.now);
    const member = this.#choose();
    if (member.startedAt > this.now) return;
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
