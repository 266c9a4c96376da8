/**
 * The latest renewal requests of the other instances of the zone.
 *
 * @module
 */
import type { MembershipPart } from "../gen/membership_pb.ts";
import type { Sender } from "../gen/peer_pb.ts";
import { type Holder, type RenewalRequest, sameHolder } from "./seat_table.ts";

/** A zone peer's latest renewal request. */
export interface ZonePeer extends RenewalRequest {
  readonly heardAt: number;
  readonly leaving: boolean;
}

/** A peer silent for longer, in milliseconds, gets no seat or turn to write. */
export const ZONE_PEER_TIMEOUT_MS = 1_500;

/** Zone peers by instance and incarnation. */
export class ZonePeerTable {
  readonly #peers = new Map<string, ZonePeer>();

  /** Records a peer's request; one that arrives out of order lowers nothing. */
  receive(from: Sender, part: MembershipPart, now: number): void {
    const name = `${from.instance} ${from.incarnation}`;
    const existing = this.#peers.get(name);
    const later = existing === undefined || part.askedMs >= existing.askedMs;
    this.#peers.set(name, {
      holder: from.instance,
      incarnation: from.incarnation,
      askedMs: later ? part.askedMs : existing.askedMs,
      seen: later ? part.seatsSeen : existing.seen,
      leaving: (existing?.leaving ?? false) || from.leaving,
      heardAt: now,
    });
  }

  /** Peers whose messages arrived within `ZONE_PEER_TIMEOUT_MS`. */
  live(now: number): ZonePeer[] {
    return [...this.#peers.values()].filter((m) =>
      m.heardAt >= now - ZONE_PEER_TIMEOUT_MS
    );
  }

  /** When an incarnation's last message arrived; -Infinity if none did. */
  heardAt(of: Holder): number {
    const peer = [...this.#peers.values()].find((m) => sameHolder(m, of));
    return peer?.heardAt ?? -Infinity;
  }

  /** The incarnation of an instance that sent the most recent message. */
  latest(instance: string): ZonePeer | undefined {
    return [...this.#peers.values()].filter((m) => m.holder === instance)
      .sort((a, b) => b.heardAt - a.heardAt)[0];
  }

  /** Removes incarnations that have been silent for `ms` milliseconds. */
  evictIdle(now: number, ms: number): void {
    for (const [name, peer] of this.#peers) {
      if (peer.heardAt < now - ms) this.#peers.delete(name);
    }
  }
}
