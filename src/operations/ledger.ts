/**
 * The ledger: the operation records of one instance, as owner and as backup. It
 * makes the decisions and does no network I/O.
 *
 * It handles retries, duplicate and late messages, and bursts of new
 * operations. Without it a duplicate message runs an operation twice, which an
 * importer notices as a second deposit. It is bounded by time and size; at the
 * limit new operations are refused and no record is evicted early, since its
 * operation would run again on a retry.
 *
 * @module
 */
import type { RecordedAnswer } from "./operations.ts";
import {
  type BeginDecision,
  type Conclusion,
  DEFAULT_LEDGER_LIMITS,
  type IntentEntry,
  type LedgerLimits,
  type LedgerRecord,
  type OperationName,
  type RecordView,
  type SeatEpoch,
  type SettleDecision,
} from "./ledger_record.ts";

export * from "./ledger_record.ts";

const NO_RECORD: RecordView = { state: "none", fingerprint: "" };

/** The records of one instance. */
export class Ledger {
  readonly limits: LedgerLimits;
  /** Records by account and id; nearly always one per key. */
  #records = new Map<string, readonly LedgerRecord[]>();
  #size = 0;
  #epochs = new Map<string, number>();
  #bytes = 0;
  #runs = 0;
  #closed = false;

  constructor(limits: LedgerLimits = DEFAULT_LEDGER_LIMITS) {
    this.limits = limits;
  }

  get size(): number {
    return this.#size;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** The number of runs started here so far. */
  get runs(): number {
    return this.#runs;
  }

  /** The highest epoch of a seat seen so far; 0 if none. */
  epochOf(zone: string, index: number): number {
    return this.#epochs.get(seatKey({ zone, index })) ?? 0;
  }

  /** Whether new operations are refused because the ledger is full. */
  get full(): boolean {
    return this.size >= this.limits.maxRecords ||
      this.#bytes >= this.limits.maxBytes;
  }

  get closed(): boolean {
    return this.#closed;
  }

  *records(): IterableIterator<LedgerRecord> {
    for (const records of this.#records.values()) yield* records;
  }

  view(name: OperationName): RecordView {
    return this.#get(name) ?? NO_RECORD;
  }

  /** Whether an operation has a record, under this or another scope. */
  has(name: OperationName): boolean {
    return this.#find(name) !== undefined;
  }

  /** Rejects new intents and copies, so that the records can be handed over. */
  close(): void {
    this.#closed = true;
  }

  /** Handles an attempt at the owner: starts it unless the id has a record. */
  begin(
    entry: Omit<IntentEntry, "run">,
    now: number,
  ): BeginDecision {
    const known = this.#find(entry.name);
    if (known !== undefined) {
      if (known.fingerprint !== "" && known.fingerprint !== entry.fingerprint) {
        return { kind: "mismatch" };
      }
      return { kind: "known", record: known };
    }
    if (this.full || this.#closed) return { kind: "full" };
    this.#runs += 1;
    const run = `${entry.owner}.${this.#runs}`;
    this.#store({ ...entry, run, state: "intent" }, now + entry.keepMs);
    return { kind: "start", run };
  }

  /**
   * Handles an intent at the backup. A late intent of an earlier run must not
   * replace that of a later run: the conclusion of the earlier run would then
   * clear the record of one that is being dispatched.
   */
  intent(entry: IntentEntry, now: number): SettleDecision {
    const known = this.#get(entry.name);
    if (known !== undefined && !isSameOwner(known, entry)) {
      return { ...viewOf(known), accepted: false };
    }
    if (known !== undefined && runNumber(known.run) > runNumber(entry.run)) {
      return { ...viewOf(known), accepted: false };
    }
    if (!this.#acceptEpoch(entry.seat)) {
      return { ...NO_RECORD, state: "refused", accepted: false };
    }
    if (this.full || this.#closed) return { ...NO_RECORD, accepted: false };
    this.#store({ ...entry, state: "intent" }, now + entry.keepMs);
    return { state: "intent", fingerprint: entry.fingerprint, accepted: true };
  }

  /**
   * Concludes a run. A conclusion of another run is ignored: a late message of
   * an earlier run must not clear the intent of the current one.
   */
  conclude(
    name: OperationName,
    run: string,
    { conclusion, now }: { conclusion: Conclusion; now: number },
  ): void {
    const known = this.#get(name);
    if (known === undefined || known.run !== run) return;
    if (known.state !== "intent") return;
    if (conclusion.state === "refused" && name.scope === "") {
      this.#delete(known);
      return;
    }
    const answer = conclusion.state === "answered"
      ? this.#storable(conclusion.answer)
      : undefined;
    const expiresAt = now + this.limits.retentionMs;
    this.#store({ ...known, state: conclusion.state, answer }, expiresAt);
  }

  /**
   * Answers a query on behalf of the owner and rejects any intent that arrives
   * later, so that an answer of "not run" stays true.
   *
   * For a seat, only owners of an earlier epoch are fenced off.
   */
  fence(
    name: OperationName,
    { seat, now }: { seat?: SeatEpoch | undefined; now: number },
  ): SettleDecision {
    if (seat) this.#raiseEpoch(seat);
    const known = this.#get(name);
    if (known !== undefined) return { ...viewOf(known), accepted: true };
    if (seat) return { ...NO_RECORD, accepted: true };
    if (this.full) return { ...NO_RECORD, accepted: false };
    const record = {
      name,
      fingerprint: "",
      run: "",
      owner: "",
      state: "refused",
    } as const;
    this.#store(record, now + this.limits.retentionMs);
    return { state: "refused", fingerprint: "", accepted: true };
  }

  /**
   * Takes over a leaving instance's record unless more is recorded here. Returns
   * whether it is kept; a closed ledger keeps none, since its own successor may
   * already have all that it copies.
   */
  copy(record: Omit<LedgerRecord, "expiresAt">, now: number): boolean {
    if (this.#closed) return false;
    const known = this.#get(record.name);
    if (known !== undefined && known.run !== record.run) return true;
    if (known !== undefined && known.state !== "intent") return true;
    if (this.size >= this.limits.maxRecords) return false;
    this.#store(
      { ...record, answer: this.#storable(record.answer) },
      now + this.limits.retentionMs,
    );
    return true;
  }

  /** Removes expired records. */
  expire(now: number): void {
    for (const record of this.records()) {
      if (record.expiresAt <= now) this.#delete(record);
    }
  }

  /** An independent copy, for exploring all interleavings. */
  clone(): Ledger {
    const copy = new Ledger(this.limits);
    copy.#records = new Map(this.#records);
    copy.#size = this.#size;
    copy.#epochs = new Map(this.#epochs);
    copy.#bytes = this.#bytes;
    copy.#runs = this.#runs;
    copy.#closed = this.#closed;
    return copy;
  }

  /**
   * The record of an operation, by name or else by id. A caller that changed
   * its home without having received `not-run` would run twice; if one instance
   * has a record under either name, the earlier one counts.
   */
  #find(name: OperationName): LedgerRecord | undefined {
    return this.#get(name) ??
      this.#records.get(operationKey(name))?.find((r) => r.state !== "refused");
  }

  #get(name: OperationName): LedgerRecord | undefined {
    return this.#records.get(operationKey(name))?.find((r) =>
      r.name.scope === name.scope
    );
  }

  #acceptEpoch(seat: SeatEpoch | undefined): boolean {
    if (seat === undefined) return true;
    if (seat.epoch < (this.#epochs.get(seatKey(seat)) ?? 0)) return false;
    this.#raiseEpoch(seat);
    return true;
  }

  #raiseEpoch(seat: SeatEpoch): void {
    const key = seatKey(seat);
    this.#epochs.set(key, Math.max(seat.epoch, this.#epochs.get(key) ?? 0));
  }

  #storable(answer: RecordedAnswer | undefined): RecordedAnswer | undefined {
    if (answer === undefined) return undefined;
    if (answer.body.length > this.limits.maxAnswerBytes) return undefined;
    // A body is often a view into a whole message; stored as it is, it would
    // keep that message in memory for the life of the record.
    return { ...answer, body: new Uint8Array(answer.body) };
  }

  #store(record: Omit<LedgerRecord, "expiresAt">, expiresAt: number): void {
    const before = this.#get(record.name);
    if (before) this.#delete(before);
    const id = operationKey(record.name);
    const others = this.#records.get(id) ?? [];
    this.#records.set(id, [...others, { ...record, expiresAt }]);
    this.#bytes += bytesOf(record);
    this.#size += 1;
  }

  #delete(record: LedgerRecord): void {
    const id = operationKey(record.name);
    const rest = this.#records.get(id)?.filter((r) => r !== record) ?? [];
    if (rest.length > 0) this.#records.set(id, rest);
    else this.#records.delete(id);
    this.#bytes -= bytesOf(record);
    this.#size -= 1;
  }
}

function viewOf({ state, fingerprint, answer }: RecordView): RecordView {
  return { state, fingerprint, answer };
}

function isSameOwner(known: LedgerRecord, entry: IntentEntry): boolean {
  return known.owner === entry.owner && known.state === "intent";
}

/** Runs of one owner are numbered in the order in which they start. */
function runNumber(run: string): number {
  return Number(run.slice(run.lastIndexOf(".") + 1));
}

function operationKey(name: OperationName): string {
  return `${name.account} ${name.id}`;
}

/** The name as a map key. */
export function nameKey(name: OperationName): string {
  return `${name.account} ${name.id} ${name.scope}`;
}

function seatKey(seat: Omit<SeatEpoch, "epoch">): string {
  return `${seat.zone} ${seat.index}`;
}

function bytesOf(record: Pick<RecordView, "answer">): number {
  return record.answer?.body.length ?? 0;
}
