/**
 * Membership of one instance in the fleet: gossip, liveness of the others, and
 * its roles in its zone.
 *
 * Up to a few dozen instances gossip in a full mesh. In larger fleets an instance
 * follows its zone's relay, and relays receive their own zone's reports by
 * instance and those of other zones by zone. Receivers of reports see groups: an
 * instance, a zone, or the rest of the fleet.
 *
 * @module
 */
import {
  type Clock,
  hashFraction,
  type InstanceId,
  type Log,
  type Random,
  sampleConsecutive,
  type ZoneId,
} from "../core/mod.ts";
import {
  DIRECT_GOSSIP_DELAY_MS,
  RELAYED_GOSSIP_DELAY_MS,
  type Reservation,
} from "../decisions/quotas/mod.ts";
import { ReserveRole } from "../decisions/reserves/mod.ts";
import type { RelayedChanges } from "../watcher/mod.ts";
import { dispatchBundles } from "./bundles.ts";
import { decodeChanges, encodeChanges } from "./change_relay.ts";
import { Datagrams, type DatagramTransport } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import { DigestExchange, gossipRecipients } from "./digest_exchange.ts";
import { decodeAggregate, type FleetAggregate } from "./fleet_aggregate.ts";
import { FleetFeed, type GroupEvents } from "./fleet_feed.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";
import {
  agedLimits,
  type ObservedLimits,
  observedLimits,
} from "./limit_rows.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import { type Peer, PeerTable } from "./peer_table.ts";
import { RelayFollower } from "./relay_follower.ts";
import type { ZoneDigest } from "./zone_digest.ts";
import { ZoneExchange } from "./zone_exchange.ts";
import { type Roles, ZoneRoles } from "./zone_roles.ts";
import { ZoneRelay } from "./zone_relay.ts";
import { reservesWithin } from "./zone_reserves.ts";
import { zoneGroupId, ZoneTable } from "./zone_table.ts";

/** State of this instance for its next digest. */
export interface SelfReport extends
  Pick<
    Digest,
    | "state"
    | "planVersion"
    | "storeInTouch"
    | "storeContactMs"
    | "changes"
    | "uses"
    | "inFlight"
  > {
  /** Limits that endpoints stated, or stopped stating, in responses. */
  readonly limits: ObservedLimits;
  /** Reserved shares of silent groups; a relay sends them on. */
  readonly reservations: readonly Reservation[];
}

/**
 * State of the store as the peers that watch it report: `up` if one of them
 * reaches it, `down` if none of them does, `unknown` if none reports.
 */
export type StoreWatchState = "up" | "down" | "unknown";

/** Receives reports, changes and this instance's roles. */
export interface FleetEvents extends GroupEvents {
  /** The roles of this instance after each digest. */
  roles(roles: Roles): void;
  /** Changes that a peer read from the store. */
  relayed(changes: RelayedChanges): void;
}

export interface FleetMemberOptions {
  readonly profile: InstanceProfile;
  /** Capacity relative to the other instances. */
  readonly capacity: number;
  /** Bandwidth of the link in bytes a second; undefined if unknown. */
  readonly linkBytesPerS?: number | undefined;
  /** Share of the capacity in use; undefined if unknown. */
  readonly utilization?: () => number | undefined;
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  /** Minimum fleet size until the instance list is read. */
  readonly assumedFleetSize: number;
  readonly seeds: readonly string[];
  readonly transport: DatagramTransport;
  /** Resolves the hashed names in digests; callers add the names they learn. */
  readonly dictionary: NameDictionary;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly report: () => SelfReport;
  readonly events: FleetEvents;
}

/**
 * Other instances listed in a digest, for recipients that cannot read the
 * instance list; more once an instance has just started.
 */
const OTHER_PROFILES_PER_DIGEST = 1;
const OTHER_PROFILES_FOR_NEWCOMERS = 12;
/** Age of the reports of other zones over those of the own zone. */
const FAR_AGE_FACTOR = 1.5;
/** Random bytes that tell the runs of an instance apart. */
const START_ID_BYTES = 4;

/** Takes part in the gossip of the fleet. */
export class FleetMember {
  readonly #opts: FleetMemberOptions;
  readonly #start: string;
  readonly #datagrams: Datagrams;
  readonly #peers: PeerTable;
  readonly #zones: ZoneTable;
  readonly #feed: FleetFeed;
  readonly #relay: ZoneRelay;
  readonly #relayFollower: RelayFollower;
  readonly #roles: ZoneRoles;
  readonly #reserveRole: ReserveRole;
  readonly #linkClass: number | undefined;
  readonly #digests: DigestExchange;
  #currentRoles: Roles = { isRelay: false, isStoreWatcher: false };
  #reservations: readonly Reservation[] = [];

  constructor(opts: FleetMemberOptions) {
    this.#opts = opts;
    const { profile, capacity, clock, random, log, seeds, events } = opts;
    this.#start = random.hex(START_ID_BYTES);
    this.#datagrams = new Datagrams(opts.transport, log);
    this.#peers = new PeerTable(profile, opts.assumedFleetSize, {
      reported: (digest, now) => this.#reported(digest, now),
      suspect: ({ profile }) => this.#suspect(profile.id),
      unreachable: ({ profile }) => this.#unreachable(profile.id),
      removed: ({ profile }) => this.#removed(profile.id),
    });
    this.#zones = new ZoneTable({
      reported: (digest, now) => this.#onZoneDigest(digest, now),
      suspect: (zone) => this.#suspect(zoneGroupId(zone)),
      unreachable: (zone) => this.#unreachable(zoneGroupId(zone)),
      removed: (zone) => this.#forgetGroup(zoneGroupId(zone)),
    });
    this.#feed = new FleetFeed(events);
    this.#reserveRole = new ReserveRole(hashFraction(profile.id));
    const { firstStart, linkBytesPerS = 0 } = opts;
    this.#linkClass = linkBytesPerS > 1
      ? Math.round(Math.log2(linkBytesPerS))
      : undefined;
    this.#roles = new ZoneRoles({ id: profile.id, capacity }, firstStart);
    const common = {
      datagrams: this.#datagrams,
      dictionary: opts.dictionary,
      peers: this.#peers,
      clock,
      random,
    };
    this.#relay = new ZoneRelay({
      ...common,
      zones: this.#zones,
      exchange: new ZoneExchange({
        ...common,
        zones: this.#zones,
        forwardDigest: (zone, bytes) => this.#forwardZoneDigest(zone, bytes),
      }),
    });
    const own = { id: profile.id, start: this.#start };
    this.#relayFollower = new RelayFollower(own, {
      peers: this.#peers,
      feed: this.#feed,
    });
    this.#digests = new DigestExchange({
      ...common,
      seeds,
      recipients: (seq) => this.#recipients(seq),
      compose: (seq, toNewcomer) => this.#compose(seq, toNewcomer),
      onSent: (digest) => this.#onDigestSent(digest),
    });
    this.#datagrams.onDecoded("changes", decodeChanges, (changes) => {
      events.relayed(changes);
    });
    this.#datagrams.onDecoded(
      "aggregate",
      (bytes) => decodeAggregate(bytes, opts.dictionary),
      (aggregate) => this.#onAggregate(aggregate),
    );
    dispatchBundles(this.#datagrams);
  }

  /** Instances that may be serving, this one included. */
  get fleetSize(): number {
    return this.#peers.fleetSize;
  }

  /** Whether the instance list was read; until then the size is assumed. */
  get isSizeKnown(): boolean {
    return this.#peers.isListRead;
  }

  /** Maximum age of the state known of other instances, in milliseconds. */
  get gossipDelayMs(): number {
    return this.#peers.isMesh
      ? DIRECT_GOSSIP_DELAY_MS
      : RELAYED_GOSSIP_DELAY_MS;
  }

  /**
   * Age of the oldest state known of other instances, in milliseconds; undefined
   * without reports. Through relays it is measured by this instance's own report
   * in the sums; reports of other zones take one hop of three more.
   */
  get viewAgeMs(): number | undefined {
    const { followsRelay } = this.#feed;
    const knownAt = followsRelay
      ? this.#relayFollower.reflectedAt
      : this.#feed.oldestDirectAt;
    if (knownAt === undefined) return undefined;
    const ageMs = this.#opts.clock.now() - knownAt;
    return followsRelay ? ageMs * FAR_AGE_FACTOR : ageMs;
  }

  /** What the peers that watch the store for this instance report of it. */
  get storeWatch(): StoreWatchState {
    const heard = this.#peers.watchPeers().filter((p) => !p.suspect);
    if (heard.some((p) => p.storeInTouch)) return "up";
    // One that is starting has not lost the store, but not read it yet.
    const lost = heard.some((p) =>
      p.isStoreWatcher && p.state !== "starting" && p.state !== "leaving"
    );
    return lost ? "down" : "unknown";
  }

  start(): void {
    this.#digests.start();
  }

  /** Sends a digest now, as after a change that others need at once. */
  sendDigestNow(): void {
    this.#digests.sendNow();
  }

  /** Adds instances of a list that others may be missing from. */
  addInstances(profiles: readonly InstanceProfile[]): void {
    const now = this.#opts.clock.now();
    for (const profile of profiles) this.#peers.add(profile, now);
  }

  /** Adds the instances on the list. */
  onInstanceList(profiles: readonly InstanceProfile[]): void {
    this.#peers.onInstanceList(profiles, this.#opts.clock.now());
  }

  /** The other instances that are serving. */
  serving(): readonly InstanceProfile[] {
    const near = this.#peers.serving().map((p) => p.profile);
    return [...near, ...this.#farServing()];
  }

  /** The serving instances that have reported recently. */
  reporting(): readonly InstanceProfile[] {
    const near = this.#peers.serving().filter((p) => !p.suspect);
    return [...near.map((p) => p.profile), ...this.#farServing()];
  }

  /**
   * The other instances that are isolated; in a large fleet, those of this zone.
   */
  isolated(): readonly InstanceProfile[] {
    return this.#peers.inState("isolated").map((p) => p.profile);
  }

  /** Whether callers should be sent to others. */
  get isReserve(): boolean {
    return this.#reserveRole.isReserve;
  }

  /**
   * The instances that callers are not sent to, this one included. Where strong
   * instances are overdue, reserves are named before those stop being reserves.
   */
  reserves(): ReadonlySet<InstanceId> {
    if (this.#feed.followsRelay && this.#relayFollower.isStale) {
      return new Set();
    }
    const { profile, capacity } = this.#opts;
    const { isReserve } = this;
    const reporting = [
      { profile, capacity, linkClass: this.#linkClass, isReserve },
      ...this.#peers.serving().filter((p) => !p.suspect),
    ];
    const near = reservesWithin(reporting);
    const far = this.#feed.followsRelay
      ? this.#relayFollower.farReserves
      : this.#zones.reserves();
    return new Set([...near, ...far]);
  }

  #farServing(): readonly InstanceProfile[] {
    return this.#feed.followsRelay
      ? this.#relayFollower.farServing
      : this.#zones.serving();
  }

  /** Sends changes to the peers that do not watch the store. */
  relay(batch: RelayedChanges): void {
    const to = this.#peers.watchPeers().filter((n) =>
      !n.suspect && !n.isStoreWatcher
    );
    if (to.length === 0) return;
    const addresses = to.map((n) => n.profile.digestAddress);
    this.#datagrams.send("changes", addresses, encodeChanges(batch));
  }

  /** Instances that received a revision of a kind, those of the zone first. */
  instancesWithRevision(
    kind: string,
    revision: number,
  ): readonly InstanceProfile[] {
    const known = this.#peers.peers().filter((p) =>
      !p.suspect && p.state !== "leaving" &&
      (p.changes.get(kind) ?? 0) >= revision
    ).map((p) => p.profile);
    const near = known.filter((p) => this.#peers.isOwnZone(p.zone));
    const far = known.filter((p) => !this.#peers.isOwnZone(p.zone));
    return [...near, ...far];
  }

  async close(): Promise<void> {
    this.#digests.close();
    await this.#datagrams.close();
  }

  get #isRelay(): boolean {
    return !this.#peers.isMesh && this.#currentRoles.isRelay;
  }

  /** Recipients of this instance's digest. */
  #recipients(seq: number): readonly InstanceProfile[] {
    const toAllPeers = this.#peers.isMesh ||
      this.#peers.zonePeers().every((m) => m.suspect);
    return toAllPeers
      ? gossipRecipients(this.#peers.peers(), seq)
      : this.#relayCandidates();
  }

  #relayCandidateAddresses(): readonly string[] {
    return this.#relayCandidates().map((candidate) => candidate.digestAddress);
  }

  /** The relay and its standby, without this instance. */
  #relayCandidates(): readonly InstanceProfile[] {
    const zonePeers = this.#peers.zonePeers();
    const relayCandidates = this.#roles.relayCandidates(zonePeers);
    return zonePeers.map((m) => m.profile).filter(({ id }) =>
      relayCandidates.includes(id)
    );
  }

  /** Sends another zone's digest to the relay and its standby. */
  #forwardZoneDigest(zone: ZoneId, bytes: Uint8Array): void {
    if (this.#isRelay) return this.#relay.keepForStandby(zone, bytes);
    this.#datagrams.send(
      "zonePassedOn",
      this.#relayCandidateAddresses(),
      bytes,
    );
  }

  #onAggregate(aggregate: FleetAggregate): void {
    if (!this.#peers.isOwnZone(aggregate.relay.zone)) return;
    const now = this.#opts.clock.now();
    this.#peers.onAggregate(aggregate, now);
    if (this.#peers.isMesh) return;
    if (!this.#isRelay) return this.#relayFollower.onAggregate(aggregate, now);
    // If there are two relays, one has to detect the other to step down.
    this.#peers.applyRelayStatus(aggregate, now);
  }

  /** Updates the roles after each digest, and publishes sums as the relay. */
  #onDigestSent(digest: Digest): void {
    const now = this.#opts.clock.now();
    this.#zones.tick(now);
    this.#relayFollower.tick(now);
    this.#relayFollower.sent(digest, now);
    if (this.#peers.isMesh) {
      for (const zone of this.#zones.zones()) this.#zones.forget(zone);
    }
    const isZoneReporting = this.#peers.isZoneReporting(now);
    // Before the list is read the fleet size is unknown.
    const viaRelays = !this.#peers.isMesh || !this.#peers.isListRead;
    const roles = this.#roles.update(
      this.#peers.zonePeers(),
      this.#peers.watchPeers(),
      { now, isZoneReporting, viaRelays },
    );
    // The successor relays as soon as it receives that this instance is leaving.
    const isRelay = roles.isRelay && digest.state !== "leaving";
    this.#currentRoles = { ...roles, isRelay };
    if (this.#isRelay || this.#peers.isMesh) this.#useDirectReports(now);
    this.#opts.events.roles(this.#currentRoles);
    if (!this.#isRelay) return;
    this.#relay.publish(digest, {
      reservations: this.#reservations,
      standby: this.#relayCandidateAddresses(),
    });
  }

  #useDirectReports(now: number): void {
    if (this.#feed.useDirectReports(now)) this.#relayFollower.reset();
  }

  #compose(seq: number, toNewcomer: boolean): Digest {
    const { profile, capacity, report } = this.#opts;
    const { isStoreWatcher } = this.#currentRoles;
    const { reservations, limits, ...self } = report();
    this.#reservations = reservations;
    const utilization = this.#opts.utilization?.();
    return {
      ...self,
      isReserve: this.#decideReserve(self.state, utilization),
      utilization,
      linkClass: this.#linkClass,
      limits: agedLimits(limits, this.#opts.clock.now()),
      profile,
      start: this.#start,
      seq,
      storeInTouch: isStoreWatcher && self.storeInTouch,
      isStoreWatcher,
      relays: this.#isRelay,
      capacity,
      otherProfiles: this.#sampleProfiles(
        toNewcomer ? OTHER_PROFILES_FOR_NEWCOMERS : OTHER_PROFILES_PER_DIGEST,
      ),
    };
  }

  #decideReserve(
    state: InstanceState,
    utilization: number | undefined,
  ): boolean {
    const { capacity, clock, log } = this.#opts;
    const role = this.#reserveRole;
    const wasReserve = role.isReserve;
    const linkClass = this.#linkClass;
    role.update(
      state === "serving" ? { capacity, linkClass, utilization } : undefined,
      this.#reportingZonePeers(),
      clock.now(),
    );
    if (role.isReserve !== wasReserve) {
      log.event("reserve_changed", {
        reserve: role.isReserve,
        reason: role.obstacle ?? "ample_room",
        utilization: role.strongUtilization,
      });
    }
    return role.isReserve;
  }

  #reportingZonePeers(): readonly Peer[] {
    if (this.#feed.followsRelay && this.#relayFollower.isStale) return [];
    return this.#peers.zonePeers().filter((p) =>
      !p.suspect && p.state === "serving"
    );
  }

  #sampleProfiles(most: number): InstanceProfile[] {
    const known = [
      ...this.#peers.peers().filter((p) => !p.unreachable),
      ...this.#peers.peersTrackedByZone(),
    ];
    return sampleConsecutive(known, most, this.#opts.random).map((p) =>
      p.profile
    );
  }

  #reported(digest: Digest, now: number): void {
    const { profile, seq } = digest;
    const limits = observedLimits(digest.limits, now);
    const report = { ...digest, limits, group: profile.id, instances: 1 };
    if (this.#peers.isOwnZone(profile.zone)) this.#relay.onReport(report, seq);
    this.#feed.reported(report, now);
  }

  #onZoneDigest(digest: ZoneDigest, now: number): void {
    const { zone, relay, start } = digest;
    const report = {
      ...digest,
      limits: observedLimits(digest.limits, now),
      group: zoneGroupId(zone),
      start: `${relay} ${start}`,
    };
    this.#relay.onZoneReport(report);
    this.#feed.reported(report, now);
  }

  #suspect(group: InstanceId): void {
    this.#relay.suspect(group);
    this.#feed.suspect(group);
  }

  #unreachable(group: InstanceId): void {
    this.#opts.log.event("peer_unreachable", { peer: group });
    this.#relay.unreachable(group);
    this.#feed.unreachable(group);
  }

  #removed(id: InstanceId): void {
    this.#opts.log.event("peer_removed", { peer: id });
    this.#forgetGroup(id);
  }

  #forgetGroup(group: InstanceId): void {
    this.#relay.forget(group);
    this.#feed.forget(group);
  }
}
