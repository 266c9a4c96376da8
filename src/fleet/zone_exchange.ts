/**
 * Exchange of digests between the relays of zones.
 *
 * Where the relay of a zone is not known, digests go to some of its instances,
 * which pass them on: zones find each other without knowing the relays.
 *
 * @module
 */
import { type Clock, type Random, someOf, type ZoneId } from "../core/mod.ts";
import type { Reserved } from "../decisions/quotas/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameBook } from "./name_book.ts";
import type { PeerTable } from "./peer_table.ts";
import {
  decodeZoneDigest,
  encodeZoneDigest,
  type ZoneDigest,
  type ZoneMember,
} from "./zone_digest.ts";
import type { GroupSums } from "./group_sums.ts";
import type { ZoneTable } from "./zone_table.ts";

/** Instances tried at a time in a zone whose relay is not known. */
const TRIED = 2;
/** Each so many digests say who the members are. */
const INTRODUCED_EVERY = 8;

/** What the exchange works with. */
export interface ZoneExchangeOptions {
  readonly datagrams: Datagrams;
  readonly book: NameBook;
  readonly peers: PeerTable;
  readonly zones: ZoneTable;
  readonly sums: GroupSums;
  /**
   * Told of each digest of a zone that came; `direct` where it came from that
   * zone and not through an instance of this one.
   */
  readonly came: (
    from: ZoneDigest,
    bytes: Uint8Array,
    direct: boolean,
  ) => void;
  readonly clock: Clock;
  readonly random: Random;
}

/** The exchange between zones at one instance. */
export class ZoneExchange {
  readonly #opts: ZoneExchangeOptions;
  /** Digests told. */
  #told = 0;

  constructor(opts: ZoneExchangeOptions) {
    this.#opts = opts;
    const { datagrams, book, peers } = opts;
    const profileOf = (idHash: number) => peers.profileOf(idHash);
    const decode = (bytes: Uint8Array) =>
      decodeZoneDigest(bytes, { book, profileOf });
    datagrams.onRead("zone", decode, (digest, bytes) => {
      this.#take(digest, bytes, true);
    });
    datagrams.onRead("zonePassedOn", decode, (digest, bytes) => {
      this.#take(digest, bytes, false);
    });
  }

  /**
   * Tells the other zones of this one; `own` is this instance's digest.
   *
   * @param reserved What is set aside for the zone's instances that are not
   * heard: they may be serving behind a partition.
   */
  tell(own: Digest, reserved: Reserved): void {
    const { datagrams, book, peers, zones, random } = this.#opts;
    const byZone = new Map<ZoneId, InstanceProfile[]>();
    for (const { profile } of peers.far()) {
      const there = byZone.get(profile.zone) ?? [];
      byZone.set(profile.zone, [...there, profile]);
    }
    if (byZone.size === 0) return;
    let introduces = this.#told++ % INTRODUCED_EVERY === 0;
    const to = [...byZone].flatMap(([zone, there]) => {
      const relay = zones.speaker(zone);
      if (relay !== undefined) return [relay];
      introduces = true;
      return someOf(there, TRIED, random);
    });
    const addresses = to.map((profile) => profile.digestAddress);
    datagrams.send(
      "zone",
      addresses,
      encodeZoneDigest(this.#compose(own, reserved), { book, introduces }),
    );
  }

  #compose(own: Digest, reserved: Reserved): ZoneDigest {
    const { peers, sums } = this.#opts;
    const heard = peers.mates().filter((m) => !m.silent);
    const members: ZoneMember[] = [own, ...heard].map(({ profile, state }) => ({
      profile,
      state,
    }));
    return {
      zone: own.profile.zone,
      region: own.profile.region,
      speaker: own.profile.id,
      start: own.start,
      seq: own.seq,
      storeInTouch: own.storeInTouch || heard.some((m) => m.storeInTouch),
      changes: own.changes,
      members,
      instances: 1 + heard.filter((m) => !m.quiet).length,
      reserved,
      uses: sums.uses(own.uses),
      inFlight: sums.inFlight(own.inFlight),
    };
  }

  #take(digest: ZoneDigest, bytes: Uint8Array, direct: boolean): void {
    const { peers, zones, came, clock } = this.#opts;
    const now = clock.now();
    for (const { profile } of digest.members) peers.learn(profile, now);
    if (peers.isMesh || peers.isOwnZone(digest.zone)) return;
    if (zones.heard(digest, now)) came(digest, bytes, direct);
  }
}
