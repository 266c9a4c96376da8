/**
 * Exchange of digests between the relays of zones.
 *
 * While the relay of a zone is unknown, digests go to some of its instances,
 * which forward them to their relay and its standby.
 *
 * @module
 */
import {
  type Clock,
  type Random,
  sampleConsecutive,
  type ZoneId,
} from "../core/mod.ts";
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
import { reservesWithin } from "./zone_reserves.ts";
import type { ZoneTable } from "./zone_table.ts";

/** Recipients per digest in a zone whose relay is unknown. */
const CONTACTS_PER_ZONE = 2;
/** One digest in this many carries the members' profiles. */
const PROFILE_INTERVAL_DIGESTS = 8;

/** Report of a zone without its members. */
export interface ZoneSums extends Sums {
  /** The longest contact of an instance of the zone with the store, in ms. */
  readonly storeContactMs: number;
  readonly limits: AgedLimits;
  readonly reserved: ReservedShares;
}

export interface ZoneExchangeOptions {
  readonly datagrams: Datagrams;
  readonly dictionary: NameDictionary;
  readonly peers: PeerTable;
  readonly zones: ZoneTable;
  /** Forwards a digest received directly from its zone. */
  readonly forwardDigest: (zone: ZoneId, bytes: Uint8Array) => void;
  readonly clock: Clock;
  readonly random: Random;
}

export class ZoneExchange {
  readonly #opts: ZoneExchangeOptions;
  #sentCount = 0;

  constructor(opts: ZoneExchangeOptions) {
    this.#opts = opts;
    const { datagrams, dictionary, peers } = opts;
    const profileOf = (idHash: number) => peers.profileOf(idHash);
    const decode = (bytes: Uint8Array) =>
      decodeZoneDigest(bytes, { dictionary, profileOf });
    datagrams.onDecoded("zone", decode, (digest, bytes) => {
      if (this.#receive(digest)) opts.forwardDigest(digest.zone, bytes);
    });
    datagrams.onDecoded(
      "zonePassedOn",
      decode,
      (digest) => this.#receive(digest),
    );
  }

  /**
   * Sends the digest of this zone to the other zones.
   *
   * @param own This instance's digest.
   * @param zone Sums of the zone, and the shares reserved for its silent
   * instances, which may be serving behind a partition.
   */
  send(own: Digest, zone: ZoneSums): void {
    const { datagrams, dictionary, peers, zones, random } = this.#opts;
    const byZone = new Map<ZoneId, InstanceProfile[]>();
    for (const { profile } of peers.peersTrackedByZone()) {
      const zoneInstances = byZone.get(profile.zone) ?? [];
      byZone.set(profile.zone, [...zoneInstances, profile]);
    }
    if (byZone.size === 0) return;
    let includeProfiles = this.#sentCount++ % PROFILE_INTERVAL_DIGESTS === 0;
    const to = [...byZone].flatMap(([other, zoneInstances]) => {
      const relay = zones.relay(other);
      if (relay !== undefined) return [relay];
      includeProfiles = true;
      return sampleConsecutive(zoneInstances, CONTACTS_PER_ZONE, random);
    });
    const addresses = to.map((profile) => profile.digestAddress);
    datagrams.send(
      "zone",
      addresses,
      encodeZoneDigest(this.#compose(own, zone), {
        dictionary,
        includeProfiles,
      }),
    );
  }

  #compose(
    own: Digest,
    zone: ZoneSums,
  ): ZoneDigest {
    const { peers } = this.#opts;
    const reachable = peers.zonePeers().filter((m) => !m.unreachable);
    const reporting = reachable.filter((m) =>
      !m.suspect && m.state === "serving"
    );
    const reserves = new Set(reservesWithin([own, ...reporting]));
    const members: ZoneMember[] = [own, ...reachable].map((
      { profile, state },
    ) => ({
      profile,
      state,
      isReserve: reserves.has(profile.id),
    }));
    return {
      zone: own.profile.zone,
      region: own.profile.region,
      relay: own.profile.id,
      start: own.start,
      seq: own.seq,
      storeInTouch: own.storeInTouch || reachable.some((m) => m.storeInTouch),
      changes: own.changes,
      members,
      instances: 1 + reachable.filter((m) => !m.suspect).length,
      ...zone,
    };
  }

  /** Applies a digest; returns whether it was accepted. */
  #receive(digest: ZoneDigest): boolean {
    const { peers, zones, clock } = this.#opts;
    const now = clock.now();
    for (const { profile } of digest.members) peers.add(profile, now);
    if (peers.isMesh || peers.isOwnZone(digest.zone)) return false;
    return zones.heard(digest, now);
  }
}
