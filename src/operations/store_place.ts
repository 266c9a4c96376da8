/**
 * The platform's store as a second place, for an instance that reaches no
 * other instance of its region.
 *
 * All records of an owner stand in one object, written whole by conditional
 * update, many operations to a write. Who asks in the owner's stead closes the
 * object by the same conditional update; the owner's next write then fails, so
 * that no operation is dispatched behind the asker's back.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { z } from "zod";
import { type Clock, fail, type Failure, sleep } from "../core/mod.ts";
import type { Platform, Versioned } from "../store/mod.ts";
import type { Place } from "./home_token.ts";
import {
  type Conclusion,
  type IntentEntry,
  keyOf,
  type OperationName,
  type PlaceDecision,
  type RecordView,
} from "./ledger.ts";

/** The place that a home token names for the store. */
export const STORE_PLACE: Place = { instance: "store", incarnation: "0" };

const StoredRecord = z.strictObject({
  state: z.enum(["intent", "answered", "unknown"]),
  fingerprint: z.string(),
  run: z.string(),
});
const StoredLog = z.strictObject({
  /** Whether somebody asked in the owner's stead. */
  closed: z.boolean(),
  records: z.record(z.string(), StoredRecord),
});
type StoredLog = z.infer<typeof StoredLog>;
type StoredRecord = z.infer<typeof StoredRecord>;

/** What the store as a second place needs. */
export interface StorePlaceDeps {
  readonly self: Place;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly retentionMs: number;
}

interface Waiting {
  readonly done: (written: Result<void, Failure>) => void;
}

interface Held extends StoredRecord {
  readonly expiresAt: number;
}

/** Twenty writes a second and instance at most; the store takes hundreds. */
const WRITE_EVERY_MS = 50;
/** About 200 bytes each; a value holds a megabyte. */
const MAX_RECORDS = 3_000;
const ASK_TRIES = 3;
/** After a failed write the store is not named in new tokens for this long. */
const SUSPECT_MS = 2_000;

/** Records in the store. */
export class StorePlace {
  readonly #deps: StorePlaceDeps;
  readonly #records = new Map<string, Held>();
  #waiting: Waiting[] = [];
  #version: string | undefined;
  #writing = false;
  #closed = false;
  #suspectUntil = -Infinity;

  constructor(deps: StorePlaceDeps) {
    this.#deps = deps;
  }

  /** Whether new operations may be recorded here. */
  get usable(): boolean {
    return !this.#closed && this.#records.size < MAX_RECORDS &&
      this.#deps.clock.now() >= this.#suspectUntil;
  }

  /** Records an intent; not accepted once somebody closed the object. */
  async record(intent: IntentEntry): Promise<Result<PlaceDecision, Failure>> {
    if (this.#closed) return ok(CLOSED);
    if (!this.usable) return notRecorded("the store's object is full");
    const { name, fingerprint, run, keepMs } = intent;
    const expiresAt = this.#deps.clock.now() + keepMs;
    const held = { state: "intent", fingerprint, run, expiresAt } as const;
    this.#records.set(keyOf(name), held);
    const written = await this.#written();
    if (written.isOk()) return ok({ accepted: true, ...viewOf(held) });
    this.#drop(name, run);
    return this.#closed ? ok(CLOSED) : notRecorded(written.error.message);
  }

  /** Notes how a run ended; it goes out with the next write. */
  conclude(name: OperationName, run: string, conclusion: Conclusion): void {
    const known = this.#records.get(keyOf(name));
    if (known?.run !== run) return;
    if (conclusion.state === "refused") return this.#drop(name, run);
    const expiresAt = this.#deps.clock.now() + this.#deps.retentionMs;
    const { state } = conclusion;
    this.#records.set(keyOf(name), { ...known, state, expiresAt });
  }

  /** Asks in an owner's stead, and closes its object if it has no record. */
  async ask(owner: string, name: OperationName): Promise<RecordView> {
    for (let i = 0; i < ASK_TRIES; i++) {
      const found = await this.#deps.platform.get(objectKey(owner));
      if (found.isErr()) return UNKNOWN;
      const log = parseLog(found.value);
      if (log === undefined) return UNKNOWN;
      const record = log.records[keyOf(name)];
      if (record) return viewOf(record);
      if (log.closed) return REFUSED;
      const closed = await this.#put(owner, {
        log: { ...log, closed: true },
        version: found.value?.version,
      });
      if (closed.isOk()) return REFUSED;
      if (closed.error.code !== "conflict") return UNKNOWN;
    }
    return UNKNOWN;
  }

  /** Forgets what is over its time. */
  sweep(now: number): void {
    for (const [key, held] of this.#records) {
      if (held.expiresAt <= now) this.#records.delete(key);
    }
  }

  #written(): Promise<Result<void, Failure>> {
    return new Promise((done) => {
      this.#waiting.push({ done });
      if (!this.#writing) void this.#write();
    });
  }

  async #write(): Promise<void> {
    this.#writing = true;
    while (this.#waiting.length > 0) {
      const batch = this.#waiting;
      this.#waiting = [];
      const written = await this.#writeOnce();
      if (written.isErr()) {
        this.#suspectUntil = this.#deps.clock.now() + SUSPECT_MS;
      }
      for (const { done } of batch) done(written);
      await sleep(this.#deps.clock, WRITE_EVERY_MS);
    }
    this.#writing = false;
  }

  /**
   * A write whose answer was lost may stand. The next one then meets a version
   * that it does not know, reads the object back and goes on from there,
   * unless somebody closed it.
   */
  async #writeOnce(): Promise<Result<void, Failure>> {
    const first = await this.#putOwn();
    if (first.isOk() || first.error.code !== "conflict") return first;
    const { self, platform } = this.#deps;
    const found = await platform.get(objectKey(self.incarnation));
    if (found.isErr()) return fail(found.error.code, found.error.message);
    const log = parseLog(found.value);
    if (log === undefined || log.closed) {
      this.#closed = true;
      return first;
    }
    this.#version = found.value?.version;
    return await this.#putOwn();
  }

  async #putOwn(): Promise<Result<void, Failure>> {
    const records = Object.fromEntries(
      [...this.#records].map(([key, { state, fingerprint, run }]) =>
        [key, { state, fingerprint, run }] as const
      ),
    );
    const log = { closed: false, records };
    const { self } = this.#deps;
    const put = await this.#put(self.incarnation, {
      log,
      version: this.#version,
    });
    if (put.isOk()) this.#version = put.value;
    return put.map(() => undefined);
  }

  #put(
    owner: string,
    { log, version }: { log: StoredLog; version: string | undefined },
  ): Promise<Result<string, Failure>> {
    const condition = version === undefined
      ? { ifAbsent: true } as const
      : { ifVersion: version };
    const value = JSON.stringify(log);
    return this.#deps.platform.put(objectKey(owner), value, condition);
  }

  #drop(name: OperationName, run: string): void {
    const known = this.#records.get(keyOf(name));
    if (known?.run === run) this.#records.delete(keyOf(name));
  }
}

const UNKNOWN: RecordView = { state: "unknown", fingerprint: "" };
const REFUSED: RecordView = { state: "refused", fingerprint: "" };
const CLOSED: PlaceDecision = { ...REFUSED, accepted: false };

function objectKey(owner: string): string {
  return `operations/${owner}`;
}

/** An absent object is an empty one; a broken one is undefined. */
function parseLog(found: Versioned<string> | undefined): StoredLog | undefined {
  if (found === undefined) return { closed: false, records: {} };
  try {
    return StoredLog.safeParse(JSON.parse(found.value)).data;
  } catch {
    return undefined;
  }
}

function viewOf({ state, fingerprint }: StoredRecord): RecordView {
  return { state, fingerprint };
}

function notRecorded(reason: string): Result<PlaceDecision, Failure> {
  return fail("platform_unavailable", reason, { outcome: "not-run" });
}
