/**
 * Requests forwarded between entry instances: the receiving side.
 *
 * Only instances whose gossip has arrived are trusted, by the random token of
 * their current incarnation. The first instance has charged the account's rate
 * limit; this one only admits by capacity.
 *
 * @module
 */
import express, { type Express, type Request, type Response } from "express";
import { ok, type Result } from "neverthrow";
import {
  AccountId,
  type Clock,
  fail,
  type Failure,
  failure,
  type Metrics,
  ServiceId,
} from "../core/mod.ts";
import type {
  ForwardedAdmission,
  ForwardingInstance,
  LinkBudgets,
} from "../decisions/regions/mod.ts";
import type { Slot, SteeringRequest } from "../decisions/steering/mod.ts";
import type { EndpointClient } from "../endpoints/mod.ts";
import {
  FORWARD_PATH,
  type ForwardIdentity,
  FROM_HEADER,
  HOP_HEADER,
  IDEMPOTENT_HEADER,
  INCARNATION_HEADER,
  WORK_HEADER,
} from "./forwarding.ts";
import { disconnectSignal } from "./disconnect_signal.ts";
import { endpointHeaders, TIMEOUT_HEADER } from "./headers.ts";
import { HEAD_BYTES, pace, PacedStream } from "./pacing.ts";
import { sendFailure } from "./failure_response.ts";
import { relay } from "./relay.ts";
import { hasBody, workResult } from "./request_pipeline.ts";

/** Dependencies of {@link forwardApp}. */
export interface ForwardAppDeps {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly endpoints: EndpointClient;
  readonly admission: ForwardedAdmission;
  readonly links: LinkBudgets;
  readonly region: string;
  /** The peer with this identity; undefined before its first gossip. */
  readonly peerOf: (
    identity: ForwardIdentity,
  ) => ForwardingInstance | undefined;
}

interface ForwardedRequest {
  readonly req: Request;
  readonly from: ForwardingInstance;
  readonly steering: SteeringRequest;
  readonly signal: AbortSignal;
}

/** Set on a failure for which no byte of the request reached an endpoint. */
const NOT_RUN_HEADER = "x-not-run";

/** Builds the express application that serves {@link FORWARD_PATH}. */
export function forwardApp(deps: ForwardAppDeps): Express {
  const app = express();
  app.disable("x-powered-by");
  app.disable("etag");
  app.use(`${FORWARD_PATH}/:service`, async (req, res) => {
    const done = await handle(deps, req, res);
    const result = done.isOk() ? "ok" : done.error.code;
    deps.metrics.count("forwarded", { result });
    if (done.isOk()) return;
    if (done.error.outcome === "not-run" && !res.headersSent) {
      res.setHeader(NOT_RUN_HEADER, "true");
    }
    sendFailure(res, done.error);
  });
  app.use((_req: Request, res: Response) => {
    sendFailure(
      res,
      failure("not_found", "no such path", { outcome: "not-run" }),
    );
  });
  return app;
}

async function handle(
  deps: ForwardAppDeps,
  req: Request,
  res: Response,
): Promise<Result<void, Failure>> {
  const forwarded = parseForwarded(deps, req, res);
  if (forwarded.isErr()) return forwarded.map(() => undefined);
  const { steering, from, signal } = forwarded.value;
  const slot = deps.admission.admit(steering, from, deps.clock.now());
  if (slot.isErr()) return slot.map(() => undefined);
  const answer = await send(deps, forwarded.value, slot.value);
  if (answer.isErr()) return answer.map(() => undefined);
  const link = { links: deps.links, to: from.region, clock: deps.clock };
  const crossesLink = from.region !== deps.region;
  if (crossesLink) await pace(link, HEAD_BYTES);
  await relay(answer.value, slot.value, {
    res,
    signal,
    clock: deps.clock,
    pace: crossesLink ? new PacedStream(link) : undefined,
  });
  return answer.map(() => undefined);
}

function parseForwarded(
  deps: ForwardAppDeps,
  req: Request,
  res: Response,
): Result<ForwardedRequest, Failure> {
  const from = deps.peerOf({
    instance: header(req, FROM_HEADER),
    incarnation: header(req, INCARNATION_HEADER),
  });
  if (from === undefined || header(req, HOP_HEADER) !== "1") {
    return fail("forbidden", "the sender is not a known instance", {
      outcome: "not-run",
    });
  }
  const service = ServiceId.safeParse(req.params["service"]);
  const account = AccountId.safeParse(req.headers["x-client-account"]);
  const timeoutMs = Number(header(req, TIMEOUT_HEADER));
  if (!service.success || !account.success || !(timeoutMs > 0)) {
    return fail(
      "bad_request",
      "the service, the account or the time-out is not valid",
      {
        outcome: "not-run",
      },
    );
  }
  return ok({
    req,
    from,
    signal: disconnectSignal(res),
    steering: {
      service: service.data,
      account: account.data,
      idempotent: header(req, IDEMPOTENT_HEADER) === "true",
      work: header(req, WORK_HEADER),
      deadline: deps.clock.now() + timeoutMs,
    },
  });
}

async function send(
  deps: ForwardAppDeps,
  { req, steering, signal }: ForwardedRequest,
  slot: Slot,
) {
  const answer = await deps.endpoints.send({
    url: slot.url,
    method: req.method,
    path: req.url,
    headers: endpointHeaders(req.headers),
    body: hasBody(req) ? req : undefined,
    account: steering.account,
    timeoutMs: steering.deadline - deps.clock.now(),
    signal,
    onStatement: (statement) => slot.stated(statement, deps.clock.now()),
  });
  const now = deps.clock.now();
  if (answer.isErr()) slot.release(workResult(answer.error), now);
  else slot.answered(now);
  return answer;
}

function header(req: Request, name: string): string {
  return String(req.headers[name] ?? "");
}
