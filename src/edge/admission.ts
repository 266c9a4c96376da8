/**
 * Admission of a request: route, client account, rate limit and service.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  fail,
  type Failure,
  failure,
  type ServiceId,
} from "../core/mod.ts";
import { WeightedRoundRobin } from "../decisions/placement/mod.ts";
import type { AccountQuotas } from "../decisions/quotas/mod.ts";
import type { Account, Route, RouteTable } from "../traffic/mod.ts";
import { allowedRegions } from "./allowed_regions.ts";
import type { Hop } from "./hop_headers.ts";
import type { TrafficState } from "./traffic_state.ts";
import type { CallerRequest, RequestContext } from "./request_context.ts";

/** Client timeout assumed when a request carries none, in milliseconds. */
export const DEFAULT_CLIENT_TIMEOUT_MS = 30_000;
/**
 * How long before the client timeout this instance responds, in milliseconds:
 * about the network delay to the caller, which would otherwise have given up.
 */
const ANSWER_MARGIN_MS = 15;
/** Retry delay while an instance has no plan yet, in milliseconds. */
const START_RETRY_MS = 500;

/** Admits the requests of one instance. */
export class Admission {
  readonly #state: TrafficState;
  readonly #quotas: AccountQuotas;
  readonly #clock: Clock;
  readonly #roundRobin = new WeightedRoundRobin();

  constructor(state: TrafficState, quotas: AccountQuotas, clock: Clock) {
    this.#state = state;
    this.#quotas = quotas;
    this.#clock = clock;
  }

  /**
   * Admits a request and counts it against its account's rate, unless the
   * instance that passed it on has.
   *
   * Failures: `not_ready`, `not_found`, `unauthenticated`, `rate_exceeded`,
   * `no_endpoint`.
   */
  admit(req: CallerRequest): Result<RequestContext, Failure> {
    const { routeTable } = this.#state;
    if (routeTable === undefined) {
      return fail("not_ready", "this instance has no plan yet", {
        outcome: "not-run",
        retryAfterMs: START_RETRY_MS,
      });
    }
    const { fields } = req;
    const route = routeTable.route(fields.host, fields.path);
    if (route === undefined) return fail("not_found", "no such route");
    const account = accountOf(routeTable, route, fields.key);
    if (account === "unknown") {
      return fail("unauthenticated", "the key is not known");
    }
    const limited = req.hop === undefined
      ? this.#takeQuota(account)
      : undefined;
    if (limited !== undefined) return err(limited);
    const service = this.#selectService(route, req.hop);
    if (service === undefined) {
      return fail("no_endpoint", "the route has no service", {
        outcome: "not-run",
      });
    }
    return ok({
      req,
      route,
      account,
      service,
      regions: allowedRegions(route, account),
      deadline: deadlineOf(req, route),
      planVersion: routeTable.plan.version,
      tried: new Set(),
      counted: req.hop?.counted ?? false,
      arrivals: req.hop?.attempts ?? 0,
      lastRetry: { reason: "peer", decidedAt: this.#clock.now() },
      peersTried: new Set(),
      chosenBy: "",
      mayHaveRun: false,
    });
  }

  /** The service that another instance selected, if the route has it still. */
  #selectService(route: Route, hop: Hop | undefined): ServiceId | undefined {
    const isOnRoute = route.services.some(({ service, weight }) =>
      service === hop?.service && weight > 0
    );
    return isOnRoute ? hop?.service : this.#roundRobin.next(route);
  }

  #takeQuota(account: Account | undefined): Failure | undefined {
    if (account === undefined) return undefined;
    const decision = this.#quotas.take(account, this.#clock.now());
    if (decision.admitted) return undefined;
    const { level, reportAgeMs } = decision;
    const share = (decision.share * 100).toFixed(1);
    const state = `${level.toFixed(1)} requests left in the fleet, by reports ${
      Math.round(reportAgeMs)
    } ms old`;
    return failure(
      "rate_exceeded",
      `account ${account.id} is over its rate; this instance has ${share}% of it; ${state}`,
      { outcome: "not-run", retryAfterMs: decision.retryAfterMs },
    );
  }
}

function accountOf(
  table: RouteTable,
  route: Route,
  key: string | undefined,
): Account | undefined | "unknown" {
  if (route.isPublic || !table.hasAccounts) return undefined;
  return (key === undefined ? undefined : table.account(key)) ?? "unknown";
}

/** The client timeout from the request's arrival, in milliseconds. */
export function clientTimeoutOf({ fields }: CallerRequest): number {
  return fields.clientTimeoutMs ?? DEFAULT_CLIENT_TIMEOUT_MS;
}

function deadlineOf(req: CallerRequest, route: Route): number {
  const clientTimeoutMs = Math.min(clientTimeoutOf(req), route.timeoutMs);
  const leftMs = clientTimeoutMs - ANSWER_MARGIN_MS;
  return req.arrivedAt + leftMs;
}
