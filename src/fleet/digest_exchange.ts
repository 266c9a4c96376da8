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

/** Gossip period; shares of rates lag by it. */
export const DIGEST_INTERVAL_MS = 250;
/** One digest in this many carries profiles, as do the first ones. */
const PROFILE_INTERVAL_DIGESTS = 8;
/** An instance counts as just started for its first digests. */
export const NEWCOMER_DIGESTS = 4;
/** Unreachable instances, which may have ended, get one digest in this many. */
const UNREACHABLE_INTERVAL_PERIODS = 4;

/**
 * Recipients of a digest.
 *
 * @param seq Counts the periods.
 */
export function gossipRecipients(
  peers: readonly Peer[],
  seq: number,
): readonly InstanceProfile[] {
  const toUnreachable = isSentToUnreachable(seq);
  return peers.filter((p) => !p.unreachable || toUnreachable).map((p) =>
    p.profile
  );
}

/** Whether a digest is also sent to unreachable instances. */
function isSentToUnreachable(seq: number): boolean {
  return (seq + 1) % UNREACHABLE_INTERVAL_PERIODS === 0;
}

export interface DigestExchangeOptions {
  readonly datagrams: Datagrams;
  readonly peers: PeerTable;
  readonly dictionary: NameDictionary;
  readonly clock: Clock;
  readonly random: Random;
  /** Addresses to try while no instance is known. */
  readonly seeds: readonly string[];
  readonly recipients: (seq: number) => readonly InstanceProfile[];
  /** Composes the digest; `toNewcomer` if an instance has just started. */
  readonly compose: (seq: number, toNewcomer: boolean) => Digest;
  /** Called after each digest was sent. */
  readonly onSent: (digest: Digest) => void;
}

export class DigestExchange {
  readonly #opts: DigestExchangeOptions;
  #timer: Timer | undefined;
  #seq = 0;
  #lastDigest: Digest | undefined;
  /** Whether an instance that has just started sent a digest. */
  #hasNewcomer = false;

  constructor(opts: DigestExchangeOptions) {
    this.#opts = opts;
    const { datagrams, peers, dictionary, clock } = opts;
    const profileOf = (idHash: number) => peers.profileOf(idHash);
    const decode = (bytes: Uint8Array) =>
      decodeCompactDigest(bytes, { dictionary, profileOf });
    datagrams.onDecoded("compactDigest", decode, (digest) => {
      if (digest === undefined) return;
      if (digest.seq < NEWCOMER_DIGESTS) this.#hasNewcomer = true;
      peers.heard(digest, clock.now());
    });
    datagrams.onDecoded("digest", decodeJsonDigest, (digest) => {
      peers.heard(digest, clock.now());
      this.#replyToPreviousBuild(digest.profile);
    });
  }

  /** Sends the first digest at once, then one each period. */
  start(): void {
    this.sendNow();
    this.#schedule();
  }

  /** Sends a digest now, as after a change that others need at once. */
  sendNow(): void {
    const { compose, recipients, datagrams, dictionary, seeds, onSent } =
      this.#opts;
    const seq = this.#seq++;
    const includeProfiles = this.#hasNewcomer || seq < NEWCOMER_DIGESTS ||
      seq % PROFILE_INTERVAL_DIGESTS === 0 || this.#reachesUnreachable(seq);
    const digest = compose(seq, this.#hasNewcomer);
    this.#hasNewcomer = false;
    this.#lastDigest = digest;
    const bytes = encodeCompactDigest(digest, {
      dictionary,
      includeProfiles,
    });
    const to = recipients(digest.seq).map((p) => p.digestAddress);
    datagrams.send("compactDigest", to.length > 0 ? to : seeds, bytes);
    onSent(digest);
  }

  close(): void {
    this.#timer?.close();
  }

  /**
   * Whether a digest is sent to an unreachable instance. After a restart that
   * may not know this instance yet, and cannot read a digest without a profile.
   */
  #reachesUnreachable(seq: number): boolean {
    return isSentToUnreachable(seq) &&
      this.#opts.peers.peers().some((p) => p.unreachable);
  }

  /**
   * During an update an instance of the previous build cannot read compact
   * digests. Each of its digests is answered in its own format; otherwise it
   * would consider this instance unreachable and reserve its share of rates.
   */
  #replyToPreviousBuild({ digestAddress }: InstanceProfile): void {
    if (this.#lastDigest === undefined) return;
    const bytes = encodeJsonDigest(this.#lastDigest);
    this.#opts.datagrams.send("digest", [digestAddress], bytes);
  }

  #schedule(): void {
    const { clock, random, peers } = this.#opts;
    const waitMs = DIGEST_INTERVAL_MS * (0.9 + 0.2 * random.next());
    this.#timer = clock.after(waitMs, () => {
      peers.tick(clock.now());
      this.sendNow();
      this.#schedule();
    });
  }
}
