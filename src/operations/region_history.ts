/**
 * Who left the region, and who holds their records now.
 *
 * A new holder of a seat may run an id that nobody knows only if everybody who
 * could know it was asked. An instance that vanished unnoticed would leave a
 * gap: its operations would run again. So each instance remembers for as long
 * as records live who was lost, and hands that knowledge to newcomers.
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
import type { Place } from "./home_token.ts";

interface Heard {
  readonly instance: string;
  readonly at: number;
}

interface Heir {
  readonly heir: Place;
  readonly since: number;
}

/** What a history needs. */
export interface RegionHistoryDeps {
  readonly self: Place;
  readonly clock: Clock;
  /** How long records live, in milliseconds. */
  readonly retentionMs: number;
}

/** An incarnation silent this long, in milliseconds, counts as lost. */
export const LOST_AFTER_MS = 3_000;
/** How often an instance is told everybody that is heard here. */
const TELL_EVERY_MS = 1_000;
/** Heirs of heirs are followed this far. */
const MAX_HEIRS = 8;

/** What is known of those who left. */
export class RegionHistory {
  readonly #deps: RegionHistoryDeps;
  readonly #heard = new Map<string, Heard>();
  /** Who told whom it knows, so that each of its second places is known. */
  readonly #covered = new Map<string, number>();
  readonly #toldAt = new Map<string, number>();
  readonly #lostAt = new Map<string, number>();
  readonly #heirs = new Map<string, Heir>();
  #since: number;

  constructor(deps: RegionHistoryDeps) {
    this.#deps = deps;
    this.#since = deps.clock.now();
  }

  /** For how long it is known who left, in milliseconds. */
  get lengthMs(): number {
    return this.#deps.clock.now() - this.#since;
  }

  /** Incarnations that ended or fell silent without an heir. */
  lost(): string[] {
    return [...this.#lostAt.keys()];
  }

  /** Incarnations that are there as far as known, by their word or others'. */
  present(): string[] {
    return [...this.#heard.keys()];
  }

  isHeir(incarnation: string): boolean {
    return [...this.#heirs.values()].some((h) =>
      h.heir.incarnation === incarnation
    );
  }

  /** Where a place's records are: the place itself, or its last heir. */
  resolve(place: Place): Place {
    let at = place;
    for (let i = 0; i < MAX_HEIRS; i++) {
      const next = this.#heirs.get(at.incarnation);
      if (next === undefined) return at;
      at = next.heir;
    }
    return at;
  }

  /**
   * Whether every instance that an incarnation may have used as second place
   * is known here, gone or not.
   */
  covers(incarnation: string): boolean {
    return incarnation === this.#deps.self.incarnation ||
      this.#covered.has(incarnation);
  }

  /** An incarnation of the region spoke; an earlier one of its name is gone. */
  heard(instance: string, incarnation: string): void {
    if (this.#heirs.has(incarnation)) return;
    const now = this.#deps.clock.now();
    if (!this.#heard.has(incarnation)) {
      for (const [earlier, heard] of this.#heard) {
        if (heard.instance === instance) this.#lose(earlier, heard.at);
      }
    }
    this.#heard.set(incarnation, { instance, at: now });
    this.#lostAt.delete(incarnation);
  }

  /** A leaver's records are all with `heir`. */
  inherited(leaver: string, heir: Place, ageMs = 0): void {
    if (this.#heirs.has(leaver)) return;
    this.#heirs.set(leaver, { heir, since: this.#deps.clock.now() - ageMs });
    this.#heard.delete(leaver);
    this.#lostAt.delete(leaver);
  }

  /** Takes in what another incarnation of the region knows. */
  absorb(part: LedgerPart, from: string): void {
    const now = this.#deps.clock.now();
    for (
      const { incarnation, heir, heirIncarnation, ageMs } of part.tombstones
    ) {
      const place = { instance: heir, incarnation: heirIncarnation };
      this.inherited(incarnation, place, ageMs);
    }
    for (const { incarnation, ageMs } of part.lost) {
      this.#learnLost(incarnation, now - ageMs);
    }
    this.#since = Math.min(this.#since, now - part.historyMs);
    if (part.known.length === 0) return;
    this.#covered.set(from, now);
    for (const incarnation of part.known) this.#learn(incarnation, now);
  }

  /** Adds what is known here to a message for an instance. */
  fill(part: LedgerPart, to: string): void {
    const now = this.#deps.clock.now();
    if (now - (this.#toldAt.get(to) ?? -Infinity) >= TELL_EVERY_MS) {
      this.#toldAt.set(to, now);
      part.known = [this.#deps.self.incarnation, ...this.#heard.keys()];
    }
    part.historyMs = this.lengthMs;
    part.lost = [...this.#lostAt].map(([incarnation, at]): LostIncarnation =>
      create(LostIncarnationSchema, { incarnation, ageMs: now - at })
    );
    part.tombstones = [...this.#heirs].map(([incarnation, h]): Tombstone =>
      create(TombstoneSchema, {
        incarnation,
        heir: h.heir.instance,
        heirIncarnation: h.heir.incarnation,
        ageMs: now - h.since,
      })
    );
  }

  /** Notices silence, and forgets what is older than any record. */
  sweep(now: number): void {
    for (const [incarnation, { at }] of this.#heard) {
      if (now - at > LOST_AFTER_MS) this.#lose(incarnation, at);
    }
    const oldest = now - 2 * this.#deps.retentionMs;
    forgetBefore(this.#lostAt, oldest, (at) => at);
    forgetBefore(this.#covered, oldest, (at) => at);
    forgetBefore(this.#toldAt, oldest, (at) => at);
    forgetBefore(this.#heirs, oldest, (heir) => heir.since);
  }

  #lose(incarnation: string, at: number): void {
    this.#heard.delete(incarnation);
    this.#lostAt.set(incarnation, at);
  }

  /** One that others hear counts as lost if it is not heard here soon. */
  #learn(incarnation: string, at: number): void {
    if (this.#heard.has(incarnation) || this.#lostAt.has(incarnation)) return;
    if (this.#heirs.has(incarnation)) return;
    if (incarnation === this.#deps.self.incarnation) return;
    this.#heard.set(incarnation, { instance: "", at });
  }

  #learnLost(incarnation: string, at: number): void {
    if (incarnation === this.#deps.self.incarnation) return;
    if (this.#heard.has(incarnation) || this.#heirs.has(incarnation)) return;
    const known = this.#lostAt.get(incarnation) ?? Infinity;
    this.#lostAt.set(incarnation, Math.min(at, known));
  }
}

function forgetBefore<T>(
  table: Map<string, T>,
  oldest: number,
  timeOf: (entry: T) => number,
): void {
  for (const [key, entry] of table) {
    if (timeOf(entry) < oldest) table.delete(key);
  }
}
