/**
 * Sums what the instances of a zone and the other zones report, and tells the
 * zone once a period.
 *
 * Load: each instance tells two of its zone, and one of them tells all, so what
 * an instance reads and writes does not grow with the fleet. Without the second
 * nobody would hear of anybody while a relay that died is replaced.
 *
 * @module
 */
import {
  type Clock,
  hash,
  type InstanceId,
  type Random,
  someOf,
} from "../core/mod.ts";
import type { Reserved } from "../decisions/quotas/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import { INTRODUCED_FIRST, toTell } from "./digest_exchange.ts";
import {
  type AggregateMember,
  encodeAggregate,
  type FleetAggregate,
} from "./fleet_aggregate.ts";
import type { GroupNews } from "./fleet_feed.ts";
import { GroupSums } from "./group_sums.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import type { Peer, PeerTable } from "./peer_table.ts";
import type { ZoneTable } from "./zone_table.ts";

/** Aggregates between two that name the other zones' serving instances. */
const FAR_EVERY = 4;
/** Profiles in each aggregate. */
const PROFILES = 1;
/**
 * How often a newcomer's zone is told all profiles, in milliseconds. Where all
 * start at once, each digest comes from a newcomer.
 */
const ALL_PROFILES_EVERY_MS = 1_000;

/** What the relay works with. */
export interface ZoneRelayOptions {
  readonly datagrams: Datagrams;
  readonly book: NameBook;
  readonly peers: PeerTable;
  readonly zones: ZoneTable;
  readonly clock: Clock;
  readonly random: Random;
}

/** Relays at one instance, while it is the zone's relay. */
export class ZoneRelay {
  readonly #opts: ZoneRelayOptions;
  readonly #sums = new GroupSums();
  readonly #groups = new Map<InstanceId, GroupNews>();
  readonly #suspects = new Set<InstanceId>();
  #newcomer = false;
  #allProfilesAt = -Infinity;

  constructor(opts: ZoneRelayOptions) {
    this.#opts = opts;
  }

  /** Takes in what an instance of the zone or another zone reported. */
  report(news: GroupNews, seq?: number): void {
    const fresh = seq !== undefined && seq < INTRODUCED_FIRST;
    this.#newcomer ||= fresh;
    this.#sums.report({ ...news, fresh });
    this.#groups.set(news.group, news);
    this.#suspects.delete(news.group);
  }

  suspect(group: InstanceId): void {
    this.#sums.suspect(group);
    this.#suspects.add(group);
  }

  unreachable(group: InstanceId): void {
    this.#sums.unreachable(group);
  }

  forget(group: InstanceId): void {
    this.#sums.forget(group);
    this.#groups.delete(group);
    this.#suspects.delete(group);
  }

  /** Tells the zone; `own` is this instance's digest of this moment. */
  publish(own: Digest, reserved: Reserved): void {
    const { datagrams, book, peers } = this.#opts;
    const to = toTell(peers.mates(), own.seq).map((m) => m.digestAddress);
    const aggregate = this.#compose(own, reserved);
    datagrams.send("aggregate", to, encodeAggregate(aggregate, book));
  }

  #compose(own: Digest, reserved: Reserved): FleetAggregate {
    const { peers, zones } = this.#opts;
    const heard = [...this.#groups.values()]
      .filter(({ group }) => !this.#suspects.has(group));
    const changes = latest([own.changes, ...heard.map((g) => g.changes)]);
    const mates = peers.mates().filter((m) => !m.quiet);
    const far = own.seq % FAR_EVERY === 0
      ? zones.serving().map(({ id }) => hash(id))
      : undefined;
    return {
      relay: own.profile,
      start: own.start,
      seq: own.seq,
      instances: heard.reduce((n, { instances }) => n + instances, 1),
      storeInTouch: own.storeInTouch || heard.some((g) => g.storeInTouch),
      changes,
      uses: this.#sums.uses(own.uses),
      inFlight: this.#sums.inFlight(own.inFlight),
      reserved,
      members: [
        memberOf(own.profile, own, changes),
        ...mates.map((mate) => memberOf(mate.profile, mate, changes)),
      ],
      farServing: far,
      profiles: this.#profiles(),
    };
  }

  #profiles(): readonly InstanceProfile[] {
    const { peers, clock, random } = this.#opts;
    const known = [...peers.mates(), ...peers.far()].map((p) => p.profile);
    const now = clock.now();
    const all = this.#newcomer &&
      now - this.#allProfilesAt >= ALL_PROFILES_EVERY_MS;
    if (!all) return someOf(known, PROFILES, random);
    this.#newcomer = false;
    this.#allProfilesAt = now;
    return known;
  }
}

function memberOf(
  { id }: InstanceProfile,
  reported: Omit<Peer, "profile" | "heardAt"> | Digest,
  changes: ReadonlyMap<string, number>,
): AggregateMember {
  const { start, seq, state, asksStore, storeInTouch, relays, capacity } =
    reported;
  const upToDate = [...changes].every(([kind, revision]) =>
    (reported.changes.get(kind) ?? 0) >= revision
  );
  return {
    idHash: hash(id),
    startHash: hash(start),
    seq: Math.max(0, seq),
    state,
    asksStore,
    storeInTouch,
    relays,
    upToDate,
    capacity,
  };
}

/** The highest revision of each kind. */
function latest(
  all: readonly ReadonlyMap<string, number>[],
): Map<string, number> {
  const highest = new Map<string, number>();
  for (const changes of all) {
    for (const [kind, revision] of changes) {
      highest.set(kind, Math.max(highest.get(kind) ?? 0, revision));
    }
  }
  return highest;
}
