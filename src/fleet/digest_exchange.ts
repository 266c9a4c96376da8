/**
 * Gossip: sends digests to other instances and receives theirs.
 *
 * Datagrams and not streams: a late digest is worthless, and a stream behind a
 * partition looks like one whose peer is idle until it times out.
 *
 * @module
 */
import type { Clock, Random, Timer } from "../core/mod.ts";
import { decodeCompactDigest, encodeCompactDigest } from "./compact_digest.ts";
import type { Datagrams } from "./datagrams.ts";
import { decodeJsonDigest, type Digest, encodeJsonDigest } from "./digest.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import type { NameDictionary } from "./name_dictionary.ts";
import type { Peer, PeerTable } from "./peer_table.ts";

/** Period of digests, in milliseconds; shares of rates lag by it. */
export const DIGEST_EVERY_MS = 250;
/** One digest in so many carries the sender's profile, as do the first. */
const INTRODUCED_EVERY = 8;
export const INTRODUCED_FIRST = 4;
/** Unreachable instances get one digest in so many: they may be gone. */
const SILENT_EVERY = 4;

/**
 * Recipients of a period.
 *
 * @param seq Counts the periods.
 */
export function toTell(
  peers: readonly Peer[],
  seq: number,
): readonly InstanceProfile[] {
  const also = (seq + 1) % SILENT_EVERY === 0;
  return peers.filter((p) => !p.unreachable || also).map((p) => p.profile);
}

/** What the exchange works with. */
export interface DigestExchangeOptions {
  readonly datagrams: Datagrams;
  readonly peers: PeerTable;
  readonly book: NameDictionary;
  readonly clock: Clock;
  readonly random: Random;
  /** Addresses to try while no instance is known. */
  readonly seeds: readonly string[];
  /** To whom a digest goes. */
  readonly recipients: (seq: number) => readonly InstanceProfile[];
  /** This instance's digest of this moment; `toNewcomer` where one reads it. */
  readonly compose: (seq: number, toNewcomer: boolean) => Digest;
  /** Runs each period, after the digest was sent. */
  readonly reported: (digest: Digest) => void;
}

/** The exchange of one instance. */
export class DigestExchange {
  readonly #opts: DigestExchangeOptions;
  #timer: Timer | undefined;
  #seq = 0;
  #last: Digest | undefined;
  /** Whether an instance was heard that has just started. */
  #newcomer = false;

  constructor(opts: DigestExchangeOptions) {
    this.#opts = opts;
    const { datagrams, peers, book, clock } = opts;
    const profileOf = (idHash: number) => peers.profileOf(idHash);
    const decode = (bytes: Uint8Array) =>
      decodeCompactDigest(bytes, { dictionary: book, profileOf });
    datagrams.onDecoded("compactDigest", decode, (digest) => {
      if (digest === undefined) return;
      if (digest.seq < INTRODUCED_FIRST) this.#newcomer = true;
      peers.heard(digest, clock.now());
    });
    datagrams.onDecoded("digest", decodeJsonDigest, (digest) => {
      peers.heard(digest, clock.now());
      this.#answerEarlierBuild(digest.profile);
    });
  }

  /** Sends the first digest at once, then one each period. */
  start(): void {
    this.tell();
    this.#schedule();
  }

  /** Sends a digest now, as after a change that others should know at once. */
  tell(): void {
    const { compose, recipients, datagrams, book, seeds, reported } =
      this.#opts;
    const seq = this.#seq++;
    const introduces = this.#newcomer || seq < INTRODUCED_FIRST ||
      seq % INTRODUCED_EVERY === 0;
    const digest = compose(seq, this.#newcomer);
    this.#newcomer = false;
    this.#last = digest;
    const bytes = encodeCompactDigest(digest, {
      dictionary: book,
      includeProfiles: introduces,
    });
    const to = recipients(digest.seq).map((p) => p.digestAddress);
    datagrams.send("compactDigest", to.length > 0 ? to : seeds, bytes);
    reported(digest);
  }

  close(): void {
    this.#timer?.close();
  }

  /**
   * While builds change, an instance of the previous one cannot read what is
   * told to all. It is told in its own format each time that it tells, or it
   * would take this one for gone and set its share of rates aside.
   */
  #answerEarlierBuild({ digestAddress }: InstanceProfile): void {
    if (this.#last === undefined) return;
    const bytes = encodeJsonDigest(this.#last);
    this.#opts.datagrams.send("digest", [digestAddress], bytes);
  }

  #schedule(): void {
    const { clock, random, peers } = this.#opts;
    const waitMs = DIGEST_EVERY_MS * (0.9 + 0.2 * random.next());
    this.#timer = clock.after(waitMs, () => {
      peers.tick(clock.now());
      this.tell();
      this.#schedule();
    });
  }
}
