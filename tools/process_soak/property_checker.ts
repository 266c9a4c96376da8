/**
 * The properties that callers and endpoints rely on, checked during the soak.
 *
 * @module
 */
import type { EndpointRun } from "../../platform/testing/fake_endpoint.ts";
import type {
  CallerAttempt,
  CallerResult,
} from "../../platform/testing/fake_caller.ts";
import { CutChecker, type CutSummary } from "./cut_checker.ts";
import { EndpointSignalChecker } from "./endpoint_signal_checker.ts";
import {
  LimitChecker,
  type LimitExcess,
  type LimitSummary,
} from "./limit_checker.ts";
import { PipelineChecker, type PipelinedResponse } from "./pipeline_checker.ts";
import { BULK_SERVICE, STEADY_SERVICE } from "./soak_operators.ts";

/** A violated property. */
export interface Violation {
  readonly atMs: number;
  readonly property: string;
  readonly detail: string;
  readonly request: string;
}

/** A request attempt and the instance that received it. */
export interface SentAttempt extends CallerAttempt {
  readonly account: string;
  readonly instance: string;
  readonly life: number;
  readonly sentAt: number;
  /** The plan version that introduced its route. */
  readonly since: number;
}

/** The instance that sent a request to an endpoint, and its incarnation. */
export type Sender = Pick<SentAttempt, "instance" | "life">;

/** Times of the last disturbances, in milliseconds since the epoch. */
export interface Disturbances {
  /** Every instance. */
  instances(): readonly string[];
  /** When an instance or its store link was last disturbed. */
  instance(id: string): number;
  /** When an instance was last frozen. */
  freeze(id: string): number;
  store(): number;
  /** When the last cut of an instance from the endpoints ended or will end. */
  cutUntil(id: string): number;
  /** When an endpoint or its link was last disturbed. */
  endpoint(id: string): number;
  /** Whether this incarnation of an instance is stopping gracefully. */
  stopping(id: string, life: number): boolean;
}

/** Time after a disturbance without checks of time bounds, in milliseconds. */
const SETTLE_MS = 3_000;
/** Time until a drain, plan or key withdrawal takes effect, in milliseconds. */
const PROPAGATION_MS = 2_500;
/** Tolerance for scheduling delays on a busy machine, in milliseconds. */
const SLACK_MS = 500;
/** The window for checks of account rates, in seconds, and its tolerance. */
const RATE_WINDOW_S = 5;
const RATE_OVERSHOOT = 1.1;
const RATE_SLACK = 20;
const MS_PER_S = 1_000;
/** Accounts whose endpoints are slow or refuse, which says nothing about cuts. */
const UNEVEN_ACCOUNTS: ReadonlySet<string> = new Set([
  BULK_SERVICE,
  STEADY_SERVICE,
]);

/** What is violated, by whose requests exceeded a limit. */
const LIMIT_PROPERTIES: Readonly<Record<LimitExcess, string>> = {
  informed: "an endpoint in need gets what it takes",
  all:
    "an endpoint in need gets what it takes, also of instances that do not know",
};

/** Records the observations of one run and checks them. */
export class PropertyChecker {
  readonly violations: Violation[] = [];
  readonly #began = Date.now();
  readonly #disturbances: Disturbances;
  readonly #sent = new Map<string, SentAttempt>();
  readonly #runs = new Map<string, EndpointRun[]>();
  readonly #notRun = new Set<string>();
  readonly #drainedAt = new Map<string, number>();
  readonly #withdrawnAt = new Map<string, number>();
  readonly #planAt = new Map<number, number>();
  /** The newest plan that the responses of each incarnation confirm. */
  readonly #appliedPlans = new Map<string, { version: number; at: number }>();
  readonly #rates = new Map<string, { ratePerS: number; burst: number }>();
  readonly #startsByAccount = new Map<string, number[]>();
  readonly #limits: LimitChecker;
  readonly #signals: EndpointSignalChecker;
  readonly #cuts: CutChecker;
  readonly #pipelines = new PipelineChecker((property, request) =>
    this.#add(property, { request })
  );

  constructor(calm: Disturbances) {
    this.#disturbances = calm;
    this.#signals = new EndpointSignalChecker({
      disturbances: calm,
      onViolation: (property, request) => this.#add(property, { request }),
    });
    this.#limits = new LimitChecker({
      isCalm: (instance, at) => this.#isCalm(instance, at),
      disturbances: calm,
      onViolation: (request, by) =>
        this.#add(LIMIT_PROPERTIES[by], { request }),
    });
    this.#cuts = new CutChecker({
      isCalm: (instance, at) => this.#isCalm(instance, at),
      instances: () => calm.instances(),
      onViolation: (property, detail) =>
        this.violations.push({
          atMs: Date.now() - this.#began,
          property,
          detail,
          request: "",
        }),
    });
  }

  /** Records that instances are cut off from all endpoints until a moment. */
  cutOff(instances: readonly string[], untilMs: number): void {
    this.#cuts.cutOff(instances, untilMs);
  }

  limitSummaries(): readonly LimitSummary[] {
    return this.#limits.summaries;
  }

  cutSummaries(): readonly CutSummary[] {
    return this.#cuts.summaries();
  }

  /** Checks what needs the whole run, once every attempt has ended. */
  finish(): void {
    this.#cuts.finish();
    this.#limits.finish(Date.now());
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

  /** Records an endpoint's announced rate limit; undefined withdraws it. */
  limited(endpoint: string, ratePerS: number | undefined): void {
    this.#limits.announced(endpoint, ratePerS, Date.now());
  }

  /** Records that an endpoint refused a request with a Retry-After. */
  backoffRequested(
    endpoint: string,
    request: string,
    opts: { readonly sender: Sender | undefined; readonly retryAfterS: number },
  ): void {
    const attempt = this.#sent.get(request);
    if (attempt === undefined) return;
    const sent = { ...attempt, ...opts.sender };
    this.#signals.backoffRequested(endpoint, sent, opts.retryAfterS);
  }

  /** Checks a request that arrives at an endpoint, whether it runs or not. */
  requestArrived(
    endpoint: string,
    request: string,
    sender: Sender | undefined,
  ): void {
    const attempt = this.#sent.get(request);
    if (attempt === undefined) return;
    const sent = { ...attempt, ...sender };
    this.#signals.arrived(endpoint, sent);
    this.#limits.arrived(endpoint, request, sent, Date.now());
  }

  /** Checks the responses to requests that were sent at once. */
  pipelineEnded(
    sent: readonly string[],
    responses: readonly PipelinedResponse[],
  ): void {
    this.#pipelines.ended(sent, responses);
  }

  /** Records a violation that another check found. */
  violate(property: string, request: string): void {
    this.#add(property, { request });
  }

  sent(attempt: SentAttempt): void {
    this.#sent.set(attempt.request, attempt);
  }

  /** Checks a request that an endpoint starts to run. */
  requestStarted(run: EndpointRun): void {
    const { request, endpoint, account, keySeen, at } = run;
    const runs = [...this.#runs.get(request) ?? [], run];
    this.#runs.set(request, runs);
    this.#pipelines.started(request);
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

  /** Checks the result of an attempt, which may be no response at all. */
  answered(attempt: SentAttempt, result: CallerResult): void {
    const { request } = attempt;
    const runs = this.#runs.get(request) ?? [];
    if (result.kind === "answer" && !result.faithful) {
      this.#add("a caller gets its own whole answer", attempt);
    }
    if (result.kind === "answer" && result.leaving) {
      this.#signals.leavingPassedOn(result.endpoint, attempt);
    }
    if (result.kind === "answer" && result.limited) {
      this.#limits.passedOn(result.endpoint, attempt, Date.now());
    }
    if (result.kind === "not-run") {
      if (!attempt.idempotent && runs.length > 0) {
        this.#add("what is said not to have run has not", attempt);
      }
      if (!attempt.idempotent) this.#notRun.add(request);
    }
    if (!UNEVEN_ACCOUNTS.has(attempt.account)) {
      this.#cuts.answered(attempt, result);
    }
    this.#checkPlan(attempt, result);
    this.#checkStop(attempt, result, runs);
  }

  /** Whether instance and store were undisturbed for the settling time. */
  #isCalm(instance: string, at: number): boolean {
    const disturbed = Math.max(
      this.#disturbances.instance(instance),
      this.#disturbances.store(),
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
    if (run.at > drainedAt + PROPAGATION_MS + SLACK_MS) {
      this.#add("an endpoint that leaves gets no new work", run);
    }
    const withdrawnAt = this.#withdrawnAt.get(key) ?? Infinity;
    if (sentAt > withdrawnAt + PROPAGATION_MS + SLACK_MS) {
      this.#add("a withdrawn key stops working", run);
    }
  }

  #checkRate(account: string, at: number, run: EndpointRun): void {
    const rate = this.#rates.get(account);
    if (rate === undefined) return;
    const from = at - RATE_WINDOW_S * MS_PER_S;
    const recent = [...this.#startsByAccount.get(account) ?? [], at]
      .filter((t) => t > from);
    this.#startsByAccount.set(account, recent);
    const allowance = rate.ratePerS * RATE_WINDOW_S + rate.burst;
    if (recent.length > allowance * RATE_OVERSHOOT + RATE_SLACK) {
      this.#add("no account passes its rate", run);
    }
  }

  #checkPlan(attempt: SentAttempt, result: CallerResult): void {
    const { instance, life, since, sentAt } = attempt;
    const start = `${instance} ${life}`;
    const routeMissing = result.kind === "refused" && result.status === 404;
    if (result.kind === "answer") {
      const applied = this.#appliedPlans.get(start);
      if (applied === undefined || applied.version < since) {
        this.#appliedPlans.set(start, { version: since, at: Date.now() });
      }
    }
    if (!routeMissing) return;
    const appliedPlan = this.#appliedPlans.get(start);
    if (
      appliedPlan && appliedPlan.version >= since &&
      sentAt > appliedPlan.at + SLACK_MS
    ) {
      this.#add("a plan never goes back", attempt);
    }
    const ackedAt = this.#planAt.get(since) ?? Infinity;
    const overdue = sentAt > ackedAt + PROPAGATION_MS + SLACK_MS;
    if (overdue && this.#isCalm(instance, sentAt)) {
      this.#add("a plan is in force within seconds", attempt);
    }
  }

  /** Checks that a graceful stop breaks no request at a healthy endpoint. */
  #checkStop(
    attempt: SentAttempt,
    result: CallerResult,
    runs: readonly EndpointRun[],
  ): void {
    const { instance, life } = attempt;
    const last = runs.at(-1);
    if (result.kind !== "broken" || last === undefined) return;
    if (!this.#disturbances.stopping(instance, life)) return;
    const disturbed =
      this.#disturbances.endpoint(last.endpoint) > last.at - SETTLE_MS ||
      this.#disturbances.cutUntil(instance) > last.at - SETTLE_MS;
    if (!disturbed) this.#add("a planned stop cuts no request", attempt);
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
