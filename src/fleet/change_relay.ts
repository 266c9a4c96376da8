/**
 * Encoding of changes in the store that instances forward to each other.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { fail, type Failure } from "../core/mod.ts";
import { ok, type Result } from "neverthrow";
import type { RelayedChange, RelayedChanges } from "../watcher/mod.ts";
import { isName, isRecord } from "./digest_rows.ts";

/**
 * Larger batches are announced without their content: the loss of any IP
 * fragment loses the whole datagram.
 */
const MAX_CHANGES_BYTES = 8_192;

interface ChangesJson {
  readonly k: string;
  readonly a: number;
  readonly u: number;
  readonly h: number;
  readonly c?: readonly [unknown, boolean][];
}

/** Encodes changes as JSON. */
export function encodeChanges(batch: RelayedChanges): Buffer {
  const { kind: k, after: a, upTo: u, holdMs: h, changes } = batch;
  const c = changes?.map(({ raw, deleted }) => [raw, deleted] as const);
  const bytes = Buffer.from(JSON.stringify({ k, a, u, h, c }));
  if (bytes.length <= MAX_CHANGES_BYTES) return bytes;
  return Buffer.from(JSON.stringify({ k, a, u, h }));
}

/**
 * Decodes changes.
 *
 * Errors: `bad_request` if the datagram holds no valid changes.
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
  if (!isRecord(json) || !isName(json.k)) return invalidChanges();
  const { k: kind, a: after, u: upTo, h: holdMs, c } = json;
  if (![after, upTo, holdMs].every((n) => Number.isFinite(n) && n >= 0)) {
    return invalidChanges();
  }
  if (c !== undefined && !Array.isArray(c)) return invalidChanges();
  const changes = c?.map(([raw, deleted]): RelayedChange => ({
    raw,
    deleted: deleted === true,
  }));
  return ok({ kind, after, upTo, holdMs, changes });
}

function invalidChanges(): Result<never, Failure> {
  return fail("bad_request", "the datagram holds no valid changes");
}
