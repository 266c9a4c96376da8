/**
 * The way of one request: let in, sent to an endpoint, answered.
 *
 * @module
 */
import {
  type Clock,
  type Failure,
  failure,
  type FailureDetails,
} from "../core/mod.ts";
import type { SharedRetryBudget } from "../decisions/retries/mod.ts";
import type { StartGate } from "../decisions/starting/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import { type Admission, patienceOf } from "./admission.ts";
import type { EndpointChooser } from "./endpoint_chooser.ts";
import type { EndpointSender, Sending, SendResult } from "./endpoint_sender.ts";
import type { OutcomeJournal } from "./outcome_journal.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { CallerRequest, Trip } from "./trip.ts";

/** An endpoint's answer. */
type Answer = Extract<SendResult, { kind: "answer" }>;

/** What the caller is answered. */
export type FlowAnswer =
  | Answer
  | { readonly kind: "refusal"; readonly failure: Failure }
  /** The caller has gone; there is nobody to answer. */
  | { readonly kind: "gone" };

/** What the flow works with. */
export interface RequestFlowOptions {
  /** Open once the instance has a plan and the endpoints. */
  readonly gate: StartGate;
  readonly admission: Admission;
  readonly chooser: EndpointChooser;
  readonly sender: EndpointSender;
  readonly codec: RequestCodec;
  readonly retries: SharedRetryBudget;
  /** Instances that may be sending, this one included. */
  readonly fleetSize: () => number;
  readonly journal: OutcomeJournal;
  readonly clock: Clock;
}

/** With less time left than this no endpoint can answer, in milliseconds. */
const LEAST_LEFT_MS = 5;
/** Statuses by which a caller is promised that its request did not run. */
const PROMISE_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Takes requests through one instance. */
export class RequestFlow {
  readonly #opts: RequestFlowOptions;

  constructor(opts: RequestFlowOptions) {
    this.#opts = opts;
  }

  /** Serves a request; never throws. */
  async handle(req: CallerRequest): Promise<FlowAnswer> {
    const { gate, admission, retries, clock } = this.#opts;
    if (!gate.isOpen) {
      await gate.pass({ patienceMs: patienceOf(req), signal: req.signal });
    }
    if (req.signal.aborted) return { kind: "gone" };
    const admitted = admission.admit(req);
    if (admitted.isErr()) return this.#refuse(req, admitted.error);
    const trip = admitted.value;
    retries.request(trip.service, clock.now());
    return await this.#serve(trip);
  }

  /** Sends the request to one endpoint after another until one answers. */
  async #serve(trip: Trip): Promise<FlowAnswer> {
    const { clock, chooser } = this.#opts;
    for (;;) {
      const now = clock.now();
      if (trip.req.signal.aborted) return this.#gone(trip);
      if (trip.deadline - now < LEAST_LEFT_MS) return this.#late(trip);
      const chosen = chooser.choose(trip, now);
      if (chosen.isErr()) {
        const { code, message, retryAfterMs } = chosen.error;
        return this.#unserved(trip, code, message, retryAfterMs);
      }
      const result = await this.#send(trip, chosen.value);
      const answer = this.#settle(trip, chosen.value, result);
      if (answer !== undefined) return answer;
    }
  }

  async #send(trip: Trip, endpoint: EndpointRow): Promise<SendResult> {
    const { clock, codec, sender, chooser, journal } = this.#opts;
    const { req, account, tried, deadline } = trip;
    const sentAt = clock.now();
    tried.add(endpoint);
    chooser.sent(endpoint, sentAt);
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
    });
    const result = await this.#await(sending, trip);
    const now = clock.now();
    chooser.learn(endpoint, result, { tookMs: now - sentAt, now });
    journal.tried(endpoint, now - sentAt);
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
        return this.#turnedAway(trip, endpoint);
      case "unknown":
        trip.mayHaveRun = true;
        if (this.#mayRepeat(trip)) return undefined;
        return this.#failed(trip, `the endpoint's answer is ${result.reason}`);
      case "cancelled":
        if (result.sent) trip.mayHaveRun = true;
        return trip.req.signal.aborted ? this.#gone(trip) : this.#late(trip);
    }
  }

  /** Passes an answer on, unless another endpoint may do better. */
  #settleAnswer(
    trip: Trip,
    endpoint: EndpointRow,
    answer: Answer,
  ): FlowAnswer | undefined {
    const fault = faultOf(answer);
    if (answer.status < 500 && fault === undefined) {
      return this.#answered(trip, endpoint, answer);
    }
    trip.mayHaveRun = true;
    const again = this.#mayRepeat(trip);
    if (!again && fault === undefined) {
      return this.#answered(trip, endpoint, answer);
    }
    answer.body.rest?.cancel();
    return again ? undefined : this.#failed(trip, fault ?? "it failed");
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

  #answered(trip: Trip, endpoint: EndpointRow, answer: Answer): FlowAnswer {
    this.#opts.journal.answered(trip, endpoint, answer.status);
    return answer;
  }

  #gone(trip: Trip): FlowAnswer {
    this.#opts.journal.gone(trip);
    return { kind: "gone" };
  }

  /** The last endpoint did not run the request, and no other is tried. */
  #turnedAway(trip: Trip, endpoint: EndpointRow): FlowAnswer {
    const { chooser, clock } = this.#opts;
    const retryAfterMs = chooser.shedRetryMs(trip, endpoint, clock.now());
    const why = "the endpoints turned the request away";
    return this.#unserved(trip, "no_capacity", why, retryAfterMs);
  }

  /** No endpoint takes the request; what is said of it is what is known. */
  #unserved(
    trip: Trip,
    code: Failure["code"],
    why: string,
    retryAfterMs: number | undefined,
  ): FlowAnswer {
    if (trip.mayHaveRun) return this.#failed(trip, why);
    const details: FailureDetails = retryAfterMs === undefined
      ? { outcome: "not-run" }
      : { outcome: "not-run", retryAfterMs };
    return this.#refuse(trip.req, failure(code, why, details), trip);
  }

  #failed(trip: Trip, why: string): FlowAnswer {
    const failed = failure("endpoint_failed", why, { outcome: "unknown" });
    return this.#refuse(trip.req, failed, trip);
  }

  #late(trip: Trip): FlowAnswer {
    const outcome = trip.mayHaveRun ? "unknown" : "not-run";
    const late = failure("deadline_exceeded", "the time is up", { outcome });
    return this.#refuse(trip.req, late, trip);
  }

  #refuse(req: CallerRequest, why: Failure, trip?: Trip): FlowAnswer {
    this.#opts.journal.refused(req, why, trip);
    return { kind: "refusal", failure: why };
  }
}

/** Why an answer cannot be passed on; undefined where it can. */
function faultOf({ status, fields }: Answer): string | undefined {
  if (status < 300 && !fields.signed) return "the answer is not signed";
  // The endpoint did not say that it did not run the request, so the caller
  // must not read that from the status.
  if (PROMISE_NOT_RUN.has(status)) return `the endpoint answered ${status}`;
  return undefined;
}
