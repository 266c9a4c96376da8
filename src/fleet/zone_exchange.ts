/**
 * Exchange of digests between the relays of zones.
 *
 * Where the relay of a zone is not known, digests go to some of its instances,
 * which pass them on: zones find each other without knowing the relays.
 *
 * @module
 */
import { type Clock, type Random, someOf, type ZoneId } from "../core/mod.ts";
import type { ReservedShares } from "../decisions/quotas/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { AgedLimits } from "./limit_rows.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import type { PeerTable } from "./peer_table.ts";
import {
  decodeZoneDigest,
  encodeZoneDigest,
  type ZoneDigest,
  type ZoneMember,
} from "./zone_digest.ts";
import type { Sums } from "./group_sums.ts";
import type { ZoneTable } from "./zone_table.ts";

/** Instances tried at a time in a zone whose relay is not known. */
const TRIED = 2;
/** Each so many digests say who the members are. */
const INTRODUCED_EVERY = 8;

/** What is reported of a zone besides its members. */
export interface ZoneSums extends Sums {
  readonly limits: AgedLimits;
  readonly reserved: ReservedShares;
}

/** What the exchange works with. */
export interface ZoneExchangeOptions {
  readonly datagrams: Datagrams;
  readonly book: NameDictionary;
  readonly peers: PeerTable;
  readonly zones: ZoneTable;
  /** Passes on a digest that came from its zone itself. */
  readonly passOn: (zone: ZoneId, bytes: Uint8Array) => void;
  readonly clock: Clock;
  readonly random: Random;
}

/** The exchange between zones at one instance. */
export class ZoneExchange {
  readonly #opts: ZoneExchangeOptions;
  /** Digests told. */
  #reported = 0;

  constructor(opts: ZoneExchangeOptions) {
    this.#opts = opts;
    const { datagrams, book, peers } = opts;
    const profileOf = (idHash: number) => peers.profileOf(idHash);
    const decode = (bytes: Uint8Array) =>
      decodeZoneDigest(bytes, { dictionary: book, profileOf });
    datagrams.onDecoded("zone", decode, (digest, bytes) => {
      if (this.#take(digest)) opts.passOn(digest.zone, bytes);
    });
    datagrams.onDecoded("zonePassedOn", decode, (digest) => this.#take(digest));
  }

  /**
   * Tells the other zones of this one.
   *
   * @param own This instance's digest.
   * @param zone Sums of the zone, and what is set aside for its instances that
   * are not heard: they may be serving behind a partition.
   */
  tell(own: Digest, zone: ZoneSums): void {
    const { datagrams, book, peers, zones, random } = this.#opts;
    const byZone = new Map<ZoneId, InstanceProfile[]>();
    for (const { profile } of peers.far()) {
      const there = byZone.get(profile.zone) ?? [];
      byZone.set(profile.zone, [...there, profile]);
    }
    if (byZone.size === 0) return;
    let introduces = this.#reported++ % INTRODUCED_EVERY === 0;
    const to = [...byZone].flatMap(([other, there]) => {
      const relay = zones.relay(other);
      if (relay !== undefined) return [relay];
      introduces = true;
      return someOf(there, TRIED, random);
    });
    const addresses = to.map((profile) => profile.digestAddress);
    datagrams.send(
      "zone",
      addresses,
      encodeZoneDigest(this.#compose(own, zone), {
        dictionary: book,
        includeProfiles: introduces,
      }),
    );
  }

  #compose(
    own: Digest,
    zone: ZoneSums,
  ): ZoneDigest {
    const { peers } = this.#opts;
    const heard = peers.zonePeers().filter((m) => !m.unreachable);
    const members: ZoneMember[] = [own, ...heard].map(({ profile, state }) => ({
      profile,
      state,
    }));
    return {
      zone: own.profile.zone,
      region: own.profile.region,
      relay: own.profile.id,
      start: own.start,
      seq: own.seq,
      storeInTouch: own.storeInTouch || heard.some((m) => m.storeInTouch),
      changes: own.changes,
      members,
      instances: 1 + heard.filter((m) => !m.suspect).length,
      ...zone,
    };
  }

  /** Gives whether the digest is newer than the last of its zone. */
  #take(digest: ZoneDigest): boolean {
    const { peers, zones, clock } = this.#opts;
    const now = clock.now();
    for (const { profile } of digest.members) peers.learn(profile, now);
    if (peers.isMesh || peers.isOwnZone(digest.zone)) return false;
    return zones.heard(digest, now);
  }
}
