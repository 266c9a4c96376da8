/**
 * A platform for tests that is down, returns stale reads, or loses responses.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure, type Random } from "../../core/mod.ts";
import type {
  ListedInstance,
  Platform,
  PutCondition,
  Versioned,
} from "../../store/mod.ts";

/** Probability of each fault, from 0 to 1. */
export interface PlatformFaults {
  /** A call fails at once. */
  down: number;
  /** A write may take effect up to `lateMs` later; its response is lost. */
  lost: number;
  /** A read returns an earlier value. */
  stale: number;
  lateMs: number;
}

type ReadResult = Result<Versioned<string> | undefined, Failure>;

/** Probability that a read is kept, to be returned later as a stale one. */
const SNAPSHOT_PROBABILITY = 0.3;

/** No faults. */
export function noFaults(): PlatformFaults {
  return { down: 0, lost: 0, stale: 0, lateMs: 3_000 };
}

/** Wraps a shared platform; faults apply to this wrapper only. */
export class FaultyPlatform implements Platform {
  readonly #inner: Platform;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #snapshots = new Map<string, Versioned<string> | undefined>();
  readonly faults: PlatformFaults = noFaults();
  calls = 0;
  writes = 0;

  constructor(inner: Platform, clock: Clock, random: Random) {
    this.#inner = inner;
    this.#clock = clock;
    this.#random = random;
  }

  async get(
    key: string,
  ): Promise<Result<Versioned<string> | undefined, Failure>> {
    this.calls += 1;
    if (this.#occurs(this.faults.down)) return unavailable();
    return this.#maybeStale(key, await this.#inner.get(key));
  }

  async put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Promise<Result<string, Failure>> {
    this.calls += 1;
    this.writes += 1;
    if (this.#occurs(this.faults.down)) return unavailable();
    if (!this.#occurs(this.faults.lost)) {
      return await this.#inner.put(key, value, condition);
    }
    const ms = this.#random.below(this.faults.lateMs + 1);
    if (this.#occurs(0.7)) {
      this.#clock.after(ms, () => void this.#inner.put(key, value, condition));
    }
    return fail("platform_outcome_unknown", "the response was lost");
  }

  async list(
    prefix: string,
  ): Promise<Result<readonly Versioned<string>[], Failure>> {
    this.calls += 1;
    if (this.#occurs(this.faults.down)) return unavailable();
    return await this.#inner.list(prefix);
  }

  async watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<Versioned<string> | undefined, Failure>> {
    this.calls += 1;
    if (this.#occurs(this.faults.down)) return unavailable();
    const found = await this.#inner.watch(key, seen, waitMs);
    if (this.#occurs(this.faults.down)) return unavailable();
    return this.#maybeStale(key, found);
  }

  async instances(): Promise<Result<readonly ListedInstance[], Failure>> {
    this.calls += 1;
    if (this.#occurs(this.faults.down)) return unavailable();
    return await this.#inner.instances();
  }

  async announce(entry: ListedInstance): Promise<Result<void, Failure>> {
    this.calls += 1;
    if (this.#occurs(this.faults.down)) return unavailable();
    return await this.#inner.announce(entry);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** The result that was read, or an earlier one for the same key. */
  #maybeStale(key: string, found: ReadResult): ReadResult {
    const isStale = this.#occurs(this.faults.stale) && this.#snapshots.has(key);
    const earlier = this.#snapshots.get(key);
    if (found.isOk() && this.#occurs(SNAPSHOT_PROBABILITY)) {
      this.#snapshots.set(key, found.value);
    }
    return isStale ? ok(earlier) : found;
  }

  #occurs(probability: number): boolean {
    return probability > 0 && this.#random.next() < probability;
  }
}

function unavailable<T>(): Result<T, Failure> {
  return fail("platform_unavailable", "the platform is down");
}
