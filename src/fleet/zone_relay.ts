/**
 * Sums what the instances of a zone and the other zones report, and tells both
 * once a period.
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
  type ZoneId,
} from "../core/mod.ts";
import { type Reservation, sumOfReserved } from "../decisions/quotas/mod.ts";
import { Bundle } from "./bundles.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import { INTRODUCED_FIRST, toTell } from "./digest_exchange.ts";
import {
  type AggregateMember,
  encodeAggregate,
  type FleetAggregate,
} from "./fleet_aggregate.ts";
import type { GroupReport } from "./fleet_feed.ts";
import { GroupSums } from "./group_sums.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import { agedLimits, newestLimits, observedLimits } from "./limit_rows.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import type { Peer, PeerTable } from "./peer_table.ts";
import type { ZoneExchange, ZoneSums } from "./zone_exchange.ts";
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
  readonly book: NameDictionary;
  readonly peers: PeerTable;
  readonly zones: ZoneTable;
  readonly exchange: ZoneExchange;
  readonly clock: Clock;
  readonly random: Random;
}

/** Sums reports at each instance, and relays them where it is the relay. */
export class ZoneRelay {
  readonly #opts: ZoneRelayOptions;
  readonly #zonePeers = new GroupSums();
  readonly #otherZones = new GroupSums();
  /** Other zones' digests, for the one that would relay next. */
  readonly #forStandby: Bundle;
  #newcomer = false;
  #allProfilesAt = -Infinity;

  constructor(opts: ZoneRelayOptions) {
    this.#opts = opts;
    this.#forStandby = new Bundle(opts.datagrams);
  }

  /** An instance of the zone reported. */
  reportPeer(news: GroupReport, seq: number): void {
    const fresh = seq < INTRODUCED_FIRST;
    this.#newcomer ||= fresh;
    this.#zonePeers.report(news, { fresh });
  }

  /** Another zone reported. */
  reportZone(news: GroupReport): void {
    this.#otherZones.report(news, { fresh: false });
  }

  suspect(group: InstanceId): void {
    this.#zonePeers.suspect(group);
    this.#otherZones.suspect(group);
  }

  unreachable(group: InstanceId): void {
    this.#zonePeers.unreachable(group);
    this.#otherZones.unreachable(group);
  }

  forget(group: InstanceId): void {
    this.#zonePeers.forget(group);
    this.#otherZones.forget(group);
  }

  /** Keeps another zone's digest for the one that stands by. */
  keep(zone: ZoneId, bytes: Uint8Array): void {
    this.#forStandby.put(zone, "zonePassedOn", bytes);
  }

  /**
   * Tells the other zones, this one, and the instance that stands by.
   *
   * @param own This instance's digest of this moment.
   */
  publish(
    own: Digest,
    opts: {
      /** What is set aside for groups that are not heard. */
      readonly reservations: readonly Reservation[];
      /** Addresses of those that stand by. */
      readonly standby: readonly string[];
    },
  ): void {
    const { datagrams, book, peers, exchange, clock } = this.#opts;
    const { reservations, standby } = opts;
    const now = clock.now();
    const zone = this.#zonePeers.sumWith(own);
    const zoneLimits = newestLimits([
      observedLimits(own.limits, now),
      ...this.#zonePeers.heard.map(({ limits }) => limits),
    ]);
    const limits = newestLimits([
      zoneLimits,
      ...this.#otherZones.heard.map(({ limits }) => limits),
    ]);
    const ofZone = reservations.filter(({ group }) => peers.isZonePeer(group));
    exchange.tell(own, {
      ...zone,
      limits: agedLimits(zoneLimits, now),
      reserved: sumOfReserved(ofZone),
    });
    const aggregate = this.#compose(own, {
      ...this.#otherZones.sumWith(zone),
      limits: agedLimits(limits, now),
      reserved: sumOfReserved(reservations),
    });
    const to = toTell(peers.zonePeers(), own.seq).map((m) => m.digestAddress);
    datagrams.send("aggregate", to, encodeAggregate(aggregate, book));
    this.#forStandby.send(standby);
  }

  #compose(
    own: Digest,
    fleet: ZoneSums,
  ): FleetAggregate {
    const { peers, zones } = this.#opts;
    const heard = [...this.#zonePeers.heard, ...this.#otherZones.heard];
    const changes = latest([own.changes, ...heard.map((g) => g.changes)]);
    const zonePeers = peers.zonePeers().filter((m) => !m.suspect);
    const far = own.seq % FAR_EVERY === 0
      ? zones.serving().map(({ id }) => hash(id))
      : undefined;
    return {
      ...fleet,
      relay: own.profile,
      start: own.start,
      seq: own.seq,
      instances: heard.reduce((n, { instances }) => n + instances, 1),
      storeInTouch: own.storeInTouch || heard.some((g) => g.storeInTouch),
      changes,
      members: [
        memberOf(own.profile, own, changes),
        ...zonePeers.map((zonePeer) =>
          memberOf(zonePeer.profile, zonePeer, changes)
        ),
      ],
      farServing: far,
      profiles: this.#profiles(),
    };
  }

  #profiles(): readonly InstanceProfile[] {
    const { peers, clock, random } = this.#opts;
    const known = [...peers.zonePeers(), ...peers.far()].map((p) => p.profile);
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
  const { start, seq, state, isStoreWatcher, storeInTouch, relays, capacity } =
    reported;
  const upToDate = [...changes].every(([kind, revision]) =>
    (reported.changes.get(kind) ?? 0) >= revision
  );
  return {
    idHash: hash(id),
    startHash: hash(start),
    seq: Math.max(0, seq),
    state,
    isStoreWatcher,
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
