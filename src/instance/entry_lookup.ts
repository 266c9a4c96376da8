/**
 * Which instances a caller is told of that asks where to connect.
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

/** What look-ups are answered from. */
export interface EntryLookupOptions {
  readonly clock: Clock;
  /** How often the choice is prepared, in milliseconds. */
  readonly everyMs: number;
  /** This instance, as callers reach it. */
  readonly own: () => EntryChoice;
  readonly leaving: () => boolean;
  readonly sites: ClientSites;
  readonly roster: Roster;
  readonly seats: LeasedSeats;
  readonly steering: Steering;
  readonly operations: HomeOperations;
}

/** Answers look-ups at one instance. */
export class EntryLookup {
  readonly #opts: EntryLookupOptions;
  #preparedAt = -Infinity;

  constructor(opts: EntryLookupOptions) {
    this.#opts = opts;
  }

  /** Near the caller's address if a site has it, else near this instance. */
  answer(client: string): LookupAnswer {
    const { steering, sites, operations, own } = this.#opts;
    const { entries } = steering;
    this.#prepare();
    const near = sites.zonesFor(client)
      .map((zone) => entries.locationOf(zone))
      .find((place) => place !== undefined);
    const instances = entries.choose(near ?? own()).map(
      ({ instance, url, zone, region }) => {
        const home = operations.homeTokenOf(instance);
        return { instance, url, zone, region, ...(home ? { home } : {}) };
      },
    );
    return { reuse_ms: entries.reuseMs(), instances };
  }

  /** Once a tick: an answer is then drawn without going over all instances. */
  #prepare(): void {
    const { clock, everyMs, roster, leaving, own, steering } = this.#opts;
    const now = clock.now();
    if (now - this.#preparedAt < everyMs) return;
    this.#preparedAt = now;
    const others: EntryChoice[] = roster.live()
      .map((m) => ({ ...m, url: m.callerUrl }));
    const all = leaving() ? others : [...others, own()];
    const open = steering.openEntries(this.#seated(all));
    steering.entries.prepare(open);
  }

  /** An instance that waits for its first seat would refuse those sent to it. */
  #seated(entries: EntryChoice[]): EntryChoice[] {
    const { seats } = this.#opts;
    const holders = new Set(seats.entries().map((s) => s.holder));
    const seated = entries.filter((e) => holders.has(e.instance));
    return seated.length > 0 ? seated : entries;
  }
}
