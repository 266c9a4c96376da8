/**
 * Baseline: at most once among attempts that reach this instance.
 *
 * A retry through another instance runs again, which shows as a doubled effect
 * at the endpoint.
 *
 * @module
 */
import { fail } from "../core/mod.ts";
import type {
  OperationRequest,
  OperationRunner,
  Operations,
  RunResult,
} from "./operations.ts";

interface Entry {
  readonly fingerprint: string;
  readonly running: Promise<RunResult>;
}

/** Keeps operation records in this process only. */
export class LocalOperations implements Operations {
  readonly #runner: OperationRunner;
  readonly #entries = new Map<string, Entry>();

  constructor(runner: OperationRunner) {
    this.#runner = runner;
  }

  run(req: OperationRequest): Promise<RunResult> {
    const name = `${req.account} ${req.id}`;
    const known = this.#entries.get(name);
    if (known === undefined) return this.#start(name, req);
    if (known.fingerprint === req.fingerprint) return known.running;
    return Promise.resolve(
      fail("bad_request", "the operation id was used for another request", {
        outcome: "not-run",
      }),
    );
  }

  async #start(name: string, req: OperationRequest): Promise<RunResult> {
    const running = this.#runner.run(req);
    this.#entries.set(name, { fingerprint: req.fingerprint, running });
    const result = await running;
    if (result.isErr() && result.error.outcome === "not-run") {
      this.#entries.delete(name);
    }
    return result;
  }
}
