/**
 * In-memory platform, for the library, tests and the store stand-in.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure } from "../core/mod.ts";
import {
  type ListedInstance,
  MAX_VALUE_BYTES,
  type Platform,
  type PutCondition,
  type Versioned,
} from "./platform.ts";

/**
 * A platform held in the memory of one process.
 *
 * @example
 * ```ts
 * const platform = new MemoryPlatform(new SystemClock());
 * await platform.put("a", "1", { ifAbsent: true });
 * ```
 */
export class MemoryPlatform implements Platform {
  readonly #clock: Clock;
  readonly #values = new Map<string, Versioned<string>>();
  readonly #instances = new Map<string, ListedInstance>();
  readonly #waiters = new Map<string, Set<() => void>>();
  #revision = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get(key: string): Promise<Result<Versioned<string> | undefined, Failure>> {
    return Promise.resolve(ok(this.#values.get(key)));
  }

  list(prefix: string): Promise<Result<Versioned<string>[], Failure>> {
    const values = [...this.#values.values()];
    return Promise.resolve(ok(values.filter((v) => v.key.startsWith(prefix))));
  }

  put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Promise<Result<string, Failure>> {
    return Promise.resolve(this.#put(key, value, condition));
  }

  watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<Versioned<string> | undefined, Failure>> {
    const current = this.#values.get(key);
    if (current?.version !== seen) return Promise.resolve(ok(current));
    return new Promise((resolve) => {
      const done = () => {
        timer.close();
        this.#waiters.get(key)?.delete(done);
        resolve(ok(this.#values.get(key)));
      };
      const timer = this.#clock.after(waitMs, done);
      const waiters = this.#waiters.get(key) ?? new Set();
      this.#waiters.set(key, waiters.add(done));
    });
  }

  instances(): Promise<Result<ListedInstance[], Failure>> {
    return Promise.resolve(ok([...this.#instances.values()]));
  }

  announce(entry: ListedInstance): Promise<Result<void, Failure>> {
    this.#instances.set(entry.instance, entry);
    return Promise.resolve(ok(undefined));
  }

  /** Delists an instance, as the platform does some time after it ended. */
  removeInstance(instance: string): void {
    this.#instances.delete(instance);
  }

  close(): Promise<void> {
    for (const waiters of this.#waiters.values()) {
      for (const done of [...waiters]) done();
    }
    return Promise.resolve();
  }

  #put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Result<string, Failure> {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return fail("value_too_large", `${key} is over ${MAX_VALUE_BYTES} bytes`);
    }
    const expected = condition.ifAbsent ? undefined : condition.ifVersion;
    if (this.#values.get(key)?.version !== expected) {
      return fail("conflict", `${key} has changed`);
    }
    const version = String(++this.#revision);
    this.#values.set(key, { key, value, version });
    for (const done of [...(this.#waiters.get(key) ?? [])]) done();
    return ok(version);
  }
}
