/**
 * Dispatches an operation to an endpoint and reads its whole answer.
 *
 * A caller that goes away ends nothing here: the operation may have had its
 * effect already, and only its answer lets the caller's retry know.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  type EndpointId,
  fail,
  type Failure,
  sleep,
} from "../core/mod.ts";
import type { RetryPolicy } from "../decisions/retries/mod.ts";
import type {
  Dispatcher,
  Slot,
  WorkResult,
} from "../decisions/steering/mod.ts";
import type { SteeringDocument } from "../document/mod.ts";
import type { EndpointAnswer } from "../endpoints/mod.ts";
import type {
  OperationRequest,
  OperationRunner,
  RecordedAnswer,
  RunResult,
} from "../operations/mod.ts";
import { toCaller } from "./headers.ts";
import { policyFor, type RoutePolicy } from "./routes.ts";
import type { SlotSender } from "./slot_sender.ts";

/** What dispatching needs. */
export interface OperationDispatchDeps {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly sender: SlotSender;
  readonly retries: RetryPolicy;
  readonly document: () => SteeringDocument;
}

const DEFAULT_LIMIT_MS = 5_000;
/** Fits a message between instances; a larger answer cannot be handed on. */
const MAX_ANSWER_BYTES = 3_000_000;
/** Answers that announce a length and have no body. */
const BODILESS_STATUS = new Set([204, 304]);

/** Runs operations at the endpoints that the dispatcher chooses. */
export class OperationDispatch implements OperationRunner {
  readonly #deps: OperationDispatchDeps;

  constructor(deps: OperationDispatchDeps) {
    this.#deps = deps;
  }

  maxRunMs(req: OperationRequest): number {
    return this.#policy(req)?.deadlineMs ?? DEFAULT_LIMIT_MS;
  }

  /** Tries another endpoint only where the last surely did not run it. */
  async run(req: OperationRequest): Promise<RunResult> {
    const startedAt = this.#deps.clock.now();
    const until = startedAt + this.maxRunMs(req);
    const waitUntil = Math.min(until, startedAt + req.maxWaitMs);
    const tried = new Set<EndpointId>();
    let last: RunResult = fail("no_capacity", "no try was made", {
      outcome: "not-run",
    });
    const { clock, retries } = this.#deps;
    retries.request(req.service, startedAt);
    for (;;) {
      const slot = await this.#acquire(req, { exclude: tried, waitUntil });
      if (slot.isErr()) return tried.size === 0 ? err(slot.error) : last;
      tried.add(slot.value.endpoint);
      last = await this.#try(req, slot.value, until);
      if (last.isOk() || last.error.outcome !== "not-run") return last;
      const waitMs = retries.nextBackoffMs({
        service: req.service,
        tries: tried.size,
        failure: last.error,
        idempotent: false,
        replayable: true,
        deadline: waitUntil,
      }, clock.now());
      if (waitMs === undefined) return last;
      await sleep(clock, waitMs);
    }
  }

  /** Undefined where the document does not know the service any more. */
  #policy(req: OperationRequest): RoutePolicy | undefined {
    const service = this.#deps.document().services[req.service];
    return service && policyFor(service, req.method, req.path);
  }

  #acquire(
    req: OperationRequest,
    { exclude, waitUntil }: {
      exclude: ReadonlySet<EndpointId>;
      waitUntil: number;
    },
  ): Promise<Result<Slot, Failure>> {
    return this.#deps.dispatcher.acquire({
      service: req.service,
      account: req.account,
      idempotent: false,
      deadline: waitUntil,
      work: this.#policy(req)?.work ?? "",
      exclude,
    });
  }

  async #try(
    req: OperationRequest,
    slot: Slot,
    until: number,
  ): Promise<RunResult> {
    const { clock } = this.#deps;
    const timeoutMs = until - clock.now();
    if (timeoutMs <= 0) {
      slot.release("cancelled", clock.now());
      return fail("deadline_exceeded", "no slot came free in time", {
        outcome: "not-run",
      });
    }
    const result = await this.#exchange(req, slot, timeoutMs);
    slot.release(workResult(result), clock.now());
    return result;
  }

  async #exchange(
    req: OperationRequest,
    slot: Slot,
    timeoutMs: number,
  ): Promise<RunResult> {
    const answer = await this.#deps.sender.send(slot, {
      service: req.service,
      idempotent: false,
      method: req.method,
      path: req.path,
      headers: req.headers,
      body: req.body.length > 0 ? req.body : undefined,
      account: req.account,
      timeoutMs,
      signal: new AbortController().signal,
    });
    if (answer.isErr()) return err(answer.error);
    slot.answered(this.#deps.clock.now());
    return await readAnswer(answer.value, req.method);
  }
}

function workResult(result: RunResult): WorkResult {
  if (result.isOk()) return "ok";
  if (result.error.code === "deadline_exceeded") return "timeout";
  return result.error.outcome === "not-run" ? "shed" : "failed";
}

/** Reads a whole answer; a broken one is no answer, and what ran is unknown. */
async function readAnswer(
  answer: EndpointAnswer,
  method: string,
): Promise<RunResult> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of answer.body) {
      size += (chunk as Buffer).length;
      if (size > MAX_ANSWER_BYTES) return brokenOff("is too large");
      chunks.push(chunk as Buffer);
    }
  } catch {
    return brokenOff("broke off");
  }
  if (!isWhole(answer, { method, size })) return brokenOff("is too short");
  return ok(recorded(answer, Buffer.concat(chunks)));
}

function isWhole(
  { status, headers }: EndpointAnswer,
  { method, size }: { method: string; size: number },
): boolean {
  if (method === "HEAD" || BODILESS_STATUS.has(status)) return size === 0;
  const announced = headers["content-length"];
  return announced === undefined || Number(announced) === size;
}

function recorded(
  { status, headers }: EndpointAnswer,
  body: Uint8Array,
): RecordedAnswer {
  return { status, headers: toCaller(headers), body };
}

function brokenOff(how: string): RunResult {
  return fail("outcome_unknown", `the endpoint's answer ${how}`, {
    outcome: "unknown",
  });
}
