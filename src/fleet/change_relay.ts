/**
 * Changes in the store as they are passed on within a zone.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { fail, type Failure } from "../core/mod.ts";
import { ok, type Result } from "neverthrow";
import type { RelayedChange, RelayedChanges } from "../watcher/mod.ts";
import { isName, isRecord } from "./digest_rows.ts";

/**
 * Changes of more than this are not sent but announced, in bytes: a datagram is
 * lost whole with any of its packets.
 */
const MOST_BYTES = 8_192;

interface ChangesJson {
  readonly k: string;
  readonly a: number;
  readonly u: number;
  readonly h: number;
  readonly c?: readonly [unknown, boolean][];
}

/** Writes changes as a datagram. */
export function encodeChanges(batch: RelayedChanges): Buffer {
  const { kind: k, after: a, upTo: u, holdMs: h, changes } = batch;
  const c = changes?.map(({ raw, deleted }) => [raw, deleted] as const);
  const bytes = Buffer.from(JSON.stringify({ k, a, u, h, c }));
  if (bytes.length <= MOST_BYTES) return bytes;
  return Buffer.from(JSON.stringify({ k, a, u, h }));
}

/**
 * Reads a datagram.
 *
 * Errors: `bad_request` where it holds no changes.
 */
export function decodeChanges(
  bytes: Uint8Array,
): Result<RelayedChanges, Failure> {
  let json: ChangesJson;
  try {
    json = JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    return fail("bad_request", "the datagram is not JSON");
  }
  if (!isRecord(json) || !isName(json.k)) return noChanges();
  const { k: kind, a: after, u: upTo, h: holdMs, c } = json;
  if (![after, upTo, holdMs].every((n) => Number.isFinite(n) && n >= 0)) {
    return noChanges();
  }
  if (c !== undefined && !Array.isArray(c)) return noChanges();
  const changes = c?.map(([raw, deleted]): RelayedChange => ({
    raw,
    deleted: deleted === true,
  }));
  return ok({ kind, after, upTo, holdMs, changes });
}

function noChanges(): Result<never, Failure> {
  return fail("bad_request", "the datagram holds no changes");
}
