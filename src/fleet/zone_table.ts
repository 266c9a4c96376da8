/**
 * The other zones, as their relays report them.
 *
 * @module
 */
import type { InstanceId, ZoneId } from "../core/mod.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { ZoneDigest } from "./zone_digest.ts";

/**
 * A zone without a digest for this long is suspect and its share of rates set
 * aside, in milliseconds: two digests and the way through this zone's relay.
 */
const SUSPECT_AFTER_MS = 900;
/** Callers are not sent to a zone that is not heard for this long, in ms. */
const UNREACHABLE_AFTER_MS = 1_500;
/** Left out of all sums after this: a restart takes a few seconds, in ms. */
const REMOVED_AFTER_MS = 60_000;

/** What changes among the zones. */
export interface ZoneEvents {
  reported(digest: ZoneDigest, now: number): void;
  suspect(zone: ZoneId): void;
  unreachable(zone: ZoneId): void;
  removed(zone: ZoneId): void;
}

interface ZoneRow {
  digest: ZoneDigest;
  heardAt: number;
  suspect: boolean;
  unreachable: boolean;
}

/** What is known of each other zone. */
export class ZoneTable {
  readonly #rows = new Map<ZoneId, ZoneRow>();
  readonly #events: ZoneEvents;

  constructor(events: ZoneEvents) {
    this.#events = events;
  }

  /**
   * Takes in a digest unless it is older than the last. While two instances of
   * a zone speak, as when one took over from one that was only slow, the first
   * is heard: their counts do not go together. One that leaves is followed at
   * once. Gives whether the digest was taken in.
   */
  heard(digest: ZoneDigest, now: number): boolean {
    const { zone, relay, start, seq } = digest;
    const row = this.#rows.get(zone);
    if (row !== undefined) {
      const { digest: last } = row;
      const same = last.relay === relay && last.start === start;
      if (same && seq <= last.seq) return false;
      const followed = last.relay === relay || hasLeft(last, digest);
      if (!same && !row.suspect && !followed) return false;
      if (!same && !row.suspect) this.#events.suspect(zone);
    }
    this.#rows.set(zone, {
      digest,
      heardAt: now,
      suspect: false,
      unreachable: false,
    });
    this.#events.reported(digest, now);
    return true;
  }

  /** Looks for zones that became unreachable. */
  tick(now: number): void {
    for (const [zone, row] of this.#rows) {
      const unheardMs = now - row.heardAt;
      if (unheardMs > SUSPECT_AFTER_MS && !row.suspect) {
        row.suspect = true;
        this.#events.suspect(zone);
      }
      if (unheardMs > UNREACHABLE_AFTER_MS && !row.unreachable) {
        row.unreachable = true;
        this.#events.unreachable(zone);
      }
      if (unheardMs > REMOVED_AFTER_MS) this.forget(zone);
    }
  }

  /** Leaves a zone out. */
  forget(zone: ZoneId): void {
    if (this.#rows.delete(zone)) this.#events.removed(zone);
  }

  zones(): readonly ZoneId[] {
    return [...this.#rows.keys()];
  }

  /** The relay of a zone that is heard. */
  relay(zone: ZoneId): InstanceProfile | undefined {
    const row = this.#rows.get(zone);
    if (row === undefined || row.suspect) return undefined;
    const { members, relay } = row.digest;
    return members.find((m) => m.profile.id === relay)?.profile;
  }

  /** Instances of zones that are heard, which take callers. */
  serving(): readonly InstanceProfile[] {
    return [...this.#rows.values()].filter((row) => !row.unreachable)
      .flatMap((row) => row.digest.members)
      .filter((m) => m.state === "serving").map((m) => m.profile);
  }
}

/** Whether who spoke last is known to leave, or to be gone. */
function hasLeft(last: ZoneDigest, next: ZoneDigest): boolean {
  const before = next.members.find((m) => m.profile.id === last.relay);
  return before === undefined || before.state === "leaving";
}

/** A zone counts like one instance where rates are shared. */
export function groupOf(zone: ZoneId): InstanceId {
  return `zone ${zone}` as InstanceId;
}
