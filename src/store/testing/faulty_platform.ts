/**
 * Platform wrapper that injects faults, for tests and the store stand-in.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure, sleep } from "../../core/mod.ts";
import type {
  ListedInstance,
  Platform,
  PutCondition,
  Versioned,
} from "../platform.ts";

/** Faults to inject; each may be changed at any time. */
export interface PlatformFaults {
  /** Every call fails. */
  down: boolean;
  /** Delay added to every call, in milliseconds. */
  slowMs: number;
  /** Writes lose their response: after taking effect, or before. */
  loseAnswers: "none" | "applied" | "dropped";
  /** Reads return each value as it was before its last write. */
  staleReads: boolean;
  /** Lag of the instance list, in milliseconds. */
  listLagMs: number;
  /** Watches miss changes until they time out, or return at once unchanged. */
  watches: "live" | "silent" | "repeated";
  /** Values are truncated to half their length. */
  brokenBodies: boolean;
}

/** No faults. */
export function noFaults(): PlatformFaults {
  return {
    down: false,
    slowMs: 0,
    loseAnswers: "none",
    staleReads: false,
    listLagMs: 0,
    watches: "live",
    brokenBodies: false,
  };
}

type FoundValue = Versioned<string> | undefined;

interface ListSnapshot {
  readonly at: number;
  readonly listed: readonly ListedInstance[];
}

/**
 * Wraps a platform and injects the faults set in `faults`.
 *
 * @example
 * ```ts
 * const platform = new FaultyPlatform(new MemoryPlatform(clock), clock);
 * platform.faults.loseAnswers = "applied";
 * ```
 */
export class FaultyPlatform implements Platform {
  readonly faults: PlatformFaults = noFaults();
  /** Number of calls by name; a watch counts once. */
  readonly calls: Map<string, number> = new Map();
  readonly #inner: Platform;
  readonly #clock: Clock;
  readonly #previous = new Map<string, FoundValue>();
  readonly #snapshots: ListSnapshot[] = [];

  constructor(inner: Platform, clock: Clock) {
    this.#inner = inner;
    this.#clock = clock;
  }

  async get(key: string): Promise<Result<FoundValue, Failure>> {
    const down = await this.#beginCall("get");
    if (down) return down;
    const found = await this.#inner.get(key);
    return found.map((f) => this.#injectFaults(key, f));
  }

  async list(
    prefix: string,
  ): Promise<Result<readonly Versioned<string>[], Failure>> {
    const down = await this.#beginCall("list");
    if (down) return down;
    const found = await this.#inner.list(prefix);
    return found.map((all) =>
      all.map((f) => this.#injectFaults(f.key, f)).filter((f) =>
        f !== undefined
      )
    );
  }

  async put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Promise<Result<string, Failure>> {
    const down = await this.#beginCall("put");
    if (down || this.faults.loseAnswers === "dropped") return responseLost(key);
    const prior = await this.#inner.get(key);
    const written = await this.#inner.put(key, value, condition);
    if (written.isOk() && prior.isOk()) this.#previous.set(key, prior.value);
    return this.faults.loseAnswers === "applied" ? responseLost(key) : written;
  }

  async watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<FoundValue, Failure>> {
    const down = await this.#beginCall("watch");
    if (down) return down;
    if (this.faults.watches === "silent") await sleep(this.#clock, waitMs);
    const found = this.faults.watches === "live"
      ? await this.#inner.watch(key, seen, waitMs)
      : await this.#inner.get(key);
    return found.map((f) => this.#injectFaults(key, f));
  }

  async instances(): Promise<Result<readonly ListedInstance[], Failure>> {
    const down = await this.#beginCall("instances");
    if (down) return down;
    if (this.faults.listLagMs === 0) return await this.#inner.instances();
    const until = this.#clock.now() - this.faults.listLagMs;
    return ok(this.#snapshots.findLast((s) => s.at <= until)?.listed ?? []);
  }

  async announce(entry: ListedInstance): Promise<Result<void, Failure>> {
    const down = await this.#beginCall("announce");
    if (down) return down;
    const announced = await this.#inner.announce(entry);
    const listed = await this.#inner.instances();
    if (listed.isOk()) {
      this.#snapshots.push({ at: this.#clock.now(), listed: listed.value });
    }
    return announced;
  }

  async close(): Promise<void> {
    await this.#inner.close();
  }

  async #beginCall(call: string): Promise<Result<never, Failure> | undefined> {
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
    if (this.faults.slowMs > 0) await sleep(this.#clock, this.faults.slowMs);
    if (!this.faults.down) return undefined;
    return fail("platform_unavailable", "the platform is down");
  }

  #injectFaults(key: string, now: FoundValue): FoundValue {
    const stale = this.faults.staleReads && this.#previous.has(key);
    const found = stale ? this.#previous.get(key) : now;
    if (found === undefined || !this.faults.brokenBodies) return found;
    const half = Math.floor(found.value.length / 2);
    return { ...found, value: found.value.slice(0, half) };
  }
}

function responseLost(key: string): Result<never, Failure> {
  return fail("platform_outcome_unknown", `response for ${key} was lost`);
}
