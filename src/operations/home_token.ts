/**
 * Home tokens: which incarnation of an instance alone dispatches an operation,
 * and which one holds the second record of it.
 *
 * Without a token, two instances that get attempts of one operation would have
 * to agree on who runs it. With it, any instance reads the answer off the
 * request, and a restarted instance cannot mistake itself for its predecessor.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Result } from "neverthrow";
import { ok } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";

/** One life of an instance, as callers may know it. */
export interface Place {
  readonly instance: string;
  /** From {@link publicIncarnation}. */
  readonly incarnation: string;
}

/** How an instance shows its peers who it is. */
export interface PeerCredential {
  readonly instance: string;
  /** As its batches give it; known to peers alone. */
  readonly incarnation: string;
}

const PUBLIC_DIGITS = 16;

/**
 * The name of an incarnation that tokens carry. Peers take the incarnation
 * itself as proof of who calls, so a caller must not learn it.
 */
export function publicIncarnation(incarnation: string): string {
  const digest = createHash("sha256").update(incarnation).digest("hex");
  return digest.slice(0, PUBLIC_DIGITS);
}

/** What a token says. */
export interface HomeToken {
  readonly owner: Place;
  readonly second: Place;
  /** When it was handed out, in milliseconds of the owner's clock. */
  readonly issuedMs: number;
  /** Counts how often the caller was told `not-run` and began anew. */
  readonly round: number;
}

/**
 * A token this old, in milliseconds, starts nothing any more. It is half of
 * the time that a record is kept, so that an operation whose record is
 * forgotten can never be started again by an attempt that comes very late.
 */
export const TOKEN_LIFE_MS = 300_000;

const SEPARATOR = "~";
const PATTERN =
  /^[a-z0-9][a-z0-9._-]{0,63}~[0-9a-f]{1,32}~[a-z0-9][a-z0-9._-]{0,63}~[0-9a-f]{1,32}~\d{1,15}(~\d{1,6})?$/;

/**
 * Writes a token.
 *
 * @example
 * ```ts
 * formatHome({ owner, second, issuedMs: 1_000, round: 0 });
 * // "riga-1~0a~riga-2~0b~1000"
 * ```
 */
export function formatHome(home: HomeToken): string {
  const { owner, second, issuedMs, round } = home;
  const parts = [
    owner.instance,
    owner.incarnation,
    second.instance,
    second.incarnation,
    Math.floor(issuedMs),
  ];
  if (round > 0) parts.push(round);
  return parts.join(SEPARATOR);
}

/** Reads a token; fails with `bad_request`, outcome `not-run`. */
export function parseHome(text: string): Result<HomeToken, Failure> {
  if (!PATTERN.test(text)) {
    return fail("bad_request", "the home is not one that a look-up gave", {
      outcome: "not-run",
    });
  }
  const [owner, ownerLife, second, secondLife, issued, round] = text.split(
    SEPARATOR,
  ) as [string, string, string, string, string, string | undefined];
  return ok({
    owner: { instance: owner, incarnation: ownerLife },
    second: { instance: second, incarnation: secondLife },
    issuedMs: Number(issued),
    round: Number(round ?? 0),
  });
}

/**
 * What tells operations of one id apart: owner, second place and round, but
 * not when the token was handed out, which changes from look-up to look-up.
 */
export function scopeOf(home: HomeToken): string {
  const { owner, second, round } = home;
  return [owner.incarnation, second.incarnation, round].join(SEPARATOR);
}
