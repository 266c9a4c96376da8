/**
 * Sums the reports of a zone's instances and of the other zones, and sends the
 * sums to both once a period.
 *
 * Load: each instance reports to two of its zone, and one of them sends the sums
 * to all, so an instance's traffic does not grow with the fleet. Without the
 * second recipient, gossip would stop while a relay that died is replaced.
 *
 * @module
 */
import {
  type Clock,
  hash,
  type InstanceId,
  type Random,
  sampleConsecutive,
  type ZoneId,
} from "../core/mod.ts";
import { type Reservation, sumOfReserved } from "../decisions/quotas/mod.ts";
import { Bundle } from "./bundles.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import { gossipRecipients, NEWCOMER_DIGESTS } from "./digest_exchange.ts";
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

/** One aggregate in this many lists the other zones' serving instances. */
const FAR_SERVING_INTERVAL_AGGREGATES = 4;
const PROFILES_PER_AGGREGATE = 1;
/**
 * Minimum interval between aggregates with all profiles, which are sent once an
 * instance of the zone has just started. When all start at once, every digest
 * would trigger one.
 */
const ALL_PROFILES_INTERVAL_MS = 1_000;

export interface ZoneRelayOptions {
  readonly datagrams: Datagrams;
  readonly dictionary: NameDictionary;
  readonly peers: PeerTable;
  readonly zones: ZoneTable;
  readonly exchange: ZoneExchange;
  readonly clock: Clock;
  readonly random: Random;
}

/** Sums reports at every instance; the relay also publishes them. */
export class ZoneRelay {
  readonly #opts: ZoneRelayOptions;
  readonly #zonePeers = new GroupSums();
  readonly #otherZones = new GroupSums();
  /** Digests of other zones for the standby. */
  readonly #standbyBundle: Bundle;
  #hasNewcomer = false;
  #sentReserves = "";
  #allProfilesSentAt = -Infinity;

  constructor(opts: ZoneRelayOptions) {
    this.#opts = opts;
    this.#standbyBundle = new Bundle(opts.datagrams);
  }

  /** Adds the report of an instance of the zone. */
  onReport(report: GroupReport, seq: number): void {
    const fresh = seq < NEWCOMER_DIGESTS;
    this.#hasNewcomer ||= fresh;
    this.#zonePeers.report(report, { fresh });
  }

  onZoneReport(report: GroupReport): void {
    this.#otherZones.report(report, { fresh: false });
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

  /** Keeps another zone's digest for the next bundle to the standby. */
  keepForStandby(zone: ZoneId, bytes: Uint8Array): void {
    this.#standbyBundle.put(zone, "zonePassedOn", bytes);
  }

  /**
   * Sends the sums to the other zones and to this one, and the bundle to the
   * standby.
   *
   * @param own This instance's current digest.
   */
  publish(
    own: Digest,
    opts: {
      /** Reserved shares of silent groups. */
      readonly reservations: readonly Reservation[];
      /** Addresses of the standby instances. */
      readonly standby: readonly string[];
    },
  ): void {
    const { datagrams, dictionary, peers, exchange, clock } = this.#opts;
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
    const zoneReservations = reservations.filter(({ group }) =>
      peers.isZonePeer(group)
    );
    exchange.send(own, {
      ...zone,
      storeContactMs: longestContactMs([own, ...this.#zonePeers.heard]),
      limits: agedLimits(zoneLimits, now),
      reserved: sumOfReserved(zoneReservations),
    });
    const aggregate = this.#compose(own, {
      ...this.#otherZones.sumWith(zone),
      limits: agedLimits(limits, now),
      reserved: sumOfReserved(reservations),
    });
    const to = gossipRecipients(peers.zonePeers(), own.seq).map((m) =>
      m.digestAddress
    );
    datagrams.send("aggregate", to, encodeAggregate(aggregate, dictionary));
    this.#standbyBundle.send(standby);
  }

  #compose(
    own: Digest,
    fleet: Omit<ZoneSums, "storeContactMs">,
  ): FleetAggregate {
    const { peers, zones } = this.#opts;
    const heard = [...this.#zonePeers.heard, ...this.#otherZones.heard];
    const changes = latestRevisions([
      own.changes,
      ...heard.map((g) => g.changes),
    ]);
    const zonePeers = peers.zonePeers().filter((m) => !m.suspect);
    const farServing = own.seq % FAR_SERVING_INTERVAL_AGGREGATES === 0
      ? zones.serving().map(({ id }) => hash(id))
      : undefined;
    return {
      ...fleet,
      relay: own.profile,
      start: own.start,
      seq: own.seq,
      instances: heard.reduce((n, { instances }) => n + instances, 1),
      storeInTouch: own.storeInTouch || heard.some((g) => g.storeInTouch),
      storeContactMs: longestContactMs([own, ...heard]),
      changes,
      members: [
        aggregateMember(own.profile, own, changes),
        ...zonePeers.map((zonePeer) =>
          aggregateMember(zonePeer.profile, zonePeer, changes)
        ),
      ],
      farServing,
      farReserves: this.#farReserves(farServing !== undefined),
      profiles: this.#profiles(),
    };
  }

  /** Sent when it changes, as reserves that are needed must be named soon. */
  #farReserves(isDue: boolean): readonly number[] | undefined {
    const reserves = this.#opts.zones.reserves().map((id) => hash(id));
    const key = reserves.join();
    if (!isDue && key === this.#sentReserves) return undefined;
    this.#sentReserves = key;
    return reserves;
  }

  #profiles(): readonly InstanceProfile[] {
    const { peers, clock, random } = this.#opts;
    const known = [...peers.zonePeers(), ...peers.peersTrackedByZone()].map((
      p,
    ) => p.profile);
    const now = clock.now();
    const all = this.#hasNewcomer &&
      now - this.#allProfilesSentAt >= ALL_PROFILES_INTERVAL_MS;
    if (!all) return sampleConsecutive(known, PROFILES_PER_AGGREGATE, random);
    this.#hasNewcomer = false;
    this.#allProfilesSentAt = now;
    return known;
  }
}

function aggregateMember(
  { id }: InstanceProfile,
  reported: Omit<Peer, "profile" | "lastReportAt"> | Digest,
  changes: ReadonlyMap<string, number>,
): AggregateMember {
  const { start, seq, state, isStoreWatcher, storeInTouch, relays, capacity } =
    reported;
  const { isReserve, utilization, linkClass } = reported;
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
    isReserve,
    utilization,
    linkClass,
  };
}

function longestContactMs(
  reports: readonly Pick<GroupReport, "storeContactMs">[],
): number {
  return Math.max(...reports.map(({ storeContactMs = 0 }) => storeContactMs));
}

/** The highest revision of each kind. */
function latestRevisions(
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
