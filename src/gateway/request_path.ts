/**
 * The path of one request: key, account, rate, slot, endpoint, answer.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type { Request, Response } from "express";
import { err, ok, type Result } from "neverthrow";
import {
  type AccountId,
  type Clock,
  type EndpointId,
  fail,
  type Failure,
  type Metrics,
  OperationId,
  type Random,
  type ServiceId,
} from "../core/mod.ts";
import type { RateLimiter } from "../decisions/limits/mod.ts";
import type { LinkBudgets } from "../decisions/regions/mod.ts";
import type {
  Dispatcher,
  Slot,
  WorkResult,
} from "../decisions/steering/mod.ts";
import type { SteeringDocument } from "../document/mod.ts";
import type { EndpointAnswer, EndpointClient } from "../endpoints/mod.ts";
import type {
  OperationKey,
  Operations,
  RecordedAnswer,
} from "../operations/mod.ts";
import {
  HOME_HEADER,
  OPERATION_HEADER,
  TIMEOUT_HEADER,
  toCaller,
  toEndpoint,
} from "./headers.ts";
import {
  forwardHeaders,
  type ForwardIdentity,
  pacedBody,
  pathAt,
  peerFailure,
} from "./forwarding.ts";
import type { KeyRing } from "./key_ring.ts";
import { HEAD_BYTES, pace } from "./pacing.ts";
import { refuse } from "./refusal.ts";
import { relay } from "./relay.ts";
import { policyFor } from "./routes.ts";

/** What a request path needs. */
export interface RequestPathDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly keys: KeyRing;
  readonly limiter: RateLimiter;
  readonly dispatcher: Dispatcher;
  readonly operations: Operations;
  readonly endpoints: EndpointClient;
  readonly document: () => SteeringDocument;
  readonly links: LinkBudgets;
  /** How this instance names itself where it forwards. */
  readonly identity: ForwardIdentity;
}

/** A request that was let in. */
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

const MAX_TRIES = 3;
const MAX_RECORDED_BYTES = 1_000_000;
const GENERATED_ID_BYTES = 16;

/** Takes requests of callers to endpoints and brings the answers back. */
export class RequestPath {
  readonly #deps: RequestPathDeps;
  #running = 0;

  constructor(deps: RequestPathDeps) {
    this.#deps = deps;
  }

  /** Requests that are being worked on. */
  get running(): number {
    return this.#running;
  }

  /** Answers one request; `service` and `path` are what its URL names. */
  async handle(
    req: Request,
    res: Response,
    { service, path }: { service: string; path: string },
  ): Promise<void> {
    this.#running += 1;
    const startedAt = this.#deps.clock.now();
    try {
      const done = await this.#handle(req, res, { service, path });
      const result = done.isOk() ? "ok" : done.error.code;
      const ms = this.#deps.clock.now() - startedAt;
      this.#deps.metrics.count("requests", { service, result });
      this.#deps.metrics.timing("request.duration", ms, { service });
      if (done.isErr()) refuse(res, done.error);
    } finally {
      this.#running -= 1;
    }
  }

  async #handle(
    req: Request,
    res: Response,
    target: { service: string; path: string },
  ): Promise<Result<void, Failure>> {
    const admitted = this.#admit(req, res, target);
    if (admitted.isErr()) return err(admitted.error);
    if (admitted.value.idempotent) {
      return await this.#stream(admitted.value, res);
    }
    return await this.#runOnce(admitted.value, res);
  }

  #admit(
    req: Request,
    res: Response,
    { service, path }: { service: string; path: string },
  ): Result<Admitted, Failure> {
    const now = this.#deps.clock.now();
    const account = this.#deps.keys.accountOf(req.headers.authorization);
    if (account.isErr()) return err(account.error);
    const services = this.#deps.document().services;
    const entry = Object.hasOwn(services, service)
      ? services[service as ServiceId]
      : undefined;
    if (entry === undefined) {
      return fail("not_found", `no service ${service}`, { outcome: "not-run" });
    }
    const policy = policyFor(entry, req.method, path);
    const timeout = timeoutOf(req, policy.deadlineMs);
    if (timeout.isErr()) return err(timeout.error);
    const within = this.#deps.limiter.take(account.value, now);
    if (within.isErr()) return err(within.error);
    const gone = new AbortController();
    res.on("close", () => gone.abort());
    return ok({
      req,
      account: account.value,
      service: service as ServiceId,
      path,
      idempotent: policy.idempotent,
      work: policy.work,
      deadline: now + timeout.value,
      signal: gone.signal,
    });
  }

  /** Idempotent: streams both ways; retries while nothing was sent on. */
  async #stream(
    admitted: Admitted,
    res: Response,
  ): Promise<Result<void, Failure>> {
    const tried = new Set<EndpointId>();
    let last: Result<void, Failure> = fail("no_capacity", "no try was made", {
      outcome: "not-run",
    });
    for (let i = 0; i < MAX_TRIES; i++) {
      const slot = await this.#acquire(admitted, tried);
      if (slot.isErr()) return i === 0 ? err(slot.error) : last;
      tried.add(slot.value.endpoint);
      const answer = await this.#send(admitted, slot.value, admitted.req);
      if (answer.isOk()) {
        const { signal } = admitted;
        const { clock } = this.#deps;
        await relay(answer.value, slot.value, { res, signal, clock });
        return ok(undefined);
      }
      last = err(answer.error);
      if (!mayRetry(admitted.req, answer.error)) return last;
    }
    return last;
  }

  /** Not idempotent: the body is read first, since the id stands for it. */
  async #runOnce(
    admitted: Admitted,
    res: Response,
  ): Promise<Result<void, Failure>> {
    const body = await readBody(admitted.req);
    if (body.isErr()) return err(body.error);
    const key = this.#operationKey(admitted, body.value);
    if (key.isErr()) return err(key.error);
    const result = await this.#deps.operations.once(
      key.value,
      () => this.#runRecorded(admitted, body.value),
    );
    return result.map((answer) => {
      res.writeHead(answer.status, { ...answer.headers });
      res.end(answer.body);
    });
  }

  async #runRecorded(
    admitted: Admitted,
    body: Uint8Array,
  ): Promise<Result<RecordedAnswer, Failure>> {
    const slot = await this.#acquire(admitted, new Set());
    if (slot.isErr()) return err(slot.error);
    const answer = await this.#send(admitted, slot.value, body);
    if (answer.isErr()) return err(answer.error);
    const recorded = await record(answer.value);
    const result = recorded.isOk() ? "ok" : "failed";
    slot.value.release(result, this.#deps.clock.now());
    return recorded;
  }

  #acquire(
    admitted: Admitted,
    exclude: ReadonlySet<EndpointId>,
  ): Promise<Result<Slot, Failure>> {
    const { service, account, idempotent, deadline, work } = admitted;
    const req = { service, account, idempotent, deadline, work, exclude };
    return this.#deps.dispatcher.acquire(req, admitted.signal);
  }

  /** Sends to the slot's endpoint; a failed try gives the slot back. */
  async #send(
    admitted: Admitted,
    slot: Slot,
    body: Request | Uint8Array,
  ): Promise<Result<EndpointAnswer, Failure>> {
    const { req, service } = admitted;
    const { clock, identity } = this.#deps;
    const extra = slot.forward ? forwardHeaders(identity, admitted) : {};
    const sent = hasBody(req) ? body : undefined;
    const answer = await this.#deps.endpoints.send({
      url: slot.url,
      method: req.method,
      path: pathAt(slot, service, admitted.path),
      headers: { ...toEndpoint(req.headers), ...extra },
      body: await this.#overLink(slot, sent),
      account: admitted.account,
      timeoutMs: admitted.deadline - clock.now(),
      signal: admitted.signal,
    });
    if (answer.isErr()) {
      slot.release(workResult(answer.error), clock.now());
      return answer;
    }
    const failed = slot.forward && peerFailure(answer.value);
    if (failed) slot.release("timeout", clock.now());
    else slot.answered(clock.now());
    return failed ?? answer;
  }

  /** What goes to another region keeps to this instance's part of the link. */
  async #overLink(
    { forward }: Slot,
    body: Request | Uint8Array | undefined,
  ): Promise<Readable | Uint8Array | undefined> {
    if (!forward?.crossesLink) return body;
    const { links, clock } = this.#deps;
    const link = { links, clock, to: forward.region };
    await pace(link, HEAD_BYTES);
    return body && pacedBody(body, link);
  }

  #operationKey(
    admitted: Admitted,
    body: Uint8Array,
  ): Result<OperationKey, Failure> {
    const { req, account } = admitted;
    const given = req.headers[OPERATION_HEADER] ??
      this.#deps.random.hex(GENERATED_ID_BYTES);
    const id = OperationId.safeParse(given);
    if (!id.success) {
      return fail("bad_request", `${OPERATION_HEADER} is not usable`, {
        outcome: "not-run",
      });
    }
    const home = req.headers[HOME_HEADER];
    return ok({
      account,
      id: id.data,
      fingerprint: fingerprintOf(admitted, body),
      ...(typeof home === "string" ? { home } : {}),
    });
  }
}

/** What a failed try says of the slot it used. */
export function workResult(failure: Failure): WorkResult {
  if (failure.code === "cancelled") return "cancelled";
  if (failure.code === "deadline_exceeded") return "timeout";
  return failure.outcome === "not-run" ? "shed" : "failed";
}

function mayRetry(req: Request, failure: Failure): boolean {
  if (hasBody(req)) return false;
  return failure.code === "endpoint_failed";
}

/** Whether a request announces a body. */
export function hasBody(req: Request): boolean {
  return req.headers["transfer-encoding"] !== undefined ||
    Number(req.headers["content-length"] ?? 0) > 0;
}

function timeoutOf(req: Request, limitMs: number): Result<number, Failure> {
  const given = req.headers[TIMEOUT_HEADER];
  if (given === undefined) return ok(limitMs);
  const ms = Number(given);
  if (Number.isFinite(ms) && ms > 0) return ok(Math.min(ms, limitMs));
  return fail("bad_request", `${TIMEOUT_HEADER} must be a positive number`, {
    outcome: "not-run",
  });
}

async function readBody(req: Request): Promise<Result<Uint8Array, Failure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req) {
      size += (chunk as Buffer).length;
      if (size > MAX_RECORDED_BYTES) {
        return fail("value_too_large", "the request's body is too large", {
          outcome: "not-run",
        });
      }
      chunks.push(chunk as Buffer);
    }
    return ok(Buffer.concat(chunks));
  } catch {
    return fail("cancelled", "the caller went away", { outcome: "not-run" });
  }
}

/** Reads a whole answer; a broken one is no answer, and what ran is unknown. */
async function record(
  answer: EndpointAnswer,
): Promise<Result<RecordedAnswer, Failure>> {
  try {
    const body = Buffer.concat(await answer.body.toArray());
    const announced = answer.headers["content-length"];
    if (announced === undefined || Number(announced) === body.length) {
      return ok({
        status: answer.status,
        headers: toCaller(answer.headers),
        body,
      });
    }
  } catch {
    // Falls through: a body that broke off is told like one that is short.
  }
  return fail("outcome_unknown", "the endpoint's answer broke off", {
    outcome: "unknown",
  });
}

function fingerprintOf(admitted: Admitted, body: Uint8Array): string {
  return createHash("sha256")
    .update(`${admitted.service} ${admitted.req.method} ${admitted.path}\n`)
    .update(body)
    .digest("hex");
}
