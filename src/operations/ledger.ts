/**
 * The ledger: what one instance knows of operations, as owner and as second
 * place. It decides and imports no network.
 *
 * It answers retries, repeated and late messages, and a fast arrival of new
 * operations. Without it a repeated message runs an operation twice, which an
 * importer notices as a second deposit. It is bounded by time and size; at the
 * bound new operations are refused and none is forgotten early, since a
 * forgotten one would run again when its caller retries.
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
  type PlaceDecision,
  type RecordView,
  type SeatEpoch,
} from "./ledger_record.ts";

export * from "./ledger_record.ts";

const NOTHING: RecordView = { state: "none", fingerprint: "" };

/** The table of records of one instance. */
export class Ledger {
  readonly limits: LedgerLimits;
  /** Records by account and id; nearly always one, whatever its scope. */
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

  /** Runs begun here so far. */
  get runs(): number {
    return this.#runs;
  }

  /** The highest epoch of a seat that was heard of; 0 if none. */
  epochOf(zone: string, index: number): number {
    return this.#epochs.get(seatKey({ zone, index })) ?? 0;
  }

  /** Whether new operations are refused for want of room. */
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
    return this.#get(name) ?? NOTHING;
  }

  /** Whether an operation is known, under this name or another of its id. */
  knows(name: OperationName): boolean {
    return this.#find(name) !== undefined;
  }

  /** Takes no new intent from now on; what is held can then be handed over. */
  close(): void {
    this.#closed = true;
  }

  /** An attempt arrives at the owner: starts it unless the id is known. */
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
   * An intent arrives at the second place. One of an earlier run that comes
   * late must not take the place of a later run's: the end of the earlier run
   * would then clear the record of one that is being dispatched.
   */
  intent(entry: IntentEntry, now: number): PlaceDecision {
    const known = this.#get(entry.name);
    if (known !== undefined && !isSameOwner(known, entry)) {
      return { ...viewOf(known), accepted: false };
    }
    if (known !== undefined && orderOf(known.run) > orderOf(entry.run)) {
      return { ...viewOf(known), accepted: false };
    }
    if (!this.#admitsEpoch(entry.seat)) {
      return { ...NOTHING, state: "refused", accepted: false };
    }
    if (this.full || this.#closed) return { ...NOTHING, accepted: false };
    this.#store({ ...entry, state: "intent" }, now + entry.keepMs);
    return { state: "intent", fingerprint: entry.fingerprint, accepted: true };
  }

  /**
   * A run ended. A conclusion of another run is left out: a late message of
   * an earlier run must not clear the intent of the one that runs now.
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
      this.#drop(known);
      return;
    }
    const answer = conclusion.state === "answered"
      ? this.#kept(conclusion.answer)
      : undefined;
    const expiresAt = now + this.limits.retentionMs;
    this.#store({ ...known, state: conclusion.state, answer }, expiresAt);
  }

  /**
   * Somebody asks in the owner's stead: whatever has no intent yet gets none
   * any more, so that "not run" stays true.
   *
   * For a seat, only owners of an earlier epoch are shut out.
   */
  fence(
    name: OperationName,
    { seat, now }: { seat?: SeatEpoch | undefined; now: number },
  ): PlaceDecision {
    if (seat) this.#raise(seat);
    const known = this.#get(name);
    if (known !== undefined) return { ...viewOf(known), accepted: true };
    if (seat) return { ...NOTHING, accepted: true };
    if (this.full) return { ...NOTHING, accepted: false };
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

  /** Takes a leaver's record over, unless more is known here. */
  copy(record: Omit<LedgerRecord, "expiresAt">, now: number): boolean {
    const known = this.#get(record.name);
    if (known !== undefined && known.run !== record.run) return true;
    if (known !== undefined && known.state !== "intent") return true;
    if (this.size >= this.limits.maxRecords) return false;
    this.#store(
      { ...record, answer: this.#kept(record.answer) },
      now + this.limits.retentionMs,
    );
    return true;
  }

  /** Forgets what is over its time. */
  expire(now: number): void {
    for (const record of this.records()) {
      if (record.expiresAt <= now) this.#drop(record);
    }
  }

  /** A copy that goes its own way; for checking all interleavings. */
  clone(): Ledger {
    const twin = new Ledger(this.limits);
    twin.#records = new Map(this.#records);
    twin.#size = this.#size;
    twin.#epochs = new Map(this.#epochs);
    twin.#bytes = this.#bytes;
    twin.#runs = this.#runs;
    twin.#closed = this.#closed;
    return twin;
  }

  /**
   * The record of a name. A caller that took a new home without having been
   * told `not-run` would run twice; where one instance sees both names, the
   * earlier one counts.
   */
  #find(name: OperationName): LedgerRecord | undefined {
    return this.#get(name) ??
      this.#records.get(idOf(name))?.find((r) => r.state !== "refused");
  }

  #get(name: OperationName): LedgerRecord | undefined {
    return this.#records.get(idOf(name))?.find((r) =>
      r.name.scope === name.scope
    );
  }

  #admitsEpoch(seat: SeatEpoch | undefined): boolean {
    if (seat === undefined) return true;
    if (seat.epoch < (this.#epochs.get(seatKey(seat)) ?? 0)) return false;
    this.#raise(seat);
    return true;
  }

  #raise(seat: SeatEpoch): void {
    const key = seatKey(seat);
    this.#epochs.set(key, Math.max(seat.epoch, this.#epochs.get(key) ?? 0));
  }

  #kept(answer: RecordedAnswer | undefined): RecordedAnswer | undefined {
    if (answer === undefined) return undefined;
    if (answer.body.length > this.limits.maxAnswerBytes) return undefined;
    // A body is often a view of a whole message; kept as it is, it would hold
    // that message in memory for as long as the record lives.
    return { ...answer, body: new Uint8Array(answer.body) };
  }

  #store(record: Omit<LedgerRecord, "expiresAt">, expiresAt: number): void {
    const before = this.#get(record.name);
    if (before) this.#drop(before);
    const id = idOf(record.name);
    const others = this.#records.get(id) ?? [];
    this.#records.set(id, [...others, { ...record, expiresAt }]);
    this.#bytes += bytesOf(record);
    this.#size += 1;
  }

  #drop(record: LedgerRecord): void {
    const id = idOf(record.name);
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

/** Runs of one owner are numbered in the order of their beginning. */
function orderOf(run: string): number {
  return Number(run.slice(run.lastIndexOf(".") + 1));
}

function idOf(name: OperationName): string {
  return `${name.account} ${name.id}`;
}

/** A name as the key of a map. */
export function keyOf(name: OperationName): string {
  return `${name.account} ${name.id} ${name.scope}`;
}

function seatKey(seat: Omit<SeatEpoch, "epoch">): string {
  return `${seat.zone} ${seat.index}`;
}

function bytesOf(record: Pick<RecordView, "answer">): number {
  return record.answer?.body.length ?? 0;
}
