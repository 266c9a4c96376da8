/**
 * State of the other zones, as their relays report it.
 *
 * @module
 */
import type { InstanceId, ZoneId } from "../core/mod.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { ZoneDigest } from "./zone_digest.ts";

/**
 * After this long without a digest a zone is suspect and its share of rates is
 * reserved: two periods and the hop through this zone's relay.
 */
const SUSPECT_AFTER_MS = 900;
/** After this long without a digest, callers are not sent to a zone. */
const UNREACHABLE_AFTER_MS = 1_500;
/** After this long it is left out of all sums; a restart takes a few seconds. */
const REMOVED_AFTER_MS = 60_000;

/** Receives reports and state changes of the other zones. */
export interface ZoneEvents {
  reported(digest: ZoneDigest, now: number): void;
  suspect(zone: ZoneId): void;
  unreachable(zone: ZoneId): void;
  removed(zone: ZoneId): void;
}

interface ZoneRow {
  digest: ZoneDigest;
  lastDigestAt: number;
  suspect: boolean;
  unreachable: boolean;
}

/** Latest digest and reachability of each other zone. */
export class ZoneTable {
  readonly #rows = new Map<ZoneId, ZoneRow>();
  readonly #events: ZoneEvents;

  constructor(events: ZoneEvents) {
    this.#events = events;
  }

  /**
   * Accepts a digest unless it is older than the last. While two instances act
   * as a zone's relay, as after a takeover from a slow one, the first is kept:
   * their counters cannot be combined. The successor of a relay that restarted,
   * left or is leaving is accepted at once. Returns whether it was accepted.
   */
  heard(digest: ZoneDigest, now: number): boolean {
    const { zone, relay, start, seq } = digest;
    const row = this.#rows.get(zone);
    if (row !== undefined) {
      const { digest: last } = row;
      const sameRun = last.relay === relay && last.start === start;
      if (sameRun && seq <= last.seq) return false;
      const isSuccessor = last.relay === relay || hasLeft(last, digest);
      if (!sameRun && !row.suspect && !isSuccessor) return false;
      if (!sameRun && !row.suspect) this.#events.suspect(zone);
    }
    this.#rows.set(zone, {
      digest,
      lastDigestAt: now,
      suspect: false,
      unreachable: false,
    });
    this.#events.reported(digest, now);
    return true;
  }

  /** Marks or removes zones whose last digest is too old. */
  tick(now: number): void {
    for (const [zone, row] of this.#rows) {
      const silentMs = now - row.lastDigestAt;
      if (silentMs > SUSPECT_AFTER_MS && !row.suspect) {
        row.suspect = true;
        this.#events.suspect(zone);
      }
      if (silentMs > UNREACHABLE_AFTER_MS && !row.unreachable) {
        row.unreachable = true;
        this.#events.unreachable(zone);
      }
      if (silentMs > REMOVED_AFTER_MS) this.forget(zone);
    }
  }

  forget(zone: ZoneId): void {
    if (this.#rows.delete(zone)) this.#events.removed(zone);
  }

  zones(): readonly ZoneId[] {
    return [...this.#rows.keys()];
  }

  /** The relay of a zone; undefined if the zone is unknown or suspect. */
  relay(zone: ZoneId): InstanceProfile | undefined {
    const row = this.#rows.get(zone);
    if (row === undefined || row.suspect) return undefined;
    const { members, relay } = row.digest;
    return members.find((m) => m.profile.id === relay)?.profile;
  }

  /** Serving instances of the reachable zones. */
  serving(): readonly InstanceProfile[] {
    return [...this.#rows.values()].filter((row) => !row.unreachable)
      .flatMap((row) => row.digest.members)
      .filter((m) => m.state === "serving").map((m) => m.profile);
  }

  /** Serving instances of the zones that report that callers are not sent to. */
  reserves(): readonly InstanceId[] {
    return [...this.#rows.values()].filter((row) => !row.suspect)
      .flatMap((row) => row.digest.members)
      .filter((m) => m.isReserve === true).map((m) => m.profile.id);
  }
}

/** Whether the previous relay has left or is leaving, according to `next`. */
function hasLeft(last: ZoneDigest, next: ZoneDigest): boolean {
  const previous = next.members.find((m) => m.profile.id === last.relay);
  return previous === undefined || previous.state === "leaving";
}

/** Id under which a zone shares rates, as if it were one instance. */
export function zoneGroupId(zone: ZoneId): InstanceId {
  return `zone ${zone}` as InstanceId;
}
