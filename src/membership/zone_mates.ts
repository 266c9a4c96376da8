/**
 * What the other instances of the zone last asked for.
 *
 * @module
 */
import type { MembershipPart } from "../gen/membership_pb.ts";
import type { Sender } from "../gen/peer_pb.ts";
import { type Ask, type Holder, sameHolder } from "./seat_table.ts";

/** A zone-mate's last request for renewal. */
export interface Mate extends Ask {
  readonly heardAt: number;
  readonly leaving: boolean;
}

/** A mate silent this long, in milliseconds, is given no seat and no duty. */
export const MATE_SILENT_MS = 1_500;

/** The table of zone-mates, each life of an instance apart. */
export class ZoneMates {
  readonly #mates = new Map<string, Mate>();

  /** Takes in a mate's request; one that comes late lowers nothing. */
  absorb(from: Sender, part: MembershipPart, now: number): void {
    const name = `${from.instance} ${from.incarnation}`;
    const known = this.#mates.get(name);
    const later = known === undefined || part.askedMs >= known.askedMs;
    this.#mates.set(name, {
      holder: from.instance,
      incarnation: from.incarnation,
      askedMs: later ? part.askedMs : known.askedMs,
      seen: later ? part.seatsSeen : known.seen,
      leaving: (known?.leaving ?? false) || from.leaving,
      heardAt: now,
    });
  }

  /** Mates heard lately. */
  live(now: number): Mate[] {
    return [...this.#mates.values()].filter((m) =>
      m.heardAt >= now - MATE_SILENT_MS
    );
  }

  /** When a life of a mate was last heard; -Infinity if never. */
  heardAt(of: Holder): number {
    const mate = [...this.#mates.values()].find((m) => sameHolder(m, of));
    return mate?.heardAt ?? -Infinity;
  }

  /** The last heard life of an instance. */
  latest(instance: string): Mate | undefined {
    return [...this.#mates.values()].filter((m) => m.holder === instance)
      .sort((a, b) => b.heardAt - a.heardAt)[0];
  }

  /** Forgets lives that were silent for `ms` milliseconds. */
  forget(now: number, ms: number): void {
    for (const [name, mate] of this.#mates) {
      if (mate.heardAt < now - ms) this.#mates.delete(name);
    }
  }
}
