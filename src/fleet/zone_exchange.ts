/**
 * Speaks for this instance's zone to the others, and hears theirs.
 *
 * A zone's digest goes to the instance that speaks for the other zone, which
 * passes it on to its own. Where none is heard there, it goes to some instance
 * of that zone, which passes it on just the same: so two zones find each other
 * without knowing who speaks.
 *
 * @module
 */
import type { Clock, Log, Random, ZoneId } from "../core/mod.ts";
import type { Datagrams } from "./datagrams.ts";
import type { Digest } from "./digest.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { PeerTable } from "./peer_table.ts";
import {
  decodeZoneDigest,
  encodeZoneDigest,
  type ZoneDigest,
  type ZoneMember,
} from "./zone_digest.ts";
import type { ZoneSums } from "./zone_sums.ts";
import type { ZoneTable } from "./zone_table.ts";

/** Instances tried at a time in a zone of which no speaker is heard. */
const TRIED = 2;

/** What the exchange works with. */
export interface ZoneExchangeOptions {
  readonly datagrams: Datagrams;
  readonly peers: PeerTable;
  readonly zones: ZoneTable;
  readonly sums: ZoneSums;
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
  readonly log: Log;
}

/** The exchange between zones at one instance. */
export class ZoneExchange {
  readonly #opts: ZoneExchangeOptions;
  #rejected = 0;

  constructor(opts: ZoneExchangeOptions) {
    this.#opts = opts;
    const { datagrams } = opts;
    datagrams.on("zone", (bytes) => this.#take(bytes, true));
    datagrams.on("zonePassedOn", (bytes) => this.#take(bytes, false));
  }

  /** Tells the other zones of this one; `own` is this instance's digest. */
  tell(own: Digest): void {
    const { datagrams, peers, zones } = this.#opts;
    const byZone = new Map<ZoneId, InstanceProfile[]>();
    for (const { profile } of peers.far()) {
      const there = byZone.get(profile.zone) ?? [];
      byZone.set(profile.zone, [...there, profile]);
    }
    if (byZone.size === 0) return;
    const to = [...byZone].flatMap(([zone, there]) => {
      const speaker = zones.speaker(zone);
      return speaker === undefined ? this.#some(there) : [speaker];
    });
    const addresses = to.map((profile) => profile.digestAddress);
    datagrams.send("zone", addresses, encodeZoneDigest(this.#compose(own)));
  }

  #some(there: readonly InstanceProfile[]): InstanceProfile[] {
    const from = this.#opts.random.below(there.length);
    return [...there.slice(from), ...there.slice(0, from)].slice(0, TRIED);
  }

  #compose(own: Digest): ZoneDigest {
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
      uses: sums.uses(own.uses),
      inFlight: sums.inFlight(own.inFlight),
    };
  }

  #take(bytes: Uint8Array, direct: boolean): void {
    const { peers, zones, came, clock, log } = this.#opts;
    const read = decodeZoneDigest(bytes);
    if (read.isErr()) {
      this.#rejected++;
      if (this.#rejected === 1) {
        log.event("digest_rejected", { reason: read.error.message });
      }
      return;
    }
    const now = clock.now();
    for (const { profile } of read.value.members) peers.learn(profile, now);
    if (!peers.isMesh && !peers.isOwnZone(read.value.zone)) {
      if (zones.heard(read.value, now)) came(read.value, bytes, direct);
    }
  }
}
