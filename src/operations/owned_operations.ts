/**
 * Operations whose home is this instance: each is started once, its intent is
 * recorded at a backup replica, and only then is it dispatched.
 *
 * If it were dispatched first, an instance that crashes between dispatch and
 * record would leave no record of the run, and a retry would run it again.
 *
 * @module
 */
import { type Clock, fail, type Failure, type Metrics } from "../core/mod.ts";
import type { Replica } from "./home_token.ts";
import {
  type Conclusion,
  type IntentEntry,
  type Ledger,
  type LedgerRecord,
  nameKey,
  type OperationName,
  type SeatEpoch,
} from "./ledger.ts";
import type {
  OperationRequest,
  OperationRunner,
  RunResult,
} from "./operations.ts";
import type { BackupReceipt, BackupWriter } from "./backup_writer.ts";
import {
  idReused,
  refused,
  resultOf,
  RETRY_AFTER_MS,
  unavailable,
} from "./run_results.ts";

/** The basis on which this instance may run an attempt. */
export interface Ownership {
  readonly name: OperationName;
  /** The only replica that may record the intent; any replica if undefined. */
  readonly backup?: Replica | undefined;
  readonly seat?: SeatEpoch | undefined;
  /** Whether the ownership still holds; checked right before dispatch. */
  readonly isCurrent: () => boolean;
}

/** Dependencies of owned operations. */
export interface OwnedOperationsDeps {
  readonly self: Replica;
  readonly ledger: Ledger;
  readonly seconds: BackupWriter;
  readonly runner: OperationRunner;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

/**
 * An intent older than this, in milliseconds, is not dispatched. The process
 * was paused between record and dispatch, and other instances may have decided
 * on the operation meanwhile. The value is far above the latency of a slow
 * backup and far below the time for which a backup keeps an intent.
 */
export const MAX_INTENT_AGE_MS = 5_000;

/** Runs operations whose home is this instance. */
export class OwnedOperations {
  readonly #deps: OwnedOperationsDeps;
  readonly #running = new Map<string, Promise<RunResult>>();

  constructor(deps: OwnedOperationsDeps) {
    this.#deps = deps;
  }

  /** The number of operations started here that have not ended. */
  get running(): number {
    return this.#running.size;
  }

  /** Starts the operation, joins its run, or returns its recorded result. */
  attempt(req: OperationRequest, ownership: Ownership): Promise<RunResult> {
    const { ledger, clock, self, runner } = this.#deps;
    const entry = {
      name: ownership.name,
      fingerprint: req.fingerprint,
      owner: self.incarnation,
      seat: ownership.seat,
      keepMs: runner.maxRunMs(req) + ledger.limits.retentionMs,
    };
    const decision = ledger.begin(entry, clock.now());
    if (decision.kind === "mismatch") return Promise.resolve(idReused());
    if (decision.kind === "full") return Promise.resolve(ledgerFull());
    if (decision.kind === "known") {
      return this.#existingResult(decision.record, req.fingerprint);
    }
    return this.#track({ ...entry, run: decision.run }, req, ownership);
  }

  /** Resolves when no operation that started here is running. */
  async settled(): Promise<void> {
    while (this.#running.size > 0) {
      await Promise.allSettled(this.#running.values());
    }
  }

  #existingResult(
    record: LedgerRecord,
    fingerprint: string,
  ): Promise<RunResult> {
    const running = this.#running.get(nameKey(record.name));
    this.#deps.metrics.count("operations.repeated");
    return running ?? Promise.resolve(resultOf(record, fingerprint));
  }

  async #track(
    intent: IntentEntry,
    req: OperationRequest,
    ownership: Ownership,
  ): Promise<RunResult> {
    const key = nameKey(intent.name);
    const running = this.#start(intent, req, ownership);
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
    ownership: Ownership,
  ): Promise<RunResult> {
    const { clock, metrics, seconds } = this.#deps;
    const startedAt = clock.now();
    const receipt = await seconds.record(intent, ownership.backup);
    const recordMs = clock.now() - startedAt;
    metrics.timing("operations.second_place", recordMs);
    if (receipt.isErr()) {
      return this.#refuse(intent, backupUnavailable(receipt.error));
    }
    const { replica, decision } = receipt.value;
    if (!decision.accepted) return this.#resolveRejected(intent, receipt.value);
    if (recordMs > MAX_INTENT_AGE_MS || !ownership.isCurrent()) {
      const late = this.#notRun(intent, "this instance was paused or replaced");
      return this.#refuse(intent, late, replica);
    }
    const maxWaitMs = req.maxWaitMs - recordMs;
    const result = await this.#dispatch({ ...req, maxWaitMs });
    this.#conclude(intent, conclusionOf(result), replica);
    return result;
  }

  async #dispatch(req: OperationRequest): Promise<RunResult> {
    try {
      return await this.#deps.runner.run(req);
    } catch (cause) {
      return fail("internal", `the run failed: ${String(cause)}`, {
        outcome: "unknown",
      });
    }
  }

  /** The backup holds a record of another owner, or has been fenced. */
  #resolveRejected(
    intent: IntentEntry,
    { decision }: BackupReceipt,
  ): RunResult {
    const { state, answer } = decision;
    if (state === "refused") {
      return this.#refuse(
        intent,
        this.#notRun(intent, "another instance has fenced it"),
      );
    }
    const conclusion: Conclusion = state === "answered"
      ? { state, answer }
      : { state: "unknown" };
    this.#conclude(intent, conclusion);
    return resultOf(decision, intent.fingerprint);
  }

  /** Final at a token's home; at a seat, only this attempt is refused. */
  #notRun(intent: IntentEntry, reason: string): RunResult {
    return intent.seat === undefined ? refused(reason) : unavailable(reason);
  }

  #refuse(
    intent: IntentEntry,
    result: RunResult,
    replica?: Replica,
  ): RunResult {
    this.#conclude(intent, { state: "refused" }, replica);
    this.#deps.metrics.count("operations.refused");
    return result;
  }

  #conclude(
    intent: IntentEntry,
    conclusion: Conclusion,
    replica?: Replica,
  ): void {
    const { ledger, clock, seconds } = this.#deps;
    const { name, run } = intent;
    ledger.conclude(name, run, { conclusion, now: clock.now() });
    if (replica === undefined) return;
    const { answer } = ledger.view(name);
    const concluded = conclusion.state === "answered"
      ? { ...conclusion, answer }
      : conclusion;
    void seconds.conclude(replica, { name, run, conclusion: concluded });
  }
}

function conclusionOf(result: RunResult): Conclusion {
  if (result.isOk()) return { state: "answered", answer: result.value };
  const notRun = result.error.outcome === "not-run";
  return { state: notRun ? "refused" : "unknown" };
}

function backupUnavailable(failure: Failure): RunResult {
  return fail("peer_unavailable", failure.message, {
    outcome: "not-run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function ledgerFull(): RunResult {
  return fail("no_capacity", "the operation ledger is full or closed", {
    outcome: "not-run",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
