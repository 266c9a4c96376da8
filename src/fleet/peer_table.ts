/**
 * Membership table: the other instances, and which of them are reachable.
 *
 * @module
 */
import {
  hash,
  type InstanceId,
  type RegionId,
  type ZoneId,
} from "../core/mod.ts";
import type { Digest } from "./digest.ts";
import type { AggregateMember, FleetAggregate } from "./fleet_aggregate.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";

/**
 * After this long without a digest an instance is suspect and its share of
 * rates is reserved: one and a half digest periods. If it is partitioned, callers
 * may load both sides, and demand-based shares would exceed the rate in total.
 */
export const SUSPECT_AFTER_MS = 400;
/**
 * The same for the relay, and for instances that report directly, where a relay
 * distributes digests: one and a half digests, each up to a period later.
 */
export const RELAY_MODE_SUSPECT_AFTER_MS = 700;
/**
 * The same for an instance that is reported by the zone's relay: time for
 * another instance to take over from a relay that died. With a shorter timeout
 * all would become suspect at once and every instance would watch the store.
 */
const RELAYED_SUSPECT_AFTER_MS = 1_300;
/**
 * After this long without a digest, six in a row, an instance is unreachable:
 * callers are no longer sent to it.
 */
export const UNREACHABLE_AFTER_MS = 1_500;
/**
 * After this long an unreachable instance no longer counts in the fleet size.
 * Until then it may be alive behind a partition and spend its part of rates and
 * budgets; a restart takes a few seconds.
 */
export const REMOVED_AFTER_MS = 60_000;
/**
 * Up to this many instances gossip in a full mesh. Each sends and receives four
 * messages a second per peer: at 24 that is 2% of a small core. In larger fleets
 * instances of other zones are reported by zone.
 */
export const MAX_MESH_INSTANCES = 24;

/** How long the fleet size in an aggregate counts, in milliseconds. */
const RELAYED_SIZE_TTL_MS = UNREACHABLE_AFTER_MS;

/** Fraction of a zone's instances whose reports make its sums nearly complete. */
const MIN_ZONE_COVERAGE = 0.8;

/** Last known state of another instance. */
export interface Peer {
  profile: InstanceProfile;
  state: InstanceState;
  start: string;
  seq: number;
  /** Time of its last report, direct or relayed; undefined if there was none. */
  lastReportAt: number | undefined;
  /** When it was added or, while tracked by zone, last mentioned. */
  lastMentionAt: number;
  suspect: boolean;
  unreachable: boolean;
  /** Capacity relative to the other instances. */
  capacity: number;
  /** Whether callers should be sent to others. */
  isReserve: boolean;
  /** Share of the capacity in use; undefined if unknown. */
  utilization: number | undefined;
  /** Binary logarithm of the link's bytes a second; undefined if unknown. */
  linkClass: number | undefined;
  /** Whether it watches the store, and whether the store responds. */
  isStoreWatcher: boolean;
  storeInTouch: boolean;
  /** Whether it is its zone's relay. */
  relays: boolean;
  /** Time of its last message that no relay forwarded; undefined if none. */
  lastDirectReportAt: number | undefined;
  /** Revision of the last change it received, by kind. */
  changes: ReadonlyMap<string, number>;
}

/** The part of an aggregate that describes the relay's zone. */
type ZoneReport = Pick<FleetAggregate, "relay" | "members" | "changes">;

/** State that an instance reports of itself. */
type PeerStatus =
  & Pick<
    Peer,
    | "state"
    | "capacity"
    | "isStoreWatcher"
    | "storeInTouch"
    | "relays"
    | "changes"
  >
  & Pick<Digest, "isReserve" | "utilization" | "linkClass">;

/** Receives reports and state changes of the other instances. */
export interface PeerEvents {
  /** A digest newer than the last one arrived. */
  reported(digest: Digest, now: number): void;
  /** Reports of an instance are overdue; it may be partitioned. */
  suspect(peer: Peer): void;
  unreachable(peer: Peer): void;
  /** An instance is considered ended, or is now tracked by zone. */
  removed(peer: Peer): void;
}

/** Identity and location of this instance. */
export interface OwnLocation {
  readonly id: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
}

/** Instances known from the instance list and from gossip. */
export class PeerTable {
  readonly #own: OwnLocation;
  readonly #events: PeerEvents;
  readonly #peers = new Map<InstanceId, Peer>();
  /** Ids by their hash; on a collision the last one added. */
  readonly #byHash = new Map<number, InstanceId>();
  /** Minimum fleet size assumed until the instance list is read, then 1. */
  #assumedSize: number;
  /** Fleet size by the zone's relay, while that is recent; else 1. */
  #relayedSize = 1;
  #relayedSizeAt = -Infinity;
  #wasMesh = true;

  constructor(
    own: OwnLocation,
    assumedSize: number,
    events: PeerEvents,
  ) {
    this.#own = own;
    this.#assumedSize = assumedSize;
    this.#events = events;
  }

  /** Instances that may be serving, this one included. */
  get fleetSize(): number {
    const knownSize = this.#peers.size + 1;
    return Math.max(this.#assumedSize, this.#relayedSize, knownSize);
  }

  /** Whether the instance list was read. */
  get isListRead(): boolean {
    return this.#assumedSize === 1;
  }

  /** Whether all instances gossip with each other directly. */
  get isMesh(): boolean {
    const size = Math.max(this.#peers.size + 1, this.#relayedSize);
    return size <= MAX_MESH_INSTANCES;
  }

  isZonePeer(id: InstanceId): boolean {
    const peer = this.#peers.get(id);
    return peer !== undefined && this.isOwnZone(peer.profile.zone);
  }

  isOwnZone(zone: ZoneId): boolean {
    return zone === this.#own.zone;
  }

  /** Instances that are tracked individually. */
  peers(): readonly Peer[] {
    return [...this.#peers.values()].filter((p) => !this.#isTrackedByZone(p));
  }

  /** The other instances of this zone. */
  zonePeers(): readonly Peer[] {
    return [...this.#peers.values()]
      .filter((p) => this.isOwnZone(p.profile.zone));
  }

  /**
   * The peers with which this instance shares watchers of the store: those of
   * the region in a full mesh, so that a zone with one or two instances needs no
   * watcher of its own, else those of the zone.
   */
  watchPeers(): readonly Peer[] {
    if (!this.isMesh) return this.zonePeers();
    return [...this.#peers.values()]
      .filter((p) => p.profile.region === this.#own.region);
  }

  /** Instances of other zones, unless they are tracked individually. */
  peersTrackedByZone(): readonly Peer[] {
    return [...this.#peers.values()].filter((p) => this.#isTrackedByZone(p));
  }

  #isTrackedByZone({ profile }: Peer): boolean {
    return !this.isMesh && !this.isOwnZone(profile.zone);
  }

  /** Profile of an instance, by the hash of its id. */
  profileOf(idHash: number): InstanceProfile | undefined {
    const id = this.#byHash.get(idHash);
    return id === undefined ? undefined : this.#peers.get(id)?.profile;
  }

  /** Adds an instance from the list or from gossip, unless it is known. */
  add(profile: InstanceProfile, now: number): void {
    if (profile.id === this.#own.id) return;
    const known = this.#peers.get(profile.id);
    if (known !== undefined) {
      if (this.#isTrackedByZone(known)) known.lastMentionAt = now;
      return;
    }
    this.#byHash.set(hash(profile.id), profile.id);
    this.#peers.set(profile.id, {
      profile,
      state: "starting",
      start: "",
      seq: -1,
      lastReportAt: undefined,
      lastMentionAt: now,
      suspect: true,
      unreachable: true,
      capacity: 0,
      isReserve: false,
      utilization: undefined,
      linkClass: undefined,
      isStoreWatcher: false,
      storeInTouch: false,
      relays: false,
      lastDirectReportAt: undefined,
      changes: new Map(),
    });
  }

  /** Adds the instances on the list, from which the fleet size is known. */
  onInstanceList(profiles: readonly InstanceProfile[], now: number): void {
    for (const profile of profiles) this.add(profile, now);
    this.#assumedSize = 1;
  }

  /**
   * Applies the size of the fleet, and the profiles, in an aggregate of the
   * zone's relay. An instance that knows too few others takes the fleet for a
   * full mesh, in which nobody would report to it.
   */
  onAggregate(
    { relay, profiles, instances }: FleetAggregate,
    now: number,
  ): void {
    for (const profile of [relay, ...profiles]) this.add(profile, now);
    this.#relayedSize = instances;
    this.#relayedSizeAt = now;
  }

  /** Applies a digest; one that is not newer than the last is dropped. */
  heard(digest: Digest, now: number): void {
    const { profile } = digest;
    if (profile.id === this.#own.id) return;
    this.add(profile, now);
    for (const other of digest.otherProfiles) this.add(other, now);
    const peer = this.#peers.get(profile.id);
    if (peer === undefined) return;
    if (this.#isTrackedByZone(peer)) return;
    if (peer.start === digest.start && digest.seq <= peer.seq) return;
    peer.profile = profile;
    peer.start = digest.start;
    peer.seq = digest.seq;
    peer.lastDirectReportAt = now;
    this.#update(peer, digest, now);
    this.#events.reported(digest, now);
  }

  /** Applies only the relay's own state from an aggregate of its zone. */
  applyRelayStatus(aggregate: ZoneReport, now: number): void {
    const { relay, members } = aggregate;
    this.add(relay, now);
    const member = members.find(({ idHash }) => idHash === hash(relay.id));
    if (member !== undefined) this.#applyMember(member, aggregate, now);
  }

  #applyMember(
    { idHash, upToDate, ...status }: AggregateMember,
    { relay, changes }: ZoneReport,
    now: number,
  ): void {
    const id = this.#byHash.get(idHash);
    const peer = id === undefined ? undefined : this.#peers.get(id);
    if (peer === undefined || !this.isOwnZone(peer.profile.zone)) return;
    const known = upToDate ? changes : peer.changes;
    this.#update(peer, { ...status, changes: known }, now);
    if (peer.profile.id === relay.id) peer.lastDirectReportAt = now;
  }

  /**
   * Applies the states that the zone's relay reports. An instance it does not
   * list may be partitioned.
   */
  applyZoneStatus(aggregate: ZoneReport, now: number): void {
    const { members } = aggregate;
    const named = new Set(members.map((m) => this.#byHash.get(m.idHash)));
    for (const member of members) this.#applyMember(member, aggregate, now);
    for (const peer of this.zonePeers()) {
      const silentMs = now - (peer.lastDirectReportAt ?? -Infinity);
      const isReporting = named.has(peer.profile.id) ||
        silentMs <= RELAY_MODE_SUSPECT_AFTER_MS;
      if (!isReporting) this.#suspect(peer);
    }
  }

  #suspect(peer: Peer): void {
    if (peer.suspect) return;
    peer.suspect = true;
    this.#events.suspect(peer);
  }

  /** Records that an instance of another zone is alive; returns its profile. */
  refresh(idHash: number, now: number): InstanceProfile | undefined {
    const id = this.#byHash.get(idHash);
    const peer = id === undefined ? undefined : this.#peers.get(id);
    if (peer === undefined || !this.#isTrackedByZone(peer)) return undefined;
    peer.lastMentionAt = now;
    return peer.profile;
  }

  #update(peer: Peer, status: PeerStatus, now: number): void {
    peer.state = status.state;
    peer.lastReportAt = now;
    peer.suspect = false;
    peer.unreachable = false;
    peer.capacity = status.capacity;
    peer.isReserve = status.isReserve ?? false;
    peer.utilization = status.utilization;
    peer.linkClass = status.linkClass;
    peer.isStoreWatcher = status.isStoreWatcher;
    peer.storeInTouch = status.storeInTouch;
    peer.relays = status.relays;
    peer.changes = status.changes;
  }

  /** Marks or removes instances whose last report is too old. */
  tick(now: number): void {
    if (now - this.#relayedSizeAt > RELAYED_SIZE_TTL_MS) this.#relayedSize = 1;
    this.#updateMode();
    for (const peer of this.#peers.values()) {
      const silentMs = now -
        Math.max(peer.lastReportAt ?? 0, peer.lastMentionAt);
      const byZone = this.#isTrackedByZone(peer);
      if (!byZone && silentMs > this.#suspectAfterMs(peer)) this.#suspect(peer);
      if (
        !byZone && silentMs > UNREACHABLE_AFTER_MS && !peer.unreachable
      ) {
        peer.unreachable = true;
        this.#events.unreachable(peer);
      }
      if (silentMs > REMOVED_AFTER_MS) {
        this.#peers.delete(peer.profile.id);
        this.#byHash.delete(hash(peer.profile.id));
        if (!byZone) this.#events.removed(peer);
      }
    }
  }

  #suspectAfterMs({ lastReportAt, lastDirectReportAt }: Peer): number {
    if (this.isMesh) return SUSPECT_AFTER_MS;
    return lastReportAt === lastDirectReportAt
      ? RELAY_MODE_SUSPECT_AFTER_MS
      : RELAYED_SUSPECT_AFTER_MS;
  }

  /**
   * Once the fleet is too large for a full mesh, instances of other zones are
   * tracked by zone and no longer individually.
   */
  #updateMode(): void {
    if (this.#wasMesh === this.isMesh) return;
    this.#wasMesh = this.isMesh;
    if (this.isMesh) return;
    for (const peer of this.peersTrackedByZone()) {
      peer.suspect = true;
      peer.unreachable = true;
      this.#events.removed(peer);
    }
  }

  /** Whether most of the zone's live instances report to this one directly. */
  isZoneReporting(now: number): boolean {
    const alive = this.zonePeers().filter((m) => !m.suspect);
    const direct = alive.filter((m) =>
      now - (m.lastDirectReportAt ?? -Infinity) <= RELAY_MODE_SUSPECT_AFTER_MS
    );
    return direct.length >= alive.length * MIN_ZONE_COVERAGE;
  }

  /** Individually tracked instances that are reachable and serving. */
  serving(): readonly Peer[] {
    return this.inState("serving");
  }

  /** Individually tracked instances that are reachable and in a state. */
  inState(state: InstanceState): readonly Peer[] {
    return this.peers().filter((p) => !p.unreachable && p.state === state);
  }
}
