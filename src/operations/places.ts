/**
 * Which instances can be reached as homes and second places, from what they
 * say of themselves.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { PeerIdentity } from "../gen/ledger_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import { type Place, publicIncarnation } from "./home_token.ts";

/** Another instance as it was last heard. */
export interface KnownPlace extends Place {
  /** The incarnation as the instance's own batches give it. */
  readonly secret: string;
  readonly zone: string;
  readonly region: string;
  readonly peerUrl: string;
  readonly leaving: boolean;
  readonly heardAt: number;
  /** The home token it hands out now; empty if none. */
  readonly home: string;
  /** Its clock when it spoke. */
  readonly clockMs: number;
}

/** Where a place stands in relation to the one that chooses. */
export interface Vicinity {
  readonly zone: string;
  readonly region: string;
}

/** Places silent this long, in milliseconds, are not chosen. */
export const PLACE_SILENT_MS = 2_000;
/** A place that failed a call is not chosen for this long. */
export const PLACE_SUSPECT_MS = 2_000;

/** What an instance's clock showed when it was last heard. */
interface ClockReading {
  readonly clockMs: number;
  readonly heardAt: number;
}

interface Chosen {
  readonly at: number;
  readonly places: readonly KnownPlace[];
}

/** How long a choice of second places is used again, in milliseconds. */
const CHOSEN_MS = 50;
/** Readings of ended incarnations are kept this long, in milliseconds. */
const READING_KEPT_MS = 1_200_000;

/** The table of places. */
export class PlaceTable {
  readonly #clock: Clock;
  readonly #places = new Map<string, KnownPlace>();
  readonly #suspectUntil = new Map<string, number>();
  readonly #readings = new Map<string, ClockReading>();
  #chosen: Chosen | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes in what an instance says of itself. */
  absorb(batch: Batch, from: Sender): void {
    const { instance, zone, region, peerUrl, leaving } = from;
    if (from.incarnation === "") return;
    const before = this.#places.get(instance);
    const incarnation = before?.secret === from.incarnation
      ? before.incarnation
      : publicIncarnation(from.incarnation);
    if (before?.incarnation !== incarnation || before.leaving !== leaving) {
      this.#chosen = undefined;
    }
    this.#places.set(instance, {
      instance,
      incarnation,
      secret: from.incarnation,
      zone,
      region,
      peerUrl,
      leaving,
      heardAt: this.#clock.now(),
      home: batch.ledger?.home ?? "",
      clockMs: batch.ledger?.clockMs ?? 0,
    });
    const reading = {
      clockMs: batch.ledger?.clockMs ?? 0,
      heardAt: this.#clock.now(),
    };
    this.#readings.set(incarnation, reading);
  }

  /**
   * How long ago something happened that an incarnation stamped with its own
   * clock, in milliseconds; infinite if that one was never heard.
   */
  ageOf(incarnation: string, stampMs: number): number {
    const reading = this.#readings.get(incarnation);
    if (reading === undefined) return Infinity;
    const since = this.#clock.now() - reading.heardAt;
    return since + reading.clockMs - stampMs;
  }

  /** Forgets clocks and suspicions that no longer matter. */
  sweep(now: number): void {
    for (const [incarnation, reading] of this.#readings) {
      if (now - reading.heardAt > READING_KEPT_MS) {
        this.#readings.delete(incarnation);
      }
    }
    for (const [incarnation, until] of this.#suspectUntil) {
      if (until <= now) this.#suspectUntil.delete(incarnation);
    }
  }

  /** Whether a call comes from an instance that was heard. */
  recognises(from: PeerIdentity | undefined): boolean {
    const known = from && this.#places.get(from.instance);
    return known !== undefined && known.secret === from?.incarnation;
  }

  /** An instance as it was last heard, whichever its incarnation. */
  named(instance: string): KnownPlace | undefined {
    return this.#places.get(instance);
  }

  /** That very incarnation; undefined where another or none is known. */
  find(place: Place): KnownPlace | undefined {
    const known = this.#places.get(place.instance);
    return known?.incarnation === place.incarnation ? known : undefined;
  }

  all(): KnownPlace[] {
    return [...this.#places.values()];
  }

  /** Whether a place was not heard for long; a call to it would hang. */
  isSilent(place: KnownPlace): boolean {
    return this.#clock.now() - place.heardAt > PLACE_SILENT_MS;
  }

  /** Whether a place was heard lately and is there to stay. */
  usable(place: KnownPlace): boolean {
    const now = this.#clock.now();
    return !place.leaving && !this.isSilent(place) &&
      now >= (this.#suspectUntil.get(place.incarnation) ?? 0);
  }

  /** A call to a place failed; it is left alone for a while. */
  suspect(place: Place): void {
    const until = this.#clock.now() + PLACE_SUSPECT_MS;
    this.#suspectUntil.set(place.incarnation, until);
    this.#chosen = undefined;
  }

  /**
   * Second places in order of preference: another zone of the region, which
   * outlives the loss of the own zone, then the own zone. Instances spread
   * over them by hashing, so that no place gets the records of all others.
   */
  candidates(self: Place & Vicinity): readonly KnownPlace[] {
    const now = this.#clock.now();
    if (this.#chosen && now - this.#chosen.at < CHOSEN_MS) {
      return this.#chosen.places;
    }
    const places = this.#choose(self);
    this.#chosen = { at: now, places };
    return places;
  }

  #choose(self: Place & Vicinity): KnownPlace[] {
    return this.all()
      .filter((p) => p.region === self.region && this.usable(p))
      .map((place) => ({
        place,
        far: place.zone === self.zone ? 1 : 0,
        tie: mix(hashText(place.incarnation) ^ hashText(self.incarnation)),
      }))
      .sort((a, b) => a.far - b.far || a.tie - b.tie)
      .map((c) => c.place);
  }
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a, 32 bits; the same at every instance. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

/** The final mixing step of MurmurHash3, so that near inputs spread. */
export function mix(value: number): number {
  let h = value >>> 0;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
