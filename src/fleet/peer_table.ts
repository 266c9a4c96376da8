/**
 * The other instances, and which of them live.
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
 * Without a digest for this long an instance's share of rates is set aside, in
 * milliseconds: one digest and a half. If it is cut off, callers may already
 * press on both sides, and shares that follow their demand would add up to more
 * than the rate.
 */
export const SUSPECT_AFTER_MS = 400;
/**
 * The same where digests are handed out by one instance of the zone, in
 * milliseconds: a digest and a half, each up to a period later.
 */
export const SUSPECT_AGGREGATED_MS = 700;
/**
 * The same of an instance that is known through the zone's relay, in
 * milliseconds: until another relays where the last one died. Judged sooner,
 * all would seem gone at once, and each instance would watch the store for
 * itself.
 */
const SUSPECT_RELAYED_MS = 1_300;
/**
 * Without a digest for this long an instance counts as unreachable, in
 * milliseconds: six digests in a row. Callers are not sent to it any more.
 */
export const UNREACHABLE_AFTER_MS = 1_500;
/**
 * An unreachable instance is left out of the fleet's size after this, in
 * milliseconds. Until then it may be alive behind a partition and spend its
 * part of rates and budgets; a restart takes a few seconds.
 */
export const REMOVED_AFTER_MS = 60_000;
/**
 * Up to this many instances tell each other everything one by one. Each sends
 * and takes in four messages a second for each other one: at 24 that is 2% of a
 * small core. Beyond, instances of other zones are told of by zone.
 */
export const MOST_IN_MESH = 24;

/** Part of a zone's instances whose reports make its sums nearly whole. */
const MOST_OF_ZONE = 0.8;

/** Another instance as this one knows it. */
export interface Peer {
  profile: InstanceProfile;
  state: InstanceState;
  start: string;
  seq: number;
  /** When it was last heard; never if undefined. */
  heardAt: number | undefined;
  /** When it was last heard of. */
  knownAt: number;
  suspect: boolean;
  unreachable: boolean;
  /** How much it can carry, compared with the others. */
  capacity: number;
  /** Whether it asks the store itself, and whether the store answers. */
  isStoreWatcher: boolean;
  storeInTouch: boolean;
  /** Whether it relays what its zone and the other zones report. */
  relays: boolean;
  /** When its own digest last came, not through a relay; never if undefined. */
  directAt: number | undefined;
  /** Revision of the last change that it knows of, by kind. */
  changes: ReadonlyMap<string, number>;
}

/** What a relay says of its zone. */
type ZoneReport = Pick<FleetAggregate, "relay" | "members" | "changes">;

/** What an instance reports of its state. */
type PeerStatus = Pick<
  Peer,
  | "state"
  | "capacity"
  | "isStoreWatcher"
  | "storeInTouch"
  | "relays"
  | "changes"
>;

/** What changes among the instances. */
export interface PeerEvents {
  /** A digest came that is newer than the last. */
  reported(digest: Digest, now: number): void;
  /** An instance was not heard lately; it may be cut off. */
  suspect(peer: Peer): void;
  /** An instance is heard no more. */
  unreachable(peer: Peer): void;
  /** An instance is taken to have ended. */
  removed(peer: Peer): void;
}

/** Who and where this instance is. */
export interface OwnPlace {
  readonly id: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
}

/** Instances known from the list, from digests and from hearsay. */
export class PeerTable {
  readonly #own: OwnPlace;
  readonly #events: PeerEvents;
  readonly #peers = new Map<InstanceId, Peer>();
  /** Instances by the hash of their id; the last that was learned. */
  readonly #byHash = new Map<number, InstanceId>();
  /** The fleet is taken to be at least this large until the list was read. */
  #assumed: number;
  #wasMesh = true;

  constructor(
    own: OwnPlace,
    assumed: number,
    events: PeerEvents,
  ) {
    this.#own = own;
    this.#assumed = assumed;
    this.#events = events;
  }

  /** Instances that may be serving, this one included. */
  get fleetSize(): number {
    return Math.max(this.#assumed, this.#peers.size + 1);
  }

  /** Whether the list of instances was read. */
  get isListed(): boolean {
    return this.#assumed === 1;
  }

  /** Whether all instances tell each other everything one by one. */
  get isMesh(): boolean {
    return this.#peers.size < MOST_IN_MESH;
  }

  isZonePeer(id: InstanceId): boolean {
    const peer = this.#peers.get(id);
    return peer !== undefined && this.isOwnZone(peer.profile.zone);
  }

  isOwnZone(zone: ZoneId): boolean {
    return zone === this.#own.zone;
  }

  /** Instances that are told of one by one. */
  peers(): readonly Peer[] {
    return [...this.#peers.values()].filter((p) => !this.#isFar(p));
  }

  /** The other instances of this zone. */
  zonePeers(): readonly Peer[] {
    return [...this.#peers.values()]
      .filter((p) => this.isOwnZone(p.profile.zone));
  }

  /**
   * The others among which a few ask the store for all, and are told by them:
   * those of the region while all are heard one by one, so that a zone with one
   * or two instances need not ask for itself, else those of the zone.
   */
  watchPeers(): readonly Peer[] {
    if (!this.isMesh) return this.zonePeers();
    return [...this.#peers.values()]
      .filter((p) => p.profile.region === this.#own.region);
  }

  /** Instances of other zones, as far as they are told of by zone. */
  far(): readonly Peer[] {
    return [...this.#peers.values()].filter((p) => this.#isFar(p));
  }

  #isFar({ profile }: Peer): boolean {
    return !this.isMesh && !this.isOwnZone(profile.zone);
  }

  /** Who an instance is, by the hash of its id. */
  profileOf(idHash: number): InstanceProfile | undefined {
    const id = this.#byHash.get(idHash);
    return id === undefined ? undefined : this.#peers.get(id)?.profile;
  }

  /** Adds an instance that was heard of. */
  learn(profile: InstanceProfile, now: number): void {
    if (profile.id === this.#own.id) return;
    const known = this.#peers.get(profile.id);
    if (known !== undefined) {
      if (this.#isFar(known)) known.knownAt = now;
      return;
    }
    this.#byHash.set(hash(profile.id), profile.id);
    this.#peers.set(profile.id, {
      profile,
      state: "starting",
      start: "",
      seq: -1,
      heardAt: undefined,
      knownAt: now,
      suspect: true,
      unreachable: true,
      capacity: 0,
      isStoreWatcher: false,
      storeInTouch: false,
      relays: false,
      directAt: undefined,
      changes: new Map(),
    });
  }

  /** The list of instances was read: the fleet's size is known. */
  listed(profiles: readonly InstanceProfile[], now: number): void {
    for (const profile of profiles) this.learn(profile, now);
    this.#assumed = 1;
  }

  /** Takes in a digest; one that is not newer than the last is dropped. */
  heard(digest: Digest, now: number): void {
    const { profile } = digest;
    if (profile.id === this.#own.id) return;
    this.learn(profile, now);
    for (const other of digest.otherProfiles) this.learn(other, now);
    const peer = this.#peers.get(profile.id);
    if (peer === undefined) return;
    if (this.#isFar(peer)) return;
    if (peer.start === digest.start && digest.seq <= peer.seq) return;
    peer.profile = profile;
    peer.start = digest.start;
    peer.seq = digest.seq;
    peer.directAt = now;
    this.#update(peer, digest, now);
    this.#events.reported(digest, now);
  }

  /** Takes in what a relay of the zone says of itself. */
  heardRelay(aggregate: ZoneReport, now: number): void {
    const { relay, members } = aggregate;
    this.learn(relay, now);
    const itself = members.find(({ idHash }) => idHash === hash(relay.id));
    if (itself !== undefined) this.#relayed(itself, aggregate, now);
  }

  #relayed(
    { idHash, upToDate, ...status }: AggregateMember,
    { relay, changes }: ZoneReport,
    now: number,
  ): void {
    const id = this.#byHash.get(idHash);
    const peer = id === undefined ? undefined : this.#peers.get(id);
    if (peer === undefined || !this.isOwnZone(peer.profile.zone)) return;
    const known = upToDate ? changes : peer.changes;
    this.#update(peer, { ...status, changes: known }, now);
    if (peer.profile.id === relay.id) peer.directAt = now;
  }

  /**
   * Takes in all that the zone's relay hears of the zone. An instance that it
   * does not name may be cut off.
   */
  heardZone(aggregate: ZoneReport, now: number): void {
    const { members } = aggregate;
    const named = new Set(members.map((m) => this.#byHash.get(m.idHash)));
    for (const member of members) this.#relayed(member, aggregate, now);
    for (const peer of this.zonePeers()) {
      const unheardMs = now - (peer.directAt ?? -Infinity);
      const heard = named.has(peer.profile.id) ||
        unheardMs <= SUSPECT_AGGREGATED_MS;
      if (!heard) this.#suspect(peer);
    }
  }

  #suspect(peer: Peer): void {
    if (peer.suspect) return;
    peer.suspect = true;
    this.#events.suspect(peer);
  }

  /** An instance of another zone is still there. */
  refresh(idHash: number, now: number): InstanceProfile | undefined {
    const id = this.#byHash.get(idHash);
    const peer = id === undefined ? undefined : this.#peers.get(id);
    if (peer === undefined || !this.#isFar(peer)) return undefined;
    peer.knownAt = now;
    return peer.profile;
  }

  #update(peer: Peer, status: PeerStatus, now: number): void {
    peer.state = status.state;
    peer.heardAt = now;
    peer.suspect = false;
    peer.unreachable = false;
    peer.capacity = status.capacity;
    peer.isStoreWatcher = status.isStoreWatcher;
    peer.storeInTouch = status.storeInTouch;
    peer.relays = status.relays;
    peer.changes = status.changes;
  }

  /** Looks for instances that became unreachable or have ended. */
  tick(now: number): void {
    this.#followMode();
    for (const peer of this.#peers.values()) {
      const unheardMs = now - Math.max(peer.heardAt ?? 0, peer.knownAt);
      const isFar = this.#isFar(peer);
      if (!isFar && unheardMs > this.#suspectAfterMs(peer)) this.#suspect(peer);
      if (!isFar && unheardMs > UNREACHABLE_AFTER_MS && !peer.unreachable) {
        peer.unreachable = true;
        this.#events.unreachable(peer);
      }
      if (unheardMs > REMOVED_AFTER_MS) {
        this.#peers.delete(peer.profile.id);
        this.#byHash.delete(hash(peer.profile.id));
        if (!isFar) this.#events.removed(peer);
      }
    }
  }

  #suspectAfterMs({ heardAt, directAt }: Peer): number {
    if (this.isMesh) return SUSPECT_AFTER_MS;
    return heardAt === directAt ? SUSPECT_AGGREGATED_MS : SUSPECT_RELAYED_MS;
  }

  /**
   * Once the fleet has outgrown the mesh, instances of other zones are told of
   * by zone, and count no more one by one.
   */
  #followMode(): void {
    if (this.#wasMesh === this.isMesh) return;
    this.#wasMesh = this.isMesh;
    if (this.isMesh) return;
    for (const peer of this.far()) {
      peer.suspect = true;
      peer.unreachable = true;
      this.#events.removed(peer);
    }
  }

  /** Whether most of the zone's instances report to this one. */
  isZoneHeard(now: number): boolean {
    const alive = this.zonePeers().filter((m) => !m.suspect);
    const direct = alive.filter((m) =>
      now - (m.directAt ?? -Infinity) <= SUSPECT_AGGREGATED_MS
    );
    return direct.length >= alive.length * MOST_OF_ZONE;
  }

  /** Instances that are heard one by one and take callers. */
  serving(): readonly Peer[] {
    return this.peers().filter((p) => !p.unreachable && p.state === "serving");
  }
}
