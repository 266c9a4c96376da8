/**
 * Home tokens name the incarnation that alone may dispatch an operation, its
 * owner, and the backup that holds a second copy of its record.
 *
 * Without a token, two instances that receive attempts of one operation would
 * have to agree on who runs it. With it, any instance reads the owner from the
 * request, and a restarted instance is not taken for its predecessor.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";

/** An incarnation that keeps records, under its public name. */
export interface Replica {
  readonly instance: string;
  /** From {@link publicIncarnation}. */
  readonly incarnation: string;
}

/** Identifies an instance to its peers. */
export interface PeerCredential {
  readonly instance: string;
  /** The incarnation as sent in gossip batches; secret from callers. */
  readonly incarnation: string;
}

const PUBLIC_DIGITS = 16;

/**
 * The public name of an incarnation, used in tokens. Peers accept the
 * incarnation itself as proof of identity, so callers must not learn it.
 */
export function publicIncarnation(incarnation: string): string {
  const digest = createHash("sha256").update(incarnation).digest("hex");
  return digest.slice(0, PUBLIC_DIGITS);
}

/** The content of a home token. */
export interface HomeToken {
  readonly owner: Replica;
  readonly backup: Replica;
  /** Time of issue, in milliseconds of the owner's clock. */
  readonly issuedMs: number;
  /** How often the caller received `not-run` and started over. */
  readonly round: number;
}

/**
 * Age in milliseconds beyond which a token starts no new operation. It is half
 * the retention time of a record, so that a very late attempt cannot rerun an
 * operation whose record has expired.
 */
export const TOKEN_TTL_MS = 300_000;

const SEPARATOR = "~";
const PATTERN =
  /^[a-z0-9][a-z0-9._-]{0,63}~[0-9a-f]{1,32}~[a-z0-9][a-z0-9._-]{0,63}~[0-9a-f]{1,32}~\d{1,15}(~\d{1,6})?$/;

/**
 * Formats a home token.
 *
 * @example
 * ```ts
 * formatHomeToken({ owner, backup, issuedMs: 1_000, round: 0 });
 * // "riga-1~0a~riga-2~0b~1000"
 * ```
 */
export function formatHomeToken(home: HomeToken): string {
  const { owner, backup, issuedMs, round } = home;
  const parts = [
    owner.instance,
    owner.incarnation,
    backup.instance,
    backup.incarnation,
    Math.floor(issuedMs),
  ];
  if (round > 0) parts.push(round);
  return parts.join(SEPARATOR);
}

/** Parses a home token; fails with `bad_request`, outcome `not-run`. */
export function parseHomeToken(text: string): Result<HomeToken, Failure> {
  if (!PATTERN.test(text)) {
    return fail("bad_request", "the home token is malformed", {
      outcome: "not-run",
    });
  }
  const [owner, ownerIncarnation, backup, backupIncarnation, issued, round] =
    text.split(
      SEPARATOR,
    ) as [string, string, string, string, string, string | undefined];
  return ok({
    owner: { instance: owner, incarnation: ownerIncarnation },
    backup: { instance: backup, incarnation: backupIncarnation },
    issuedMs: Number(issued),
    round: Number(round ?? 0),
  });
}

/**
 * Distinguishes operations that share an id: owner, backup and round, but not
 * the time of issue, which differs between lookups.
 */
export function scopeOf(home: HomeToken): string {
  const { owner, backup, round } = home;
  return [owner.incarnation, backup.incarnation, round].join(SEPARATOR);
}
