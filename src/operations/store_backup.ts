/**
 * The platform's store as backup replica, for an instance that reaches no other
 * instance of its region.
 *
 * All records of an owner are in one object, written whole by conditional
 * update, many operations per write. A query on behalf of the owner closes the
 * object by the same conditional update; the owner's next write then fails, so
 * that it dispatches nothing already reported as not run.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { z } from "zod";
import { type Clock, fail, type Failure, sleep } from "../core/mod.ts";
import type { Platform, Versioned } from "../store/mod.ts";
import type { Replica } from "./home_token.ts";
import {
  type Conclusion,
  type IntentEntry,
  nameKey,
  type OperationName,
  type RecordView,
  type SettleDecision,
} from "./ledger.ts";

/** The replica that a home token names for the store. */
export const STORE_REPLICA: Replica = { instance: "store", incarnation: "0" };

const StoredRecord = z.strictObject({
  state: z.enum(["intent", "answered", "unknown"]),
  fingerprint: z.string(),
  run: z.string(),
});
const StoredLog = z.strictObject({
  /** Whether another instance has queried it on behalf of the owner. */
  closed: z.boolean(),
  records: z.record(z.string(), StoredRecord),
});
type StoredLog = z.infer<typeof StoredLog>;
type StoredRecord = z.infer<typeof StoredRecord>;

/** Dependencies of the store backup. */
export interface StoreBackupDeps {
  readonly self: Replica;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly retentionMs: number;
}

interface PendingWrite {
  readonly done: (written: Result<void, Failure>) => void;
}

interface HeldRecord extends StoredRecord {
  readonly expiresAt: number;
}

/** At most twenty writes a second per instance; the store sustains hundreds. */
const WRITE_INTERVAL_MS = 50;
/** About 200 bytes each; a stored value may be up to a megabyte. */
const MAX_RECORDS = 3_000;
const MAX_FENCE_ATTEMPTS = 3;
/** How long new tokens do not name the store after a failed write. */
const STORE_SUSPECT_MS = 2_000;

/** Keeps this instance's records in the store. */
export class StoreBackup {
  readonly #deps: StoreBackupDeps;
  readonly #records = new Map<string, HeldRecord>();
  #pendingWrites: PendingWrite[] = [];
  #version: string | undefined;
  #writing = false;
  #closed = false;
  #suspectUntil = -Infinity;

  constructor(deps: StoreBackupDeps) {
    this.#deps = deps;
  }

  /** Whether new operations can be recorded here. */
  get usable(): boolean {
    return !this.#closed && this.#records.size < MAX_RECORDS &&
      this.#deps.clock.now() >= this.#suspectUntil;
  }

  /** Records an intent; not accepted once the object has been closed. */
  async record(intent: IntentEntry): Promise<Result<SettleDecision, Failure>> {
    if (this.#closed) return ok(CLOSED);
    if (!this.usable) return notRecorded("the store accepts no records now");
    const { name, fingerprint, run, keepMs } = intent;
    const expiresAt = this.#deps.clock.now() + keepMs;
    const held = { state: "intent", fingerprint, run, expiresAt } as const;
    this.#records.set(nameKey(name), held);
    const written = await this.#written();
    if (written.isOk()) return ok({ accepted: true, ...viewOf(held) });
    this.#delete(name, run);
    return this.#closed ? ok(CLOSED) : notRecorded(written.error.message);
  }

  /** Records the conclusion of a run; sent with the next write. */
  conclude(name: OperationName, run: string, conclusion: Conclusion): void {
    const known = this.#records.get(nameKey(name));
    if (known?.run !== run) return;
    if (conclusion.state === "refused") return this.#delete(name, run);
    const expiresAt = this.#deps.clock.now() + this.#deps.retentionMs;
    const { state } = conclusion;
    this.#records.set(nameKey(name), { ...known, state, expiresAt });
  }

  /** Reads an owner's record; closes its object if there is none. */
  async fence(owner: string, name: OperationName): Promise<RecordView> {
    for (let i = 0; i < MAX_FENCE_ATTEMPTS; i++) {
      const found = await this.#deps.platform.get(objectKey(owner));
      if (found.isErr()) return UNKNOWN;
      const log = parseLog(found.value);
      if (log === undefined) return UNKNOWN;
      const record = log.records[nameKey(name)];
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

  /** Removes expired records. */
  sweep(now: number): void {
    for (const [key, held] of this.#records) {
      if (held.expiresAt <= now) this.#records.delete(key);
    }
  }

  #written(): Promise<Result<void, Failure>> {
    return new Promise((done) => {
      this.#pendingWrites.push({ done });
      if (!this.#writing) void this.#write();
    });
  }

  async #write(): Promise<void> {
    this.#writing = true;
    while (this.#pendingWrites.length > 0) {
      const batch = this.#pendingWrites;
      this.#pendingWrites = [];
      const written = await this.#writeOnce();
      if (written.isErr()) {
        this.#suspectUntil = this.#deps.clock.now() + STORE_SUSPECT_MS;
      }
      for (const { done } of batch) done(written);
      await sleep(this.#deps.clock, WRITE_INTERVAL_MS);
    }
    this.#writing = false;
  }

  /**
   * A write whose response was lost may have succeeded. The next write then
   * fails on a version conflict, reads the object back and retries with its
   * version, unless another instance has closed it.
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

  #delete(name: OperationName, run: string): void {
    const known = this.#records.get(nameKey(name));
    if (known?.run === run) this.#records.delete(nameKey(name));
  }
}

const UNKNOWN: RecordView = { state: "unknown", fingerprint: "" };
const REFUSED: RecordView = { state: "refused", fingerprint: "" };
const CLOSED: SettleDecision = { ...REFUSED, accepted: false };

function objectKey(owner: string): string {
  return `operations/${owner}`;
}

/** An absent object is read as empty, a malformed one as undefined. */
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

function notRecorded(reason: string): Result<SettleDecision, Failure> {
  return fail("platform_unavailable", reason, { outcome: "not-run" });
}
