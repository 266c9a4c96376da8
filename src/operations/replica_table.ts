/**
 * Instances that can be reached as homes and backup replicas, from their gossip
 * batches.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { PeerIdentity } from "../gen/ledger_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import { publicIncarnation, type Replica } from "./home_token.ts";

/** Another instance as of its last gossip batch. */
export interface PeerReplica extends Replica {
  /** The incarnation as sent in the instance's own batches. */
  readonly peerIncarnation: string;
  readonly zone: string;
  readonly region: string;
  readonly peerUrl: string;
  readonly leaving: boolean;
  readonly lastSeenAt: number;
  /** The home token that it issues now; empty if none. */
  readonly home: string;
  /** Its clock when it sent the batch. */
  readonly clockMs: number;
}

/** The zone and region of an instance. */
export interface Locality {
  readonly zone: string;
  readonly region: string;
}

/** Replicas silent for longer than this, in milliseconds, are not chosen. */
export const REPLICA_SILENT_MS = 2_000;
/** How long a replica is not chosen after a failed call, in milliseconds. */
export const REPLICA_SUSPECT_MS = 2_000;

/** An instance's clock as of its last gossip batch. */
interface ClockReading {
  readonly clockMs: number;
  readonly lastSeenAt: number;
}

interface CachedCandidates {
  readonly at: number;
  readonly replicas: readonly PeerReplica[];
}

/** How long a list of backup candidates is reused, in milliseconds. */
const CANDIDATES_CACHE_MS = 50;
/** Retention of clock readings of ended incarnations, in milliseconds. */
const CLOCK_READING_RETENTION_MS = 1_200_000;

/** The replicas known through gossip. */
export class ReplicaTable {
  readonly #clock: Clock;
  readonly #replicas = new Map<string, PeerReplica>();
  readonly #suspectUntil = new Map<string, number>();
  readonly #readings = new Map<string, ClockReading>();
  #cachedCandidates: CachedCandidates | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records what an instance reports about itself. */
  recordSender(batch: Batch, from: Sender): void {
    const { instance, zone, region, peerUrl, leaving } = from;
    if (from.incarnation === "") return;
    const before = this.#replicas.get(instance);
    const incarnation = before?.peerIncarnation === from.incarnation
      ? before.incarnation
      : publicIncarnation(from.incarnation);
    if (before?.incarnation !== incarnation || before.leaving !== leaving) {
      this.#cachedCandidates = undefined;
    }
    this.#replicas.set(instance, {
      instance,
      incarnation,
      peerIncarnation: from.incarnation,
      zone,
      region,
      peerUrl,
      leaving,
      lastSeenAt: this.#clock.now(),
      home: batch.ledger?.home ?? "",
      clockMs: batch.ledger?.clockMs ?? 0,
    });
    const reading = {
      clockMs: batch.ledger?.clockMs ?? 0,
      lastSeenAt: this.#clock.now(),
    };
    this.#readings.set(incarnation, reading);
  }

  /**
   * The age in milliseconds of a timestamp taken from an incarnation's own
   * clock; infinite if no batch of that incarnation was received.
   */
  ageOf(incarnation: string, stampMs: number): number {
    const reading = this.#readings.get(incarnation);
    if (reading === undefined) return Infinity;
    const since = this.#clock.now() - reading.lastSeenAt;
    return since + reading.clockMs - stampMs;
  }

  /** Removes expired clock readings and suspicions. */
  sweep(now: number): void {
    for (const [incarnation, reading] of this.#readings) {
      if (now - reading.lastSeenAt > CLOCK_READING_RETENTION_MS) {
        this.#readings.delete(incarnation);
      }
    }
    for (const [incarnation, until] of this.#suspectUntil) {
      if (until <= now) this.#suspectUntil.delete(incarnation);
    }
  }

  /** Whether a call comes from an instance known through gossip. */
  authenticates(from: PeerIdentity | undefined): boolean {
    const known = from && this.#replicas.get(from.instance);
    return known !== undefined && known.peerIncarnation === from?.incarnation;
  }

  /** An instance as of its last batch, whatever its incarnation. */
  byInstance(instance: string): PeerReplica | undefined {
    return this.#replicas.get(instance);
  }

  /** That exact incarnation; undefined if it is not the known one. */
  find(replica: Replica): PeerReplica | undefined {
    const known = this.#replicas.get(replica.instance);
    return known?.incarnation === replica.incarnation ? known : undefined;
  }

  all(): PeerReplica[] {
    return [...this.#replicas.values()];
  }

  /** Whether a replica has been silent too long; a call to it would hang. */
  isSilent(replica: PeerReplica): boolean {
    return this.#clock.now() - replica.lastSeenAt > REPLICA_SILENT_MS;
  }

  /** Whether a replica is neither silent, leaving nor suspected. */
  usable(replica: PeerReplica): boolean {
    const now = this.#clock.now();
    return !replica.leaving && !this.isSilent(replica) &&
      now >= (this.#suspectUntil.get(replica.incarnation) ?? 0);
  }

  /** Excludes a replica for a while after a failed call. */
  markSuspect(replica: Replica): void {
    const until = this.#clock.now() + REPLICA_SUSPECT_MS;
    this.#suspectUntil.set(replica.incarnation, until);
    this.#cachedCandidates = undefined;
  }

  /**
   * Backup candidates in order of preference: first the region's other zones,
   * which survive the loss of this zone, then this zone. Hashing spreads
   * instances over them, so that no replica receives the records of all others.
   */
  candidates(self: Replica & Locality): readonly PeerReplica[] {
    const now = this.#clock.now();
    if (
      this.#cachedCandidates &&
      now - this.#cachedCandidates.at < CANDIDATES_CACHE_MS
    ) {
      return this.#cachedCandidates.replicas;
    }
    const replicas = this.#rankCandidates(self);
    this.#cachedCandidates = { at: now, replicas };
    return replicas;
  }

  #rankCandidates(self: Replica & Locality): PeerReplica[] {
    return this.all()
      .filter((p) => p.region === self.region && this.usable(p))
      .map((replica) => ({
        replica,
        sameZone: replica.zone === self.zone ? 1 : 0,
        tieBreak: mix(
          hashText(replica.incarnation) ^ hashText(self.incarnation),
        ),
      }))
      .sort((a, b) => a.sameZone - b.sameZone || a.tieBreak - b.tieBreak)
      .map((c) => c.replica);
  }
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a; gives the same value at every instance. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

/** The finalizer of MurmurHash3, so that similar inputs spread. */
export function mix(value: number): number {
  let h = value >>> 0;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
