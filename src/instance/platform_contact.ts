/**
 * How long ago this instance could last have learned of a change: when it, or
 * an instance it heard, read the manifest from the platform.
 *
 * A zone that is cut off cannot learn that a key was withdrawn. Without this
 * measure it would go on taking the key for as long as the cut lasts.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock } from "../core/mod.ts";
import { DocumentPartSchema } from "../gen/document_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";

/** Contact with the platform, direct or through peers. */
export class PlatformContact implements PeerSubsystem {
  readonly #clock: Clock;
  /** None at first: an instance that starts in a cut-off zone makes it no younger. */
  #at = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The manifest was read by a call that began at `at`. */
  note(at: number): void {
    this.#at = Math.max(this.#at, at);
  }

  /** How long there has been no contact, in milliseconds; Infinity if never. */
  ageMs(): number {
    return this.#clock.now() - this.#at;
  }

  fill(batch: Batch): void {
    const age = this.ageMs();
    const known = Number.isFinite(age) ? { contactAgeMs: age } : {};
    batch.document = create(DocumentPartSchema, known);
  }

  /**
   * Only an answer counts, from when it was asked for: a message that came
   * late would make an old contact look new.
   */
  receive(batch: Batch, _from: Sender, askedAt?: number): void {
    const age = batch.document?.contactAgeMs;
    if (age === undefined || askedAt === undefined) return;
    if (age >= 0) this.note(askedAt - age);
  }
}
