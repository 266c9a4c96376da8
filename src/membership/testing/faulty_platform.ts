/**
 * A platform for tests that is slow, down, stale, or loses answers.
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

/** Chances of each fault, from 0 to 1. */
export interface PlatformFaults {
  /** Calls fail at once. */
  down: number;
  /** A write takes effect up to `lateMs` later, and its answer is lost. */
  lost: number;
  /** A read gives an earlier value. */
  stale: number;
  lateMs: number;
}

type Found = Result<Versioned<string> | undefined, Failure>;

/** How many reads are kept, to be shown again as stale ones. */
const KEEP_CHANCE = 0.3;

/** No faults. */
export function noFaults(): PlatformFaults {
  return { down: 0, lost: 0, stale: 0, lateMs: 3_000 };
}

/** Wraps a platform that is shared by many; the faults are the wrapper's. */
export class FaultyPlatform implements Platform {
  readonly #inner: Platform;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #earlier = new Map<string, Versioned<string> | undefined>();
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
    if (this.#chance(this.faults.down)) return unavailable();
    return this.#seen(key, await this.#inner.get(key));
  }

  async put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Promise<Result<string, Failure>> {
    this.calls += 1;
    this.writes += 1;
    if (this.#chance(this.faults.down)) return unavailable();
    if (!this.#chance(this.faults.lost)) {
      return await this.#inner.put(key, value, condition);
    }
    const ms = this.#random.below(this.faults.lateMs + 1);
    if (this.#chance(0.7)) {
      this.#clock.after(ms, () => void this.#inner.put(key, value, condition));
    }
    return fail("platform_outcome_unknown", "the answer was lost");
  }

  async list(
    prefix: string,
  ): Promise<Result<readonly Versioned<string>[], Failure>> {
    this.calls += 1;
    if (this.#chance(this.faults.down)) return unavailable();
    return await this.#inner.list(prefix);
  }

  async watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<Versioned<string> | undefined, Failure>> {
    this.calls += 1;
    if (this.#chance(this.faults.down)) return unavailable();
    const found = await this.#inner.watch(key, seen, waitMs);
    if (this.#chance(this.faults.down)) return unavailable();
    return this.#seen(key, found);
  }

  async instances(): Promise<Result<readonly ListedInstance[], Failure>> {
    this.calls += 1;
    if (this.#chance(this.faults.down)) return unavailable();
    return await this.#inner.instances();
  }

  async announce(entry: ListedInstance): Promise<Result<void, Failure>> {
    this.calls += 1;
    if (this.#chance(this.faults.down)) return unavailable();
    return await this.#inner.announce(entry);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** What a copy that is behind shows, or what stands. */
  #seen(key: string, found: Found): Found {
    const isStale = this.#chance(this.faults.stale) && this.#earlier.has(key);
    const earlier = this.#earlier.get(key);
    if (found.isOk() && this.#chance(KEEP_CHANCE)) {
      this.#earlier.set(key, found.value);
    }
    return isStale ? ok(earlier) : found;
  }

  #chance(of: number): boolean {
    return of > 0 && this.#random.next() < of;
  }
}

function unavailable<T>(): Result<T, Failure> {
  return fail("platform_unavailable", "the platform is down");
}
