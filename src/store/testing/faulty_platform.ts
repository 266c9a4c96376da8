/**
 * A platform that misbehaves on demand, for tests and the store stand-in.
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

/** How a platform misbehaves; each may be changed at any time. */
export interface PlatformFaults {
  /** Every call fails. */
  down: boolean;
  /** Every call takes this much longer, in milliseconds. */
  slowMs: number;
  /** Writes lose their answer: after taking effect, or before. */
  loseAnswers: "none" | "applied" | "dropped";
  /** Reads give each value as it was before its last write. */
  staleReads: boolean;
  /** The instance list is this much behind, in milliseconds. */
  listLagMs: number;
  /** Watches say nothing of a change, or end at once although nothing changed. */
  watches: "live" | "silent" | "repeated";
  /** Values come back cut in the middle. */
  brokenBodies: boolean;
}

/** No fault at all. */
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

type Found = Versioned<string> | undefined;

interface Snapshot {
  readonly at: number;
  readonly listed: readonly ListedInstance[];
}

/**
 * Wraps a platform; what `faults` holds is what goes wrong.
 *
 * @example
 * ```ts
 * const platform = new FaultyPlatform(new MemoryPlatform(clock), clock);
 * platform.faults.loseAnswers = "applied";
 * ```
 */
export class FaultyPlatform implements Platform {
  readonly faults: PlatformFaults = noFaults();
  /** Calls made so far, by name; a waiting watch is one. */
  readonly calls: Map<string, number> = new Map();
  readonly #inner: Platform;
  readonly #clock: Clock;
  readonly #before = new Map<string, Found>();
  readonly #snapshots: Snapshot[] = [];

  constructor(inner: Platform, clock: Clock) {
    this.#inner = inner;
    this.#clock = clock;
  }

  async get(key: string): Promise<Result<Found, Failure>> {
    const down = await this.#enter("get");
    if (down) return down;
    const found = await this.#inner.get(key);
    return found.map((f) => this.#seen(key, f));
  }

  async list(
    prefix: string,
  ): Promise<Result<readonly Versioned<string>[], Failure>> {
    const down = await this.#enter("list");
    if (down) return down;
    const found = await this.#inner.list(prefix);
    return found.map((all) =>
      all.map((f) => this.#seen(f.key, f)).filter((f) => f !== undefined)
    );
  }

  async put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Promise<Result<string, Failure>> {
    const down = await this.#enter("put");
    if (down || this.faults.loseAnswers === "dropped") return lost(key);
    const before = await this.#inner.get(key);
    const written = await this.#inner.put(key, value, condition);
    if (written.isOk() && before.isOk()) this.#before.set(key, before.value);
    return this.faults.loseAnswers === "applied" ? lost(key) : written;
  }

  async watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<Found, Failure>> {
    const down = await this.#enter("watch");
    if (down) return down;
    if (this.faults.watches === "silent") await sleep(this.#clock, waitMs);
    const found = this.faults.watches === "live"
      ? await this.#inner.watch(key, seen, waitMs)
      : await this.#inner.get(key);
    return found.map((f) => this.#seen(key, f));
  }

  async instances(): Promise<Result<readonly ListedInstance[], Failure>> {
    const down = await this.#enter("instances");
    if (down) return down;
    if (this.faults.listLagMs === 0) return await this.#inner.instances();
    const until = this.#clock.now() - this.faults.listLagMs;
    return ok(this.#snapshots.findLast((s) => s.at <= until)?.listed ?? []);
  }

  async announce(entry: ListedInstance): Promise<Result<void, Failure>> {
    const down = await this.#enter("announce");
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

  async #enter(call: string): Promise<Result<never, Failure> | undefined> {
    this.calls.set(call, (this.calls.get(call) ?? 0) + 1);
    if (this.faults.slowMs > 0) await sleep(this.#clock, this.faults.slowMs);
    if (!this.faults.down) return undefined;
    return fail("platform_unavailable", "the platform is down");
  }

  #seen(key: string, now: Found): Found {
    const stale = this.faults.staleReads && this.#before.has(key);
    const found = stale ? this.#before.get(key) : now;
    if (found === undefined || !this.faults.brokenBodies) return found;
    const half = Math.floor(found.value.length / 2);
    return { ...found, value: found.value.slice(0, half) };
  }
}

function lost(key: string): Result<never, Failure> {
  return fail("platform_outcome_unknown", `the answer for ${key} was lost`);
}
