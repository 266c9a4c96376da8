/**
 * The way of one request: route, account, rate, endpoint, answer.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type {
  Clock,
  Failure,
  Log,
  LogFields,
  Metrics,
  RegionId,
  ServiceId,
} from "../core/mod.ts";
import { fail, failure, isSampled } from "../core/mod.ts";
import {
  type ColdLimits,
  type EndpointVerdicts,
  type Placement,
  UsualTimes,
  WeightedChoice,
} from "../decisions/placement/mod.ts";
import type { AccountQuotas } from "../decisions/quotas/mod.ts";
import type { SharedRetryBudget } from "../decisions/retries/mod.ts";
import type {
  Account,
  EndpointRow,
  Route,
  RouteTable,
} from "../traffic/mod.ts";
import type { EndpointSender, Sending, SendResult } from "./endpoint_sender.ts";
import type {
  CallerFields,
  RawHeaders,
  RequestCodec,
} from "./request_codec.ts";
import { homeRegions } from "./home_regions.ts";
import type { TrafficState } from "./traffic_state.ts";

/** A caller's request, read to its end. */
export interface CallerRequest {
  readonly method: string;
  readonly headers: RawHeaders;
  readonly fields: CallerFields;
  readonly body: Buffer | undefined;
  /** When its first bytes came, on the instance's clock. */
  readonly arrivedAt: number;
  /** Ends when the caller has gone. */
  readonly signal: AbortSignal;
}

/** What the caller is answered. */
export type FlowAnswer =
  | Extract<SendResult, { kind: "answer" }>
  | { readonly kind: "refusal"; readonly failure: Failure }
  /** The caller has gone; there is nobody to answer. */
  | { readonly kind: "gone" };

/** What the flow works with. */
export interface RequestFlowOptions {
  readonly state: TrafficState;
  readonly codec: RequestCodec;
  readonly sender: EndpointSender;
  readonly placement: Placement;
  readonly verdicts: EndpointVerdicts;
  readonly cold: ColdLimits;
  readonly quotas: AccountQuotas;
  readonly retries: SharedRetryBudget;
  /** Instances that may be sending, this one included. */
  readonly fleetSize: () => number;
  /** This instance's region. */
  readonly region: RegionId;
  /** Every region with callers. */
  readonly regions: readonly RegionId[];
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** How long a caller is taken to wait that does not say, in milliseconds. */
const DEFAULT_PATIENCE_MS = 30_000;
/**
 * How long before the caller's deadline this instance answers, in milliseconds:
 * about the way back to the caller. Later, the answer meets a caller that left.
 */
const ANSWER_MARGIN_MS = 15;
/** With less time left than this no endpoint can answer, in milliseconds. */
const LEAST_LEFT_MS = 5;
/** When to come back after a failure that says nothing better, in ms. */
const RETRY_AFTER_MS = 250;
/** When to come back to an instance that has no plan yet, in milliseconds. */
const START_RETRY_MS = 500;

/** A request on its way, with all that was decided about it. */
interface Trip {
  readonly req: CallerRequest;
  readonly route: Route;
  readonly account: Account | undefined;
  readonly service: ServiceId;
  readonly regions: ReadonlySet<RegionId> | undefined;
  readonly deadline: number;
  readonly planVersion: number;
  /** Endpoints it was sent to. */
  readonly tried: Set<EndpointRow>;
  /** Whether an endpoint may have run it. */
  mayHaveRun: boolean;
}

/** Takes requests through one instance. */
export class RequestFlow {
  readonly #opts: RequestFlowOptions;
  readonly #weights = new WeightedChoice();
  readonly #usual = new UsualTimes();

  constructor(opts: RequestFlowOptions) {
    this.#opts = opts;
  }

  /** Serves a request; never throws. */
  async handle(req: CallerRequest): Promise<FlowAnswer> {
    const admitted = this.#admit(req);
    if (admitted.isErr()) return this.#refuse(req, admitted.error);
    return await this.#serve(admitted.value);
  }

  /** Finds route, account and service, and spends the account's rate. */
  #admit(req: CallerRequest): Result<Trip, Failure> {
    const { table } = this.#opts.state;
    if (table === undefined) {
      return fail("not_ready", "this instance has no plan yet", {
        outcome: "not-run",
        retryAfterMs: START_RETRY_MS,
      });
    }
    const { fields } = req;
    const route = table.route(fields.host, fields.path);
    if (route === undefined) return fail("not_found", "no such route");
    const account = accountOf(table, route, fields.key);
    if (account === "unknown") {
      return fail("unauthenticated", "the key is not known");
    }
    const limited = this.#spend(account);
    if (limited !== undefined) return err(limited);
    const service = this.#weights.next(route);
    if (service === undefined) {
      return fail("no_endpoint", "the route has no service", {
        outcome: "not-run",
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    this.#opts.retries.request(service, this.#opts.clock.now());
    return ok({
      req,
      route,
      account,
      service,
      regions: homeRegions(route, account),
      deadline: deadlineOf(req, route),
      planVersion: table.plan.version,
      tried: new Set(),
      mayHaveRun: false,
    });
  }

  #spend(account: Account | undefined): Failure | undefined {
    if (account === undefined) return undefined;
    const admission = this.#opts.quotas.take(account, this.#opts.clock.now());
    if (admission.admitted) return undefined;
    return failure("rate_exceeded", `account ${account.id} is over its rate`, {
      outcome: "not-run",
      retryAfterMs: admission.retryAfterMs,
    });
  }

  /** Sends the request to one endpoint after another until one answers. */
  async #serve(trip: Trip): Promise<FlowAnswer> {
    const { clock } = this.#opts;
    for (;;) {
      if (trip.req.signal.aborted) return { kind: "gone" };
      const leftMs = trip.deadline - clock.now();
      if (leftMs < LEAST_LEFT_MS) return this.#lost(trip, "deadline_exceeded");
      const chosen = this.#choose(trip, leftMs);
      if (chosen.isErr()) return this.#refuse(trip.req, chosen.error, trip);
      const result = await this.#send(trip, chosen.value);
      const answer = this.#settle(trip, chosen.value, result);
      if (answer !== undefined) return answer;
    }
  }

  /** The next endpoint, or why there is none. */
  #choose(trip: Trip, leftMs: number): Result<EndpointRow, Failure> {
    const { state, verdicts, placement, cold, clock } = this.#opts;
    const now = clock.now();
    const { service, regions, route, tried } = trip;
    const eligible = state.eligible(service, regions)
      .filter((row) => !tried.has(row) && this.#bearsOne(row, now));
    const candidates = verdicts.usable(eligible, now);
    if (candidates.length === 0) {
      return err(this.#unserved(trip, "no endpoint can take the request"));
    }
    const usualMs = this.#usual.of(service);
    const placed = placement.choose(candidates, {
      affinityKey: route.affinity ? trip.req.fields.affinityKey : undefined,
      region: this.#opts.region,
      regions: this.#opts.regions,
      rank: trip.account?.priority ?? route.priority,
      leftMs,
      usualMs,
    }, now);
    if (placed.endpoint === undefined) {
      const why = "every endpoint is full";
      return err(this.#unserved(trip, why, placed.retryAfterMs));
    }
    if (cold.isCold(placed.endpoint, now)) {
      cold.take(placed.endpoint, this.#coldRate(placed.endpoint), now);
    }
    return ok(placed.endpoint);
  }

  /** Whether an endpoint that may be cold bears one request more. */
  #bearsOne(row: EndpointRow, now: number): boolean {
    const { cold } = this.#opts;
    if (!cold.isCold(row, now)) return true;
    return cold.hasRoom(row, this.#coldRate(row), now);
  }

  #coldRate(row: EndpointRow) {
    const { state, fleetSize } = this.#opts;
    const policy = state.table?.plan.services.get(row.record.service);
    return { ratePerS: policy?.coldRatePerS ?? 1, instances: fleetSize() };
  }

  async #send(trip: Trip, endpoint: EndpointRow): Promise<SendResult> {
    const { clock, codec, sender, verdicts } = this.#opts;
    const { req, account, tried, deadline, route } = trip;
    const sentAt = clock.now();
    tried.add(endpoint);
    endpoint.inFlight++;
    endpoint.sentSinceReport++;
    verdicts.sent(endpoint, sentAt);
    const sending = sender.send(endpoint, {
      method: req.method,
      path: req.fields.path,
      headers: codec.endpointHeaders(req.headers, {
        endpoint: endpoint.id,
        account: account?.id,
        leftMs: Math.max(1, Math.floor(deadline - sentAt)),
      }),
      body: req.body,
      requestId: req.fields.requestId,
      idempotent: route.idempotent,
    });
    const result = await this.#await(sending, trip);
    endpoint.inFlight--;
    this.#learn(endpoint, result, clock.now() - sentAt);
    return result;
  }

  /** Waits for the result, the deadline, or the caller's leaving. */
  async #await(sending: Sending, trip: Trip): Promise<SendResult> {
    const { clock } = this.#opts;
    const { signal } = trip.req;
    const cancel = () => sending.cancel();
    const timer = clock.after(Math.max(0, trip.deadline - clock.now()), cancel);
    signal.addEventListener("abort", cancel, { once: true });
    const result = await sending.result;
    timer.close();
    signal.removeEventListener("abort", cancel);
    return result;
  }

  /** Takes what a result says of its endpoint. */
  #learn(endpoint: EndpointRow, result: SendResult, tookMs: number): void {
    const { clock, verdicts, state, metrics } = this.#opts;
    const now = clock.now();
    if (result.kind === "answer" || result.kind === "not-run") {
      const { load } = result.fields;
      if (load !== undefined) endpoint.reported(load, now);
    }
    switch (result.kind) {
      case "answer":
        verdicts.heard(endpoint, result.status < 500 ? "good" : "failed", now);
        if (result.status >= 500) return;
        this.#usual.add(endpoint.record.service, tookMs);
        metrics.timing("endpoint.duration", tookMs);
        return;
      case "not-run":
        // Another endpoint has the address: this one is gone, whatever the
        // registry says yet.
        if (result.moved) state.endpoints.remove(endpoint.id);
        else verdicts.heard(endpoint, "shed", now);
        return;
      case "unsent":
        verdicts.heard(endpoint, "unreachable", now);
        this.#coldAfterOutage(endpoint, now);
        return;
      case "unknown":
        verdicts.heard(endpoint, "failed", now);
        return;
      case "cancelled":
        return;
    }
  }

  /**
   * An endpoint that could not be reached may have ended, and may come back
   * under the same id with nothing in memory before the registry says so.
   */
  #coldAfterOutage(endpoint: EndpointRow, now: number): void {
    const { state } = this.#opts;
    const policy = state.table?.plan.services.get(endpoint.record.service);
    const coldMs = policy?.coldStartMs ?? 0;
    endpoint.coldUntil = Math.max(endpoint.coldUntil, now + coldMs);
  }

  /** The answer to the caller, or undefined where another endpoint is tried. */
  #settle(
    trip: Trip,
    endpoint: EndpointRow,
    result: SendResult,
  ): FlowAnswer | undefined {
    switch (result.kind) {
      case "answer":
        return this.#settleAnswer(trip, endpoint, result);
      case "unsent":
      case "not-run":
        if (this.#mayTryElsewhere(trip)) return undefined;
        return this.#refuse(
          trip.req,
          this.#unserved(trip, "the endpoints turned the request away"),
          trip,
        );
      case "unknown":
        trip.mayHaveRun = true;
        if (this.#mayRepeat(trip)) return undefined;
        return this.#failed(trip, `the endpoint's answer is ${result.reason}`);
      case "cancelled":
        if (result.sent) trip.mayHaveRun = true;
        if (trip.req.signal.aborted) return this.#gone(trip);
        return this.#lost(trip, "deadline_exceeded");
    }
  }

  /** Passes an answer on, unless another endpoint may do better. */
  #settleAnswer(
    trip: Trip,
    endpoint: EndpointRow,
    result: Extract<SendResult, { kind: "answer" }>,
  ): FlowAnswer | undefined {
    const fault = faultOf(result);
    if (result.status < 500 && fault === undefined) {
      return this.#answered(trip, endpoint, result);
    }
    trip.mayHaveRun = true;
    const again = this.#mayRepeat(trip);
    if (!again && fault === undefined) {
      return this.#answered(trip, endpoint, result);
    }
    result.body.rest?.cancel();
    return again ? undefined : this.#failed(trip, fault ?? "it failed");
  }

  #failed(trip: Trip, why: string): FlowAnswer {
    const failed = failure("endpoint_failed", why, { outcome: "unknown" });
    return this.#refuse(trip.req, failed, trip);
  }

  /** Whether a request that may have run can be sent to another endpoint. */
  #mayRepeat(trip: Trip): boolean {
    return trip.route.idempotent && this.#mayTryElsewhere(trip);
  }

  #mayTryElsewhere(trip: Trip): boolean {
    const { retries, clock, fleetSize } = this.#opts;
    const { tried, route, service, deadline } = trip;
    if (tried.size >= route.maxAttempts) return false;
    const now = clock.now();
    if (deadline - now < LEAST_LEFT_MS) return false;
    return retries.take(service, { instances: fleetSize() }, now);
  }

  /** Why no endpoint takes the request, as truthful as is known. */
  #unserved(trip: Trip, why: string, retryAfterMs = RETRY_AFTER_MS): Failure {
    if (trip.mayHaveRun) {
      return failure("endpoint_failed", why, { outcome: "unknown" });
    }
    return failure("no_capacity", why, { outcome: "not-run", retryAfterMs });
  }

  #lost(trip: Trip, code: "deadline_exceeded"): FlowAnswer {
    const outcome = trip.mayHaveRun ? "unknown" : "not-run";
    const lost = failure(code, "the time is up", { outcome });
    return this.#refuse(trip.req, lost, trip);
  }

  #gone(trip: Trip): FlowAnswer {
    this.#opts.metrics.count("requests", {
      service: trip.service,
      result: "caller_gone",
    });
    return { kind: "gone" };
  }

  #answered(
    trip: Trip,
    endpoint: EndpointRow,
    result: Extract<SendResult, { kind: "answer" }>,
  ): FlowAnswer {
    const { clock, metrics, log } = this.#opts;
    const tookMs = clock.now() - trip.req.arrivedAt;
    metrics.count("requests", { service: trip.service, result: "answered" });
    metrics.timing("request.duration", tookMs, { service: trip.service });
    if (!isSampled(trip.req.fields.requestId)) return result;
    log.event("request_answered", {
      ...this.#about(trip),
      endpoint: endpoint.id,
      status: result.status,
      tookMs: Math.round(tookMs),
    });
    return result;
  }

  #refuse(req: CallerRequest, why: Failure, trip?: Trip): FlowAnswer {
    const { clock, metrics, log } = this.#opts;
    const service = trip?.service ?? "none";
    metrics.count("requests", { service, result: why.code });
    log.event("request_refused", {
      ...(trip === undefined
        ? { request: req.fields.requestId }
        : this.#about(trip)),
      code: why.code,
      outcome: why.outcome,
      reason: why.message,
      retryAfterMs: why.retryAfterMs,
      tookMs: Math.round(clock.now() - req.arrivedAt),
    });
    return { kind: "refusal", failure: why };
  }

  /** What the log says of a request's way. */
  #about(trip: Trip): LogFields {
    const { req, route, account, service, planVersion, tried } = trip;
    return {
      request: req.fields.requestId,
      route: route.name,
      account: account?.id,
      service,
      plan: planVersion,
      tries: tried.size,
      tried: [...tried].map((row) => row.id).join(" "),
      leftMs: Math.round(trip.deadline - this.#opts.clock.now()),
    };
  }
}

/** Statuses by which a caller is promised that its request did not run. */
const PROMISE_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Why an answer cannot be passed on; undefined where it can. */
function faultOf(
  { status, fields }: Extract<SendResult, { kind: "answer" }>,
): string | undefined {
  if (status < 300 && !fields.signed) return "the answer is not signed";
  // The endpoint did not say that it did not run the request, so the caller
  // must not read that from the status.
  if (PROMISE_NOT_RUN.has(status)) return `the endpoint answered ${status}`;
  return undefined;
}

function accountOf(
  table: RouteTable,
  route: Route,
  key: string | undefined,
): Account | undefined | "unknown" {
  if (route.isPublic || !table.hasAccounts) return undefined;
  return (key === undefined ? undefined : table.account(key)) ?? "unknown";
}

function deadlineOf(req: CallerRequest, route: Route): number {
  const patienceMs = req.fields.patienceMs ?? DEFAULT_PATIENCE_MS;
  const leftMs = Math.min(patienceMs, route.timeoutMs) - ANSWER_MARGIN_MS;
  return req.arrivedAt + leftMs;
}
