/**
 * One instance among the others: who is there, what they tell, and what this
 * one does for its zone.
 *
 * Up to a few dozen instances everybody tells everybody. Beyond, an instance
 * hears its own zone one by one and the other zones as wholes. Whoever takes in
 * what is told sees groups: an instance, or a zone.
 *
 * @module
 */
import {
  type Clock,
  type InstanceId,
  type Log,
  type Random,
  someOf,
} from "../core/mod.ts";
import { BY_ZONE_LAG_MS, DIRECT_LAG_MS } from "../decisions/quotas/mod.ts";
import type { RelayedChanges } from "../follower/mod.ts";
import { decodeChanges, encodeChanges } from "./change_relay.ts";
import { Datagrams, type DatagramTransport } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import { DigestExchange, toTell } from "./digest_exchange.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import { type Peer, PeerTable } from "./peer_table.ts";
import type { ZoneDigest } from "./zone_digest.ts";
import { ZoneExchange } from "./zone_exchange.ts";
import { type Roles, ZoneRoles } from "./zone_roles.ts";
import { ZoneSums } from "./zone_sums.ts";
import { ZoneHub } from "./zone_hub.ts";
import { groupOf, ZoneTable } from "./zone_table.ts";

/** What an instance says of itself each time. */
export type SelfReport = Pick<
  Digest,
  "state" | "planVersion" | "storeInTouch" | "changes" | "uses" | "inFlight"
>;

/** What an instance or a zone told. */
export interface GroupNews extends
  Pick<
    Digest,
    "start" | "storeInTouch" | "changes" | "uses" | "inFlight"
  > {
  /** The instance, or a name for the zone. */
  readonly group: InstanceId;
  /** How many instances it stands for. */
  readonly instances: number;
}

/** Takes in what happens among the instances. */
export interface FleetEvents {
  told(news: GroupNews, now: number): void;
  /** A group was not heard lately; it may be cut off. */
  quiet(group: InstanceId): void;
  /** A group is heard no more. */
  silent(group: InstanceId): void;
  /** A group is taken to have ended, or counts as part of another. */
  forgotten(group: InstanceId): void;
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
  /** Instances that are assumed until the list of them is read. */
  readonly assumed: number;
  readonly seeds: readonly string[];
  readonly transport: DatagramTransport;
  /** Names that digests give as hashes; whoever learns of one adds it. */
  readonly book: NameBook;
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
  readonly #sums = new ZoneSums();
  readonly #roles: ZoneRoles;
  readonly #digests: DigestExchange;
  readonly #zoneExchange: ZoneExchange;
  readonly #hub: ZoneHub;
  #current: Roles = { speaks: false, asksStore: false };

  constructor(opts: FleetMemberOptions) {
    this.#opts = opts;
    const { profile, capacity, clock, random, log, seeds, events } = opts;
    this.#start = random.hex(START_BYTES);
    this.#datagrams = new Datagrams(opts.transport, log);
    this.#peers = new PeerTable(profile, opts.assumed, {
      told: (digest, now) => this.#told(digest, now),
      quiet: ({ profile }) => events.quiet(profile.id),
      silent: (peer) => this.#silent(peer),
      forgotten: ({ profile }) => this.#forgotten(profile.id),
    });
    this.#zones = new ZoneTable({
      told: (digest, now) => this.#toldZone(digest, now),
      quiet: (zone) => events.quiet(groupOf(zone)),
      silent: (zone) => this.#zoneSilent(groupOf(zone)),
      forgotten: (zone) => events.forgotten(groupOf(zone)),
    });
    this.#roles = new ZoneRoles({ id: profile.id, capacity });
    const common = {
      datagrams: this.#datagrams,
      peers: this.#peers,
      clock,
      random,
    };
    this.#hub = new ZoneHub(this.#datagrams);
    this.#digests = new DigestExchange({
      ...common,
      book: opts.book,
      seeds,
      recipients: (seq) => this.#recipients(seq),
      came: (from, bytes) => {
        if (this.#handsOut) this.#hub.gather(from.id, "compactDigest", bytes);
      },
      compose: (seq, toNewcomer) => this.#compose(seq, toNewcomer),
      told: (digest, bytes) => this.#period(digest, bytes),
    });
    this.#zoneExchange = new ZoneExchange({
      ...common,
      zones: this.#zones,
      sums: this.#sums,
      came: (from, bytes, direct) => this.#zoneCame(from, bytes, direct),
    });
    this.#datagrams.onRead("changes", decodeChanges, events.relayed);
  }

  /** Instances that may be serving, this one included. */
  get fleetSize(): number {
    return this.#peers.fleetSize;
  }

  /** How old what is known of the others may be, in milliseconds. */
  get lagMs(): number {
    return this.#peers.isMesh ? DIRECT_LAG_MS : BY_ZONE_LAG_MS;
  }

  /** Whether one that asks the store for this one too is answered. */
  get neighbourInTouch(): boolean {
    return this.#peers.neighbours().some((n) => !n.quiet && n.storeInTouch);
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
    return [...near, ...this.#zones.serving()];
  }

  /** Passes on changes to the neighbours that do not ask. */
  relay(batch: RelayedChanges): void {
    const to = this.#peers.neighbours().filter((n) => !n.quiet && !n.asksStore);
    if (to.length === 0) return;
    const addresses = to.map((n) => n.profile.digestAddress);
    this.#datagrams.send("changes", addresses, encodeChanges(batch));
  }

  /** Instances that know of a change of a kind, those of the zone first. */
  knowing(kind: string, revision: number): readonly InstanceProfile[] {
    const known = this.#peers.peers().filter((p) =>
      !p.quiet && p.state === "serving" &&
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

  /** Whether this instance hands out to its zone what all tell. */
  get #handsOut(): boolean {
    return !this.#peers.isMesh && this.#current.speaks;
  }

  /** Whom this instance tells of itself. */
  #recipients(seq: number): readonly InstanceProfile[] {
    const everybody = this.#peers.isMesh ||
      this.#peers.mates().every((m) => m.quiet);
    return everybody ? toTell(this.#peers.peers(), seq) : this.#hubs();
  }

  /** The others of the zone that all of it tell. */
  #hubs(): readonly InstanceProfile[] {
    const mates = this.#peers.mates();
    const hubs = this.#roles.hubs(mates);
    return mates.map((m) => m.profile).filter(({ id }) => hubs.includes(id));
  }

  /** Another zone's digest goes to whoever hands it out. */
  #zoneCame(from: ZoneDigest, bytes: Uint8Array, direct: boolean): void {
    if (this.#handsOut) {
      return this.#hub.gather(groupOf(from.zone), "zonePassedOn", bytes);
    }
    if (!direct) return;
    const hubs = this.#hubs().map((hub) => hub.digestAddress);
    this.#datagrams.send("zonePassedOn", hubs, bytes);
  }

  /** Hands out what was gathered since the last time. */
  #handOut({ profile, seq }: Digest, own: Uint8Array): void {
    if (!this.#handsOut) return this.#hub.clear();
    this.#hub.gather(profile.id, "compactDigest", own);
    const to = toTell(this.#peers.mates(), seq);
    this.#hub.handOut(to.map((mate) => mate.digestAddress));
  }

  /** What follows each digest of this instance. */
  #period(digest: Digest, bytes: Uint8Array): void {
    const now = this.#opts.clock.now();
    this.#zones.tick(now);
    if (this.#peers.isMesh) {
      for (const zone of this.#zones.zones()) this.#zones.forget(zone);
    }
    const roles = this.#roles.update(
      this.#peers.mates(),
      this.#peers.neighbours(),
      now,
    );
    // The next speaks from the moment at which it hears that this one leaves.
    const speaks = roles.speaks && digest.state !== "leaving";
    this.#current = { ...roles, speaks };
    this.#opts.events.roles(this.#current);
    if (this.#handsOut) this.#zoneExchange.tell(digest);
    this.#handOut(digest, bytes);
  }

  #compose(seq: number, toNewcomer: boolean): Digest {
    const { profile, capacity, report } = this.#opts;
    const { asksStore } = this.#current;
    const self = report();
    return {
      ...self,
      profile,
      start: this.#start,
      seq,
      storeInTouch: asksStore && self.storeInTouch,
      asksStore,
      capacity,
      others: this.#someOthers(
        toNewcomer ? OTHERS_TOLD_NEWCOMERS : OTHERS_TOLD,
      ),
    };
  }

  #someOthers(most: number): InstanceProfile[] {
    const heard = [
      ...this.#peers.peers().filter((p) => !p.silent),
      ...this.#peers.far(),
    ];
    return someOf(heard, most, this.#opts.random).map((p) => p.profile);
  }

  #told(digest: Digest, now: number): void {
    const { profile } = digest;
    if (this.#peers.isOwnZone(profile.zone)) this.#sums.told(digest);
    this.#opts.events.told({ ...digest, group: profile.id, instances: 1 }, now);
  }

  #toldZone(digest: ZoneDigest, now: number): void {
    const { zone, speaker, start, members } = digest;
    this.#opts.events.told({
      ...digest,
      group: groupOf(zone),
      start: `${speaker} ${start}`,
      instances: members.length,
    }, now);
  }

  #silent({ profile }: Peer): void {
    this.#sums.silent(profile.id);
    this.#opts.log.event("peer_silent", { peer: profile.id });
    this.#opts.events.silent(profile.id);
  }

  #forgotten(id: InstanceId): void {
    this.#sums.forget(id);
    this.#opts.log.event("peer_forgotten", { peer: id });
    this.#opts.events.forgotten(id);
  }

  #zoneSilent(group: InstanceId): void {
    this.#opts.log.event("peer_silent", { peer: group });
    this.#opts.events.silent(group);
  }
}
