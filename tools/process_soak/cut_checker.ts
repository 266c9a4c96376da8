/**
 * Checks that callers of instances that are cut off from all endpoints are
 * served nearly as often as those of the others.
 *
 * @module
 */
import type { CallerResult } from "../../platform/testing/fake_caller.ts";
import type { SentAttempt } from "./property_checker.ts";

/** Time from the beginning of a cut until its callers are to be served. */
const DETECTION_MS = 3_000;
/** Minimum success rate at cut instances, relative to the others. */
const MIN_RELATIVE_RATE = 2 / 3;
/** Failures at cut instances that are allowed: a number, and a share of all. */
const MAX_FAILURES = 10;
const MAX_FAILURE_SHARE = 1 / 50;
/** Twice the longest work of an endpoint, in milliseconds. */
const FAST_MS = 120;
const RATE_EXCEEDED = 429;

interface Counts {
  total: number;
  served: number;
}

interface Cut {
  readonly instances: ReadonlySet<string>;
  readonly since: number;
  readonly until: number;
  readonly whole: Counts & { fast: number };
  readonly there: Counts;
  readonly elsewhere: Counts;
}

/** Attempts during one cut, from its beginning, at all instances. */
export interface CutSummary extends Counts {
  readonly instances: readonly string[];
  /** Attempts answered within the time in which work is usually done. */
  readonly fast: number;
}

/** Dependencies of the checker. */
export interface CutCheckerOptions {
  /** Whether an instance and the store were undisturbed before a moment. */
  readonly isCalm: (instance: string, at: number) => boolean;
  /** Every instance. */
  readonly instances: () => readonly string[];
  readonly onViolation: (property: string, detail: string) => void;
}

/** Counts attempts during cuts. */
export class CutChecker {
  readonly #opts: CutCheckerOptions;
  readonly #cuts: Cut[] = [];

  constructor(opts: CutCheckerOptions) {
    this.#opts = opts;
  }

  cutOff(instances: readonly string[], until: number): void {
    this.#cuts.push({
      instances: new Set(instances),
      since: Date.now(),
      until,
      whole: { total: 0, served: 0, fast: 0 },
      there: { total: 0, served: 0 },
      elsewhere: { total: 0, served: 0 },
    });
  }

  /** Counts the result of an attempt in the cuts during which it was sent. */
  answered(attempt: SentAttempt, result: CallerResult): void {
    if (result.kind === "not-run" && result.status === RATE_EXCEEDED) return;
    const { instance, sentAt } = attempt;
    const isServed = result.kind === "answer";
    const isFast = Date.now() - sentAt <= FAST_MS;
    if (!this.#opts.isCalm(instance, sentAt)) return;
    for (const cut of this.#cuts) {
      if (sentAt < cut.since || sentAt > cut.until) continue;
      cut.whole.total++;
      if (isServed) cut.whole.served++;
      if (isServed && isFast) cut.whole.fast++;
      if (sentAt < cut.since + DETECTION_MS) continue;
      if (!this.#canBeServed(sentAt)) continue;
      const isCut = cut.instances.has(instance);
      if (!isCut && this.#isCutOff(instance, sentAt)) continue;
      const counts = isCut ? cut.there : cut.elsewhere;
      counts.total++;
      if (isServed) counts.served++;
    }
  }

  /** Whether an undisturbed instance reached the endpoints at a moment. */
  #canBeServed(at: number): boolean {
    const { instances, isCalm } = this.#opts;
    return instances().some((id) => isCalm(id, at) && !this.#isCutOff(id, at));
  }

  /** Whether any cut affects an instance at a moment. */
  #isCutOff(instance: string, at: number): boolean {
    return this.#cuts.some(({ instances, since, until }) =>
      instances.has(instance) && at >= since && at <= until
    );
  }

  /** Checks all cuts once every attempt has ended. */
  finish(): void {
    for (const cut of this.#cuts) this.#check(cut);
  }

  /** Shares of attempts that were served, over the whole of each cut. */
  summaries(): readonly CutSummary[] {
    return this.#cuts.map(({ instances, whole }) => ({
      instances: [...instances],
      ...whole,
    }));
  }

  #check(cut: Cut): void {
    const { there, elsewhere } = cut;
    if (elsewhere.total === 0) return;
    const allowed = MAX_FAILURES +
      (there.total + elsewhere.total) * MAX_FAILURE_SHARE;
    if (there.total - there.served <= allowed) return;
    const least = elsewhere.served / elsewhere.total * MIN_RELATIVE_RATE;
    if (there.served >= there.total * least) return;
    this.#opts.onViolation(
      "callers of instances without endpoints are served",
      `${[...cut.instances]} served ${there.served} of ${there.total}, ` +
        `the others ${elsewhere.served} of ${elsewhere.total}`,
    );
  }
}
