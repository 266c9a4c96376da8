/**
 * Tracks the age of the last manifest read from the platform, by this instance
 * or by a peer that reported it.
 *
 * A partitioned zone cannot learn that a key was withdrawn. Without this age it
 * would accept the key for as long as the partition lasts.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock } from "../core/mod.ts";
import { DocumentPartSchema } from "../gen/document_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";

/** Time of the last contact with the platform, direct or through peers. */
export class PlatformContact implements PeerSubsystem {
  readonly #clock: Clock;
  /** Starts at none, so that a new instance in a partitioned zone counts as no contact. */
  #lastContactAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a manifest read whose call started at `at`. */
  record(at: number): void {
    this.#lastContactAt = Math.max(this.#lastContactAt, at);
  }

  /** Time since the last contact, in milliseconds; Infinity if there was none. */
  ageMs(): number {
    return this.#clock.now() - this.#lastContactAt;
  }

  fill(batch: Batch): void {
    const age = this.ageMs();
    const known = Number.isFinite(age) ? { contactAgeMs: age } : {};
    batch.document = create(DocumentPartSchema, known);
  }

  /**
   * Only responses count, dated from their request: a delayed message would
   * make an old contact look recent.
   */
  receive(batch: Batch, _from: Sender, askedAt?: number): void {
    const age = batch.document?.contactAgeMs;
    if (age === undefined || askedAt === undefined) return;
    if (age >= 0) this.record(askedAt - age);
  }
}
