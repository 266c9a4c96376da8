/**
 * Handles a request: authentication, rate limit, slot, endpoint, response.
 *
 * @module
 */
import type { Request, Response } from "express";
import { err, ok, type Result } from "neverthrow";
import {
  type AccountId,
  type Clock,
  type EndpointId,
  fail,
  type Failure,
  type FailureCode,
  type Metrics,
  type Random,
  type ServiceId,
  sleep,
} from "../core/mod.ts";
import type { RateLimiter } from "../decisions/limits/mod.ts";
import type { RetryPolicy } from "../decisions/retries/mod.ts";
import type {
  Dispatcher,
  Slot,
  WorkResult,
} from "../decisions/steering/mod.ts";
import type { SteeringDocument } from "../document/mod.ts";
import type { EndpointAnswer } from "../endpoints/mod.ts";
import type { Operations } from "../operations/mod.ts";
import { disconnectSignal } from "./disconnect_signal.ts";
import { endpointHeaders, TIMEOUT_HEADER } from "./headers.ts";
import type { ApiKeyTable } from "./api_key_table.ts";
import { readOperation } from "./operation_request.ts";
import { sendFailure } from "./failure_response.ts";
import { relay } from "./relay.ts";
import { routePolicyFor } from "./routes.ts";
import type { SlotSender } from "./slot_sender.ts";

/** Dependencies of {@link RequestPipeline}. */
export interface RequestPipelineDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly keys: ApiKeyTable;
  readonly limiter: RateLimiter;
  readonly dispatcher: Dispatcher;
  readonly operations: Operations;
  readonly sender: SlotSender;
  readonly retries: RetryPolicy;
  readonly document: () => SteeringDocument;
  readonly outcomes: OutcomeRecorder;
}

/** Records the result of each request of a known account to a known service. */
export interface OutcomeRecorder {
  record(
    request: { readonly service: ServiceId; readonly account: AccountId },
    end: {
      readonly result: FailureCode | "ok";
      readonly status: number;
      readonly ms: number;
    },
  ): void;
}

/** A request with a valid key, a known service and a charged rate limit. */
interface Admitted {
  readonly req: Request;
  readonly account: AccountId;
  readonly service: ServiceId;
  readonly path: string;
  readonly idempotent: boolean;
  readonly deadline: number;
  readonly work: string;
  readonly signal: AbortSignal;
}

/** Proxies callers' requests to endpoints. */
export class RequestPipeline {
  readonly #deps: RequestPipelineDeps;
  #inFlight = 0;

  constructor(deps: RequestPipelineDeps) {
    this.#deps = deps;
  }

  /** Requests in flight. */
  get running(): number {
    return this.#inFlight;
  }

  /** Handles a request; `service` and `path` are taken from its URL. */
  async handle(
    req: Request,
    res: Response,
    { service, path }: { service: string; path: string },
  ): Promise<void> {
    this.#inFlight += 1;
    const startedAt = this.#deps.clock.now();
    try {
      const done = await this.#handle(req, res, { service, path });
      const result = done.isOk() ? "ok" : done.error.code;
      const ms = this.#deps.clock.now() - startedAt;
      const tags = { service: this.#serviceTag(service) };
      this.#deps.metrics.count("requests", { ...tags, result });
      this.#deps.metrics.timing("request.duration", ms, tags);
      if (done.isErr()) sendFailure(res, done.error);
    } finally {
      this.#inFlight -= 1;
    }
  }

  /**
   * Unknown names from URLs are not used as tags: one may be a misplaced key,
   * and each would create a new time series.
   */
  #serviceTag(service: string): string {
    const { services } = this.#deps.document();
    return Object.hasOwn(services, service) ? service : "unknown";
  }

  async #handle(
    req: Request,
    res: Response,
    target: { service: string; path: string },
  ): Promise<Result<void, Failure>> {
    const admitted = await this.#admit(req, res, target);
    if (admitted.isErr()) return err(admitted.error);
    const startedAt = this.#deps.clock.now();
    const done = admitted.value.idempotent
      ? await this.#stream(admitted.value, res)
      : await this.#runOperation(admitted.value, res);
    this.#deps.outcomes.record(admitted.value, {
      result: done.isOk() ? "ok" : done.error.code,
      status: res.statusCode,
      ms: this.#deps.clock.now() - startedAt,
    });
    return done;
  }

  async #admit(
    req: Request,
    res: Response,
    { service, path }: { service: string; path: string },
  ): Promise<Result<Admitted, Failure>> {
    const now = this.#deps.clock.now();
    const account = this.#deps.keys.accountOf(req.headers.authorization);
    if (account.isErr()) return err(account.error);
    const services = this.#deps.document().services;
    const entry = Object.hasOwn(services, service)
      ? services[service as ServiceId]
      : undefined;
    if (entry === undefined) {
      const message = "the document has no such service";
      return fail("not_found", message, { outcome: "not-run" });
    }
    const policy = routePolicyFor(entry, req.method, path);
    const timeout = requestTimeoutMs(req, policy.deadlineMs);
    if (timeout.isErr()) return err(timeout.error);
    const deadline = now + timeout.value;
    const signal = disconnectSignal(res);
    const charge = await this.#deps.limiter.take(account.value, {
      deadline,
      signal,
    });
    if (charge.isErr()) {
      this.#deps.outcomes.record(
        { service: service as ServiceId, account: account.value },
        {
          result: charge.error.code,
          status: 0,
          ms: this.#deps.clock.now() - now,
        },
      );
      return err(charge.error);
    }
    return ok({
      req,
      account: account.value,
      service: service as ServiceId,
      path,
      idempotent: policy.idempotent,
      work: policy.work,
      deadline,
      signal,
    });
  }

  /** Idempotent: streams both ways; retries until a response is relayed. */
  async #stream(
    admitted: Admitted,
    res: Response,
  ): Promise<Result<void, Failure>> {
    const tried = new Set<EndpointId>();
    const { clock, retries } = this.#deps;
    retries.request(admitted.service, clock.now());
    let last: Failure | undefined;
    for (;;) {
      const slot = await this.#acquire(admitted, tried);
      if (slot.isErr()) return err(last ?? slot.error);
      tried.add(slot.value.endpoint);
      const answer = await this.#send(admitted, slot.value, admitted.req);
      if (answer.isOk()) {
        const { signal } = admitted;
        await relay(answer.value, slot.value, { res, signal, clock });
        return ok(undefined);
      }
      last = combineFailures(last, answer.error);
      const waitMs = retries.nextBackoffMs({
        ...admitted,
        tries: tried.size,
        failure: answer.error,
        replayable: !hasBody(admitted.req),
      }, clock.now());
      if (waitMs === undefined) return err(last);
      await sleep(clock, waitMs);
      const charged = await this.#chargeRetry(admitted, answer.error);
      if (charged.isErr()) return err(last);
    }
  }

  /**
   * Charges a retry to the account's rate if the failed attempt may have run.
   * Without it, an account with failing endpoints would exceed its rate by one
   * request for each retry.
   */
  async #chargeRetry(
    { account, deadline, signal }: Admitted,
    failed: Failure,
  ): Promise<Result<void, Failure>> {
    if (failed.outcome === "not-run") return ok(undefined);
    return await this.#deps.limiter.take(account, { deadline, signal });
  }

  /** Not idempotent: runs under an operation id, at most once. */
  async #runOperation(
    admitted: Admitted,
    res: Response,
  ): Promise<Result<void, Failure>> {
    const operation = await readOperation(admitted, this.#deps);
    if (operation.isErr()) return err(operation.error);
    const result = await this.#deps.operations.run(operation.value);
    return result.map((answer) => {
      res.writeHead(answer.status, { ...answer.headers });
      res.end(answer.body);
    });
  }

  #acquire(
    admitted: Admitted,
    exclude: ReadonlySet<EndpointId>,
  ): Promise<Result<Slot, Failure>> {
    const { service, account, idempotent, deadline, work } = admitted;
    const req = { service, account, idempotent, deadline, work, exclude };
    return this.#deps.dispatcher.acquire(req, admitted.signal);
  }

  /** Sends to the slot's endpoint; a failed attempt releases the slot. */
  async #send(
    admitted: Admitted,
    slot: Slot,
    body: Request,
  ): Promise<Result<EndpointAnswer, Failure>> {
    const { req, deadline, ...rest } = admitted;
    const { clock, sender } = this.#deps;
    const answer = await sender.send(slot, {
      ...rest,
      method: req.method,
      headers: endpointHeaders(req.headers),
      body: hasBody(req) ? body : undefined,
      timeoutMs: deadline - clock.now(),
    });
    const now = clock.now();
    if (answer.isErr()) slot.release(workResult(answer.error), now);
    else slot.answered(now);
    return answer;
  }
}

/** The result that a failed attempt reports for its slot. */
export function workResult(failure: Failure): WorkResult {
  if (failure.code === "cancelled") return "cancelled";
  if (failure.code === "deadline_exceeded") return "timeout";
  return failure.outcome === "not-run" ? "shed" : "failed";
}

/**
 * Combines the failures of several attempts: the last one, with outcome
 * `not-run` only if no attempt may have run.
 */
export function combineFailures(
  previous: Failure | undefined,
  last: Failure,
): Failure {
  if (previous === undefined || previous.outcome === "not-run") return last;
  return { ...last, outcome: "unknown" };
}

/** Whether a request's headers declare a body. */
export function hasBody(req: Request): boolean {
  return req.headers["transfer-encoding"] !== undefined ||
    Number(req.headers["content-length"] ?? 0) > 0;
}

function requestTimeoutMs(
  req: Request,
  limitMs: number,
): Result<number, Failure> {
  const given = req.headers[TIMEOUT_HEADER];
  if (given === undefined) return ok(limitMs);
  const ms = Number(given);
  if (Number.isFinite(ms) && ms > 0) return ok(Math.min(ms, limitMs));
  return fail("bad_request", `${TIMEOUT_HEADER} must be a positive number`, {
    outcome: "not-run",
  });
}
