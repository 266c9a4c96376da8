/**
 * What callers and endpoints must never see, checked while the soak runs.
 *
 * @module
 */
import type { EndpointRun } from "../../platform/testing/fake_endpoint.ts";
import type {
  CallerAttempt,
  CallerResult,
} from "../../platform/testing/fake_caller.ts";

/** A promise that was not kept. */
export interface Violation {
  readonly atMs: number;
  readonly property: string;
  readonly detail: string;
  readonly request: string;
}

/** An attempt, and the instance that it went to. */
export interface SentAttempt extends CallerAttempt {
  readonly account: string;
  readonly instance: string;
  readonly life: number;
  readonly sentAt: number;
  /** The version of the plan from which on its route exists. */
  readonly since: number;
}

/** What the world knows of its disturbances. */
export interface Calm {
  /** When an instance, or the store for all, was last disturbed. */
  instance(id: string): number;
  store(): number;
  /** When an endpoint or its link was last disturbed. */
  endpoint(id: string): number;
  /** Whether this start of an instance was being stopped at a moment. */
  stopping(id: string, life: number): boolean;
}

/** How long after a disturbance time bounds do not hold, in milliseconds. */
const SETTLE_MS = 3_000;
/** A drain, a plan and a withdrawn key are in force after this, in ms. */
const IN_FORCE_MS = 2_500;
/** What a busy machine adds to that, in milliseconds. */
const SLACK_MS = 500;
/** The window over which rates are judged, in seconds, and what it tolerates. */
const RATE_WINDOW_S = 5;
const RATE_OVERSHOOT = 1.1;
const RATE_SLACK = 20;
/** The same for the rates that endpoints in need name. */
const LIMIT_WINDOW_S = 4;
const LIMIT_OVERSHOOT = 1.5;
const LIMIT_SLACK = 5;
const MS_PER_S = 1_000;

/** A limit that an endpoint names, and what came since it has to be kept. */
interface NamedLimit {
  readonly ratePerS: number;
  readonly since: number;
  arrivedAt: number[];
}

/** Records of one soak. */
export class Promises {
  readonly violations: Violation[] = [];
  readonly #began = Date.now();
  readonly #calm: Calm;
  readonly #sent = new Map<string, SentAttempt>();
  readonly #runs = new Map<string, EndpointRun[]>();
  readonly #notRun = new Set<string>();
  readonly #drainedAt = new Map<string, number>();
  readonly #withdrawnAt = new Map<string, number>();
  readonly #planAt = new Map<number, number>();
  /** The newest plan that each start of an instance was seen to obey. */
  readonly #obeyed = new Map<string, { version: number; at: number }>();
  readonly #rates = new Map<string, { ratePerS: number; burst: number }>();
  readonly #ranAt = new Map<string, number[]>();
  readonly #limits = new Map<string, NamedLimit>();

  constructor(calm: Calm) {
    this.#calm = calm;
  }

  limit(account: string, ratePerS: number, burst: number): void {
    this.#rates.set(account, { ratePerS, burst });
  }

  planAcknowledged(version: number): void {
    this.#planAt.set(version, Date.now());
  }

  keyWithdrawn(key: string): void {
    this.#withdrawnAt.set(key, Date.now());
  }

  drainAcknowledged(endpoint: string): void {
    this.#drainedAt.set(endpoint, Date.now());
  }

  /** An endpoint begins to name a limit, or ceases to. */
  limited(endpoint: string, ratePerS: number | undefined): void {
    if (ratePerS === undefined) return void this.#limits.delete(endpoint);
    this.#limits.set(endpoint, { ratePerS, since: Date.now(), arrivedAt: [] });
  }

  /** A request reaches an endpoint. */
  arrived(endpoint: string, request: string): void {
    const limit = this.#limits.get(endpoint);
    const attempt = this.#sent.get(request);
    const now = Date.now();
    if (limit === undefined || now - limit.since < SETTLE_MS) return;
    if (attempt === undefined || !this.#isCalm(attempt.instance, now)) return;
    const from = now - LIMIT_WINDOW_S * MS_PER_S;
    limit.arrivedAt = [...limit.arrivedAt, now].filter((at) => at > from);
    const allowed = limit.ratePerS * LIMIT_WINDOW_S * LIMIT_OVERSHOOT +
      LIMIT_SLACK;
    if (limit.arrivedAt.length > allowed) {
      this.#add("an endpoint in need gets what it takes", attempt);
    }
  }

  sent(attempt: SentAttempt): void {
    this.#sent.set(attempt.request, attempt);
  }

  /** An endpoint begins to work. */
  ran(run: EndpointRun): void {
    const { request, endpoint, account, keySeen, at } = run;
    const runs = [...this.#runs.get(request) ?? [], run];
    this.#runs.set(request, runs);
    const attempt = this.#sent.get(request);
    if (attempt === undefined) {
      return this.#add("an endpoint runs only what a caller sent", run);
    }
    if (keySeen) this.#add("no endpoint sees a key", run);
    if (account !== attempt.account) {
      this.#add("a request runs for its own account", run);
    }
    if (!attempt.idempotent && runs.length > 1) {
      this.#add("what may run once runs once", run);
    }
    if (this.#notRun.has(request)) {
      this.#add("what is said not to run does not", run);
    }
    this.#checkBounds(attempt, endpoint, run);
    this.#checkRate(attempt.account, at, run);
  }

  /** A caller got its answer, or none. */
  answered(attempt: SentAttempt, result: CallerResult): void {
    const { request } = attempt;
    const runs = this.#runs.get(request) ?? [];
    if (result.kind === "answer" && !result.faithful) {
      this.#add("a caller gets its own whole answer", attempt);
    }
    if (result.kind === "not-run") {
      if (!attempt.idempotent && runs.length > 0) {
        this.#add("what is said not to have run has not", attempt);
      }
      if (!attempt.idempotent) this.#notRun.add(request);
    }
    this.#checkPlan(attempt, result);
    this.#checkStop(attempt, result, runs);
  }

  /** Whether all that bears on a run has been calm for long enough. */
  #isCalm(instance: string, at: number): boolean {
    const disturbed = Math.max(
      this.#calm.instance(instance),
      this.#calm.store(),
    );
    return at - disturbed > SETTLE_MS;
  }

  #checkBounds(
    { instance, key, sentAt }: SentAttempt,
    endpoint: string,
    run: EndpointRun,
  ): void {
    if (!this.#isCalm(instance, run.at)) return;
    const drainedAt = this.#drainedAt.get(endpoint) ?? Infinity;
    if (run.at > drainedAt + IN_FORCE_MS + SLACK_MS) {
      this.#add("an endpoint that leaves gets no new work", run);
    }
    const withdrawnAt = this.#withdrawnAt.get(key) ?? Infinity;
    if (sentAt > withdrawnAt + IN_FORCE_MS + SLACK_MS) {
      this.#add("a withdrawn key stops working", run);
    }
  }

  #checkRate(account: string, at: number, run: EndpointRun): void {
    const rate = this.#rates.get(account);
    if (rate === undefined) return;
    const from = at - RATE_WINDOW_S * MS_PER_S;
    const recent = [...this.#ranAt.get(account) ?? [], at]
      .filter((t) => t > from);
    this.#ranAt.set(account, recent);
    const whole = rate.ratePerS * RATE_WINDOW_S + rate.burst;
    if (recent.length > whole * RATE_OVERSHOOT + RATE_SLACK) {
      this.#add("no account passes its rate", run);
    }
  }

  #checkPlan(attempt: SentAttempt, result: CallerResult): void {
    const { instance, life, since, sentAt } = attempt;
    const start = `${instance} ${life}`;
    const unknown = result.kind === "refused" && result.status === 404;
    if (result.kind === "answer") {
      const known = this.#obeyed.get(start);
      if (known === undefined || known.version < since) {
        this.#obeyed.set(start, { version: since, at: Date.now() });
      }
    }
    if (!unknown) return;
    const obeyed = this.#obeyed.get(start);
    if (obeyed && obeyed.version >= since && sentAt > obeyed.at + SLACK_MS) {
      this.#add("a plan never goes back", attempt);
    }
    const ackedAt = this.#planAt.get(since) ?? Infinity;
    const late = sentAt > ackedAt + IN_FORCE_MS + SLACK_MS;
    if (late && this.#isCalm(instance, sentAt)) {
      this.#add("a plan is in force within seconds", attempt);
    }
  }

  /** What an endpoint runs is not cut by a stop in good order. */
  #checkStop(
    attempt: SentAttempt,
    result: CallerResult,
    runs: readonly EndpointRun[],
  ): void {
    const { instance, life } = attempt;
    const last = runs.at(-1);
    if (result.kind !== "broken" || last === undefined) return;
    if (!this.#calm.stopping(instance, life)) return;
    const harmed = this.#calm.endpoint(last.endpoint) > last.at - SETTLE_MS;
    if (!harmed) this.#add("a planned stop cuts no request", attempt);
  }

  #add(property: string, of: { readonly request: string }): void {
    this.violations.push({
      atMs: Date.now() - this.#began,
      property,
      detail: JSON.stringify({
        attempt: this.#sent.get(of.request),
        runs: this.#runs.get(of.request),
      }),
      request: of.request,
    });
  }
}
