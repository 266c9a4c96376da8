/**
 * Incarnations that left the region, and the successors that hold their
 * records.
 *
 * A seat's new holder may run an id without a record only if every instance
 * that could have one was queried. The operations of one that vanished
 * unnoticed would run again, so each instance keeps the lost incarnations as
 * long as records live and passes them on to new instances.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock } from "../core/mod.ts";
import {
  type LedgerPart,
  type LostIncarnation,
  LostIncarnationSchema,
  type Tombstone,
  TombstoneSchema,
} from "../gen/ledger_pb.ts";
import type { Replica } from "./home_token.ts";

interface LastSeen {
  readonly instance: string;
  readonly at: number;
}

interface Succession {
  readonly heir: Replica;
  readonly since: number;
}

/** Dependencies of the departure history. */
export interface DepartureHistoryDeps {
  readonly self: Replica;
  readonly clock: Clock;
  /** Retention time of records, in milliseconds. */
  readonly retentionMs: number;
}

/** Silence in milliseconds after which an incarnation counts as lost. */
export const LOST_AFTER_MS = 3_000;
/** Interval between member lists sent to an instance, in milliseconds. */
const MEMBER_LIST_INTERVAL_MS = 1_000;
/** Successors of successors are followed up to this depth. */
const MAX_SUCCESSOR_HOPS = 8;

/** Tracks which incarnations are present, lost or succeeded by another. */
export class DepartureHistory {
  readonly #deps: DepartureHistoryDeps;
  readonly #live = new Map<string, LastSeen>();
  /** When each incarnation last sent the list of its possible backups. */
  readonly #memberListAt = new Map<string, number>();
  readonly #memberListSentAt = new Map<string, number>();
  readonly #lostAt = new Map<string, number>();
  readonly #successor = new Map<string, Succession>();
  #since: number;

  constructor(deps: DepartureHistoryDeps) {
    this.#deps = deps;
    this.#since = deps.clock.now();
  }

  /** How far back departures are known, in milliseconds. */
  get lengthMs(): number {
    return this.#deps.clock.now() - this.#since;
  }

  /** Incarnations that ended or fell silent without a successor. */
  lost(): string[] {
    return [...this.#lostAt.keys()];
  }

  /** Incarnations present as far as known, directly or through others. */
  present(): string[] {
    return [...this.#live.keys()];
  }

  isSuccessor(incarnation: string): boolean {
    return [...this.#successor.values()].some((h) =>
      h.heir.incarnation === incarnation
    );
  }

  /** Where a replica's records are: at itself or at its last successor. */
  resolve(replica: Replica): Replica {
    let at = replica;
    for (let i = 0; i < MAX_SUCCESSOR_HOPS; i++) {
      const next = this.#successor.get(at.incarnation);
      if (next === undefined) return at;
      at = next.heir;
    }
    return at;
  }

  /**
   * Whether every instance that an incarnation may have used as backup is known
   * here, departed or not.
   */
  covers(incarnation: string): boolean {
    return incarnation === this.#deps.self.incarnation ||
      this.#memberListAt.has(incarnation);
  }

  /** Marks an incarnation as live; an earlier one of its instance is lost. */
  heard(instance: string, incarnation: string): void {
    if (this.#successor.has(incarnation)) return;
    const now = this.#deps.clock.now();
    if (!this.#live.has(incarnation)) {
      for (const [earlier, heard] of this.#live) {
        if (heard.instance === instance) this.#markLost(earlier, heard.at);
      }
    }
    this.#live.set(incarnation, { instance, at: now });
    this.#lostAt.delete(incarnation);
  }

  /** Records that `heir` has all records of an incarnation that left. */
  setSuccessor(departed: string, heir: Replica, ageMs = 0): void {
    if (this.#successor.has(departed)) return;
    this.#successor.set(departed, {
      heir,
      since: this.#deps.clock.now() - ageMs,
    });
    this.#live.delete(departed);
    this.#lostAt.delete(departed);
  }

  /** Merges the history of another incarnation of the region. */
  merge(part: LedgerPart, from: string): void {
    const now = this.#deps.clock.now();
    for (
      const { incarnation, heir, heirIncarnation, ageMs } of part.tombstones
    ) {
      const replica = { instance: heir, incarnation: heirIncarnation };
      this.setSuccessor(incarnation, replica, ageMs);
    }
    for (const { incarnation, ageMs } of part.lost) {
      this.#addLost(incarnation, now - ageMs);
    }
    this.#since = Math.min(this.#since, now - part.historyMs);
    if (part.known.length === 0) return;
    this.#memberListAt.set(from, now);
    for (const incarnation of part.known) this.#addMember(incarnation, now);
  }

  /** Adds the history to a batch for an instance. */
  fill(part: LedgerPart, to: string): void {
    const now = this.#deps.clock.now();
    if (
      now - (this.#memberListSentAt.get(to) ?? -Infinity) >=
        MEMBER_LIST_INTERVAL_MS
    ) {
      this.#memberListSentAt.set(to, now);
      part.known = [this.#deps.self.incarnation, ...this.#live.keys()];
    }
    part.historyMs = this.lengthMs;
    part.lost = [...this.#lostAt].map(([incarnation, at]): LostIncarnation =>
      create(LostIncarnationSchema, { incarnation, ageMs: now - at })
    );
    part.tombstones = [...this.#successor].map(([incarnation, h]): Tombstone =>
      create(TombstoneSchema, {
        incarnation,
        heir: h.heir.instance,
        heirIncarnation: h.heir.incarnation,
        ageMs: now - h.since,
      })
    );
  }

  /** Detects silent incarnations, and removes state older than any record. */
  sweep(now: number): void {
    for (const [incarnation, { at }] of this.#live) {
      if (now - at > LOST_AFTER_MS) this.#markLost(incarnation, at);
    }
    const oldest = now - 2 * this.#deps.retentionMs;
    pruneBefore(this.#lostAt, oldest, (at) => at);
    pruneBefore(this.#memberListAt, oldest, (at) => at);
    pruneBefore(this.#memberListSentAt, oldest, (at) => at);
    pruneBefore(this.#successor, oldest, (s) => s.since);
  }

  #markLost(incarnation: string, at: number): void {
    this.#live.delete(incarnation);
    this.#lostAt.set(incarnation, at);
  }

  /** Added by report only; lost if it sends no batch of its own soon. */
  #addMember(incarnation: string, at: number): void {
    if (this.#live.has(incarnation) || this.#lostAt.has(incarnation)) return;
    if (this.#successor.has(incarnation)) return;
    if (incarnation === this.#deps.self.incarnation) return;
    this.#live.set(incarnation, { instance: "", at });
  }

  #addLost(incarnation: string, at: number): void {
    if (incarnation === this.#deps.self.incarnation) return;
    if (this.#live.has(incarnation) || this.#successor.has(incarnation)) return;
    const known = this.#lostAt.get(incarnation) ?? Infinity;
    this.#lostAt.set(incarnation, Math.min(at, known));
  }
}

function pruneBefore<T>(
  table: Map<string, T>,
  oldest: number,
  timeOf: (entry: T) => number,
): void {
  for (const [key, entry] of table) {
    if (timeOf(entry) < oldest) table.delete(key);
  }
}
