/**
 * The plain baseline: at most once among attempts that reach this instance.
 *
 * What goes wrong with it: a retry through another instance runs again, which
 * shows as a doubled effect at the endpoint.
 *
 * @module
 */
import { fail } from "../core/mod.ts";
import type { OperationKey, Operations, RunResult } from "./operations.ts";

interface Entry {
  readonly fingerprint: string;
  readonly running: Promise<RunResult>;
}

/** Remembers operations in this process alone. */
export class LocalOperations implements Operations {
  readonly #entries = new Map<string, Entry>();

  once(key: OperationKey, run: () => Promise<RunResult>): Promise<RunResult> {
    const name = `${key.account} ${key.id}`;
    const known = this.#entries.get(name);
    if (known === undefined) return this.#start(name, key, run);
    if (known.fingerprint === key.fingerprint) return known.running;
    return Promise.resolve(
      fail("bad_request", "the operation id was used for another request", {
        outcome: "not-run",
      }),
    );
  }

  async #start(
    name: string,
    key: OperationKey,
    run: () => Promise<RunResult>,
  ): Promise<RunResult> {
    const running = run();
    this.#entries.set(name, { fingerprint: key.fingerprint, running });
    const result = await running;
    if (result.isErr() && result.error.outcome === "not-run") {
      this.#entries.delete(name);
    }
    return result;
  }
}
