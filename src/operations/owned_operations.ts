/**
 * Operations whose home is this instance: each is begun once, its intent is
 * recorded at a second place, and only then is it dispatched.
 *
 * Were it dispatched first, an instance that dies between dispatch and record
 * would leave nobody who knows of the run; the retry would run it again.
 *
 * @module
 */
import { type Clock, fail, type Failure, type Metrics } from "../core/mod.ts";
import type { Place } from "./home_token.ts";
import {
  type Conclusion,
  type IntentEntry,
  keyOf,
  type Ledger,
  type LedgerRecord,
  type OperationName,
  type SeatEpoch,
} from "./ledger.ts";
import type {
  OperationRequest,
  OperationRunner,
  RunResult,
} from "./operations.ts";
import type { Placed, SecondPlaces } from "./second_places.ts";
import {
  mismatch,
  notNow,
  refused,
  RETRY_AFTER_MS,
  verdictOf,
} from "./verdict.ts";

/** On which ground an attempt is this instance's to run. */
export interface Ground {
  readonly name: OperationName;
  /** Where alone the intent may be recorded; any place if undefined. */
  readonly second?: Place | undefined;
  readonly seat?: SeatEpoch | undefined;
  /** Whether the ground still holds; asked right before dispatch. */
  readonly holds: () => boolean;
}

/** What owned operations need. */
export interface OwnedOperationsDeps {
  readonly self: Place;
  readonly ledger: Ledger;
  readonly seconds: SecondPlaces;
  readonly runner: OperationRunner;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/**
 * An intent this old, in milliseconds, is not acted upon. The process was
 * paused between record and dispatch; meanwhile others may have decided on
 * the operation. It is far above a slow second place and far below the time
 * that a second place keeps an intent.
 */
export const INTENT_FRESH_MS = 5_000;

/** Runs operations of which this instance is the home. */
export class OwnedOperations {
  readonly #deps: OwnedOperationsDeps;
  readonly #running = new Map<string, Promise<RunResult>>();

  constructor(deps: OwnedOperationsDeps) {
    this.#deps = deps;
  }

  /** Operations begun here that have not ended. */
  get running(): number {
    return this.#running.size;
  }

  /** Starts the operation, joins it, or tells what is known of it. */
  attempt(req: OperationRequest, ground: Ground): Promise<RunResult> {
    const { ledger, clock, self, runner } = this.#deps;
    const entry = {
      name: ground.name,
      fingerprint: req.fingerprint,
      owner: self.incarnation,
      seat: ground.seat,
      keepMs: runner.limitMs(req) + ledger.limits.retentionMs,
    };
    const decision = ledger.begin(entry, clock.now());
    if (decision.kind === "mismatch") return Promise.resolve(mismatch());
    if (decision.kind === "full") return Promise.resolve(overflow());
    if (decision.kind === "known") {
      return this.#known(decision.record, req.fingerprint);
    }
    return this.#track({ ...entry, run: decision.run }, req, ground);
  }

  /** Resolves when nothing that was begun here runs any more. */
  async settled(): Promise<void> {
    while (this.#running.size > 0) {
      await Promise.allSettled(this.#running.values());
    }
  }

  #known(record: LedgerRecord, fingerprint: string): Promise<RunResult> {
    const running = this.#running.get(keyOf(record.name));
    this.#deps.metrics.count("operations.repeated");
    return running ?? Promise.resolve(verdictOf(record, fingerprint));
  }

  async #track(
    intent: IntentEntry,
    req: OperationRequest,
    ground: Ground,
  ): Promise<RunResult> {
    const key = keyOf(intent.name);
    const running = this.#start(intent, req, ground);
    this.#running.set(key, running);
    try {
      return await running;
    } finally {
      this.#running.delete(key);
    }
  }

  async #start(
    intent: IntentEntry,
    req: OperationRequest,
    ground: Ground,
  ): Promise<RunResult> {
    const { clock, metrics, seconds } = this.#deps;
    const startedAt = clock.now();
    const placed = await seconds.record(intent, ground.second);
    const recordMs = clock.now() - startedAt;
    metrics.timing("operations.second_place", recordMs);
    if (placed.isErr()) {
      return this.#refuse(intent, noSecondPlace(placed.error));
    }
    const { place, decision } = placed.value;
    if (!decision.accepted) return this.#adopt(intent, placed.value);
    if (recordMs > INTENT_FRESH_MS || !ground.holds()) {
      const late = this.#never(intent, "this instance was paused or replaced");
      return this.#refuse(intent, late, place);
    }
    const patienceMs = req.patienceMs - recordMs;
    const result = await this.#dispatch({ ...req, patienceMs });
    this.#conclude(intent, conclusionOf(result), place);
    return result;
  }

  async #dispatch(req: OperationRequest): Promise<RunResult> {
    try {
      return await this.#deps.runner.run(req);
    } catch (cause) {
      return fail("internal", `the run broke off: ${String(cause)}`, {
        outcome: "unknown",
      });
    }
  }

  /** Another owner's record stands at the second place, or a fence does. */
  #adopt(intent: IntentEntry, { decision }: Placed): RunResult {
    const { state, answer } = decision;
    if (state === "refused") {
      return this.#refuse(
        intent,
        this.#never(intent, "another answers for it"),
      );
    }
    const conclusion: Conclusion = state === "answered"
      ? { state, answer }
      : { state: "unknown" };
    this.#conclude(intent, conclusion);
    return verdictOf(decision, intent.fingerprint);
  }

  /** At a home that a token names this is for good; at a seat, for now. */
  #never(intent: IntentEntry, reason: string): RunResult {
    return intent.seat === undefined ? refused(reason) : notNow(reason);
  }

  #refuse(intent: IntentEntry, result: RunResult, place?: Place): RunResult {
    this.#conclude(intent, { state: "refused" }, place);
    this.#deps.metrics.count("operations.refused");
    return result;
  }

  #conclude(intent: IntentEntry, conclusion: Conclusion, place?: Place): void {
    const { ledger, clock, seconds } = this.#deps;
    const { name, run } = intent;
    ledger.conclude(name, run, { conclusion, now: clock.now() });
    if (place === undefined) return;
    const { answer } = ledger.view(name);
    const told = conclusion.state === "answered"
      ? { ...conclusion, answer }
      : conclusion;
    void seconds.conclude(place, { name, run, conclusion: told });
  }
}

function conclusionOf(result: RunResult): Conclusion {
  if (result.isOk()) return { state: "answered", answer: result.value };
  const notRun = result.error.outcome === "not-run";
  return { state: notRun ? "refused" : "unknown" };
}

function noSecondPlace(failure: Failure): RunResult {
  return fail("peer_unavailable", failure.message, {
    outcome: "not-run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function overflow(): RunResult {
  return fail("no_capacity", "no more operations can be remembered here", {
    outcome: "not-run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
