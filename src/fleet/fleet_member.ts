/**
 * One instance among the others: who is there, what they tell, and what this
 * one does for its zone.
 *
 * Up to a few dozen instances everybody tells everybody. Beyond, an instance
 * follows its zone's relay, and relays hear their own zone one by one and the
 * other zones as wholes. Whoever takes in what is reported sees groups: an
 * instance, a zone, or the rest of the fleet.
 *
 * @module
 */
import {
  type Clock,
  type InstanceId,
  type Log,
  type Random,
  someOf,
  type ZoneId,
} from "../core/mod.ts";
import {
  DIRECT_GOSSIP_DELAY_MS,
  RELAYED_GOSSIP_DELAY_MS,
  type Reservation,
} from "../decisions/quotas/mod.ts";
import type { RelayedChanges } from "../watcher/mod.ts";
import { dispatchBundles } from "./bundles.ts";
import { decodeChanges, encodeChanges } from "./change_relay.ts";
import { Datagrams, type DatagramTransport } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import { DigestExchange, toTell } from "./digest_exchange.ts";
import { decodeAggregate, type FleetAggregate } from "./fleet_aggregate.ts";
import { FleetFeed, type GroupEvents } from "./fleet_feed.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import {
  agedLimits,
  type ObservedLimits,
  observedLimits,
} from "./limit_rows.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import { PeerTable } from "./peer_table.ts";
import { RelayFollower } from "./relay_follower.ts";
import type { ZoneDigest } from "./zone_digest.ts";
import { ZoneExchange } from "./zone_exchange.ts";
import { type Roles, ZoneRoles } from "./zone_roles.ts";
import { ZoneRelay } from "./zone_relay.ts";
import { zoneGroupId, ZoneTable } from "./zone_table.ts";

/** What an instance says of itself each time. */
export interface SelfReport extends
  Pick<
    Digest,
    "state" | "planVersion" | "storeInTouch" | "changes" | "uses" | "inFlight"
  > {
  /** Limits that endpoints named, or ceased to name, in answers to this one. */
  readonly limits: ObservedLimits;
  /** What is set aside for groups that are not heard; a relay passes it on. */
  readonly reservations: readonly Reservation[];
}

/** Takes in what happens among the instances. */
export interface FleetEvents extends GroupEvents {
  /** What this instance is to do for its zone. */
  roles(roles: Roles): void;
  /** Changes that a neighbour read in the store. */
  relayed(changes: RelayedChanges): void;
}

/** What a member works with. */
export interface FleetMemberOptions {
  readonly profile: InstanceProfile;
  /** How much it can carry, compared with the others. */
  readonly capacity: number;
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  /** Instances that are assumed until the list of them is read. */
  readonly assumed: number;
  readonly seeds: readonly string[];
  readonly transport: DatagramTransport;
  /** Names that digests give as hashes; whoever learns of one adds it. */
  readonly book: NameDictionary;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly report: () => SelfReport;
  readonly events: FleetEvents;
}

/**
 * Instances that a digest names for those that could not read the list, and
 * that it names when one has just started.
 */
const OTHERS_TOLD = 1;
const OTHERS_TOLD_NEWCOMERS = 12;
/** Enough that an instance's starts differ. */
const START_BYTES = 4;

/** This instance's part in the fleet. */
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
  readonly #digests: DigestExchange;
  #current: Roles = { isRelay: false, isStoreWatcher: false };
  #reservations: readonly Reservation[] = [];

  constructor(opts: FleetMemberOptions) {
    this.#opts = opts;
    const { profile, capacity, clock, random, log, seeds, events } = opts;
    this.#start = random.hex(START_BYTES);
    this.#datagrams = new Datagrams(opts.transport, log);
    this.#peers = new PeerTable(profile, opts.assumed, {
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
    const { firstStart } = opts;
    this.#roles = new ZoneRoles({ id: profile.id, capacity }, firstStart);
    const common = {
      datagrams: this.#datagrams,
      book: opts.book,
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
        passOn: (zone, bytes) => this.#passOn(zone, bytes),
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
      reported: (digest) => this.#period(digest),
    });
    this.#datagrams.onDecoded("changes", decodeChanges, (changes) => {
      events.relayed(changes);
    });
    this.#datagrams.onDecoded(
      "aggregate",
      (bytes) => decodeAggregate(bytes, opts.book),
      (aggregate) => this.#onAggregate(aggregate),
    );
    dispatchBundles(this.#datagrams);
  }

  /** Instances that may be serving, this one included. */
  get fleetSize(): number {
    return this.#peers.fleetSize;
  }

  /** How old what is known of the others may be, in milliseconds. */
  get gossipDelayMs(): number {
    return this.#peers.isMesh
      ? DIRECT_GOSSIP_DELAY_MS
      : RELAYED_GOSSIP_DELAY_MS;
  }

  /** Whether one that asks the store for this one too is answered. */
  get watchPeerInTouch(): boolean {
    return this.#peers.watchPeers().some((n) => !n.suspect && n.storeInTouch);
  }

  start(): void {
    this.#digests.start();
  }

  /** Tells the others now, as after a change that they should know at once. */
  tell(): void {
    this.#digests.tell();
  }

  /** The list of instances was read. */
  listed(profiles: readonly InstanceProfile[]): void {
    this.#peers.listed(profiles, this.#opts.clock.now());
  }

  /** The other instances that take callers. */
  serving(): readonly InstanceProfile[] {
    const near = this.#peers.serving().map((p) => p.profile);
    const far = this.#feed.isRelayed
      ? this.#relayFollower.farServing
      : this.#zones.serving();
    return [...near, ...far];
  }

  /** Passes on changes to the peers that do not watch the store themselves. */
  relay(batch: RelayedChanges): void {
    const to = this.#peers.watchPeers().filter((n) =>
      !n.suspect && !n.isStoreWatcher
    );
    if (to.length === 0) return;
    const addresses = to.map((n) => n.profile.digestAddress);
    this.#datagrams.send("changes", addresses, encodeChanges(batch));
  }

  /** Instances that know of a change of a kind, those of the zone first. */
  knowing(kind: string, revision: number): readonly InstanceProfile[] {
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

  /** Whether this instance is the zone's relay. */
  get #relays(): boolean {
    return !this.#peers.isMesh && this.#current.isRelay;
  }

  /** Whom this instance tells of itself. */
  #recipients(seq: number): readonly InstanceProfile[] {
    const everybody = this.#peers.isMesh ||
      this.#peers.zonePeers().every((m) => m.suspect);
    return everybody
      ? toTell(this.#peers.peers(), seq)
      : this.#relayCandidates();
  }

  #relayCandidateAddresses(): readonly string[] {
    return this.#relayCandidates().map((candidate) => candidate.digestAddress);
  }

  /** The others of the zone to which all of it report. */
  #relayCandidates(): readonly InstanceProfile[] {
    const zonePeers = this.#peers.zonePeers();
    const relayCandidates = this.#roles.relayCandidates(zonePeers);
    return zonePeers.map((m) => m.profile).filter(({ id }) =>
      relayCandidates.includes(id)
    );
  }

  /** Another zone's digest goes to whoever relays, or may have to soon. */
  #passOn(zone: ZoneId, bytes: Uint8Array): void {
    if (this.#relays) return this.#relay.keep(zone, bytes);
    this.#datagrams.send(
      "zonePassedOn",
      this.#relayCandidateAddresses(),
      bytes,
    );
  }

  #onAggregate(aggregate: FleetAggregate): void {
    const { zone } = aggregate.relay;
    if (this.#peers.isMesh || !this.#peers.isOwnZone(zone)) return;
    const now = this.#opts.clock.now();
    if (!this.#relays) return this.#relayFollower.take(aggregate, now);
    // Of two relays one has to learn that the other is there.
    this.#peers.heardRelay(aggregate, now);
  }

  /** Works out roles after each digest, and relays where that is this one's. */
  #period(digest: Digest): void {
    const now = this.#opts.clock.now();
    this.#zones.tick(now);
    this.#relayFollower.tick(now);
    this.#relayFollower.sent(digest);
    if (this.#peers.isMesh) {
      for (const zone of this.#zones.zones()) this.#zones.forget(zone);
    }
    const warm = this.#peers.isZoneHeard(now);
    // How large the fleet is shows with the list.
    const relayed = !this.#peers.isMesh || !this.#peers.isListed;
    const roles = this.#roles.update(
      this.#peers.zonePeers(),
      this.#peers.watchPeers(),
      { now, warm, relayed },
    );
    // The next speaks from the moment at which it hears that this one leaves.
    const isRelay = roles.isRelay && digest.state !== "leaving";
    this.#current = { ...roles, isRelay };
    if (this.#relays || this.#peers.isMesh) this.#followGroups(now);
    this.#opts.events.roles(this.#current);
    if (!this.#relays) return;
    this.#relay.publish(digest, {
      reservations: this.#reservations,
      standby: this.#relayCandidateAddresses(),
    });
  }

  #followGroups(now: number): void {
    if (this.#feed.followGroups(now)) this.#relayFollower.reset();
  }

  #compose(seq: number, toNewcomer: boolean): Digest {
    const { profile, capacity, report } = this.#opts;
    const { isStoreWatcher } = this.#current;
    const { reservations, limits, ...self } = report();
    this.#reservations = reservations;
    return {
      ...self,
      limits: agedLimits(limits, this.#opts.clock.now()),
      profile,
      start: this.#start,
      seq,
      storeInTouch: isStoreWatcher && self.storeInTouch,
      isStoreWatcher,
      relays: this.#relays,
      capacity,
      otherProfiles: this.#someOthers(
        toNewcomer ? OTHERS_TOLD_NEWCOMERS : OTHERS_TOLD,
      ),
    };
  }

  #someOthers(most: number): InstanceProfile[] {
    const heard = [
      ...this.#peers.peers().filter((p) => !p.unreachable),
      ...this.#peers.far(),
    ];
    return someOf(heard, most, this.#opts.random).map((p) => p.profile);
  }

  #reported(digest: Digest, now: number): void {
    const { profile, seq } = digest;
    const limits = observedLimits(digest.limits, now);
    const news = { ...digest, limits, group: profile.id, instances: 1 };
    if (this.#peers.isOwnZone(profile.zone)) this.#relay.reportPeer(news, seq);
    this.#feed.reported(news, now);
  }

  #onZoneDigest(digest: ZoneDigest, now: number): void {
    const { zone, relay, start } = digest;
    const news = {
      ...digest,
      limits: observedLimits(digest.limits, now),
      group: zoneGroupId(zone),
      start: `${relay} ${start}`,
    };
    this.#relay.reportZone(news);
    this.#feed.reported(news, now);
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
