/**
 * Answers caller look-ups with the instances to connect to.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { EntryChoice } from "../decisions/lookup/mod.ts";
import type { LookupAnswer } from "../gateway/mod.ts";
import type { LeasedSeats, Roster } from "../membership/mod.ts";
import type { HomeOperations } from "../operations/mod.ts";
import type { ClientSites } from "./client_sites.ts";
import type { Steering } from "./steering.ts";

/** Dependencies of {@link EntryLookup}. */
export interface EntryLookupOptions {
  readonly clock: Clock;
  /** How often the candidate instances are recomputed, in milliseconds. */
  readonly refreshIntervalMs: number;
  /** This instance under its caller URL. */
  readonly own: () => EntryChoice;
  readonly leaving: () => boolean;
  readonly sites: ClientSites;
  readonly roster: Roster;
  readonly seats: LeasedSeats;
  readonly steering: Steering;
  readonly operations: HomeOperations;
}

export class EntryLookup {
  readonly #opts: EntryLookupOptions;
  #refreshedAt = -Infinity;

  constructor(opts: EntryLookupOptions) {
    this.#opts = opts;
  }

  /** Chooses near the caller's site if its address has one, else near this instance. */
  answer(client: string): LookupAnswer {
    const { steering, sites, operations, own } = this.#opts;
    const { entries } = steering;
    this.#refreshCandidates();
    const location = sites.zonesFor(client)
      .map((zone) => entries.locationOf(zone))
      .find((found) => found !== undefined);
    const instances = entries.choose(location ?? own()).map(
      ({ instance, url, zone, region }) => {
        const home = operations.homeTokenOf(instance);
        return { instance, url, zone, region, ...(home ? { home } : {}) };
      },
    );
    return { reuse_ms: entries.reuseMs(), instances };
  }

  /** Runs once per interval, so that an answer need not scan all instances. */
  #refreshCandidates(): void {
    const {
      clock,
      refreshIntervalMs,
      roster,
      leaving,
      own,
      steering,
    } = this.#opts;
    const now = clock.now();
    if (now - this.#refreshedAt < refreshIntervalMs) return;
    this.#refreshedAt = now;
    const others: EntryChoice[] = roster.live()
      .map((m) => ({ ...m, url: m.callerUrl }));
    const candidates = leaving() ? others : [...others, own()];
    const eligible = steering.eligibleEntries(this.#withSeat(candidates));
    steering.entries.prepare(eligible);
  }

  /** Entries that hold a seat, or all if none does; without one, requests are refused. */
  #withSeat(entries: EntryChoice[]): EntryChoice[] {
    const { seats } = this.#opts;
    const holders = new Set(seats.entries().map((s) => s.holder));
    const seated = entries.filter((e) => holders.has(e.instance));
    return seated.length > 0 ? seated : entries;
  }
}
