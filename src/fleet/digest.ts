/**
 * What an instance tells the others of itself, several times a second.
 *
 * A digest is whole: it needs no earlier one, so a lost, late or repeated one
 * does no harm. It is written as JSON, which Node.js reads faster than any
 * decoder in JavaScript, and checked on arrival.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { type EndpointId, fail, type Failure } from "../core/mod.ts";
import type { RatedId, RateUse } from "../decisions/quotas/mod.ts";
import {
  isName,
  isRecord,
  isState,
  numbers,
  type ProfileRow,
  profileRow,
  readProfile,
  readUses,
  type UseRow,
  useRows,
} from "./digest_rows.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";
import type { AgedLimits } from "./limit_rows.ts";

/** One digest. */
export interface Digest {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
  /** Differs with each start of the instance. */
  readonly start: string;
  /** Counts up with each digest of a start. */
  readonly seq: number;
  /** Version of the plan in force there; 0 before the first. */
  readonly planVersion: number;
  /** Whether it asks the store itself, and the store answers. */
  readonly storeInTouch: boolean;
  /** Whether it asks the store itself. */
  readonly isStoreWatcher: boolean;
  /** Whether it relays what its zone and the other zones report. */
  readonly relays: boolean;
  /** How much it can carry, compared with the others. */
  readonly capacity: number;
  /** Revision of the last change it knows of, by kind of object. */
  readonly changes: ReadonlyMap<string, number>;
  /** What was asked of and admitted for accounts. */
  readonly uses: ReadonlyMap<RatedId, RateUse>;
  /** Requests out at endpoints; none where there is no entry. */
  readonly inFlight: ReadonlyMap<EndpointId, number>;
  /** Limits that endpoints named, or ceased to name, in answers to it. */
  readonly limits: AgedLimits;
  /** Some other instances, for those who could not read the list. */
  readonly others: readonly InstanceProfile[];
}

/** Larger datagrams than this are dropped unread, in bytes. */
const MAX_DIGEST_BYTES = 16_384;
interface DigestJson {
  readonly p: ProfileRow;
  readonly s: InstanceState;
  readonly b: string;
  readonly n: number;
  readonly v: number;
  readonly t: boolean;
  readonly a: boolean;
  readonly c: number;
  readonly k: Record<string, number>;
  readonly d: Record<string, UseRow>;
  readonly f: Record<string, number>;
  readonly o: ProfileRow[];
}

/**
 * Writes a digest as a datagram.
 *
 * @example
 * ```ts
 * socket.send(encodeDigest(digest), port, host);
 * ```
 */
export function encodeDigest(digest: Digest): Buffer {
  const json: DigestJson = {
    p: profileRow(digest.profile),
    s: digest.state,
    b: digest.start,
    n: digest.seq,
    v: digest.planVersion,
    t: digest.storeInTouch,
    a: digest.isStoreWatcher,
    c: digest.capacity,
    k: Object.fromEntries(digest.changes),
    d: useRows(digest.uses),
    f: Object.fromEntries(digest.inFlight),
    o: digest.others.map(profileRow),
  };
  return Buffer.from(JSON.stringify(json));
}

/**
 * Reads a datagram.
 *
 * Errors: `bad_request` where it is not a digest.
 */
export function decodeDigest(bytes: Uint8Array): Result<Digest, Failure> {
  if (bytes.length > MAX_DIGEST_BYTES) {
    return fail("bad_request", "the datagram is too long");
  }
  let json: DigestJson;
  try {
    json = JSON.parse(Buffer.from(bytes).toString("utf8")) as DigestJson;
  } catch {
    return fail("bad_request", "the datagram is not JSON");
  }
  if (!isDigest(json)) return fail("bad_request", "the datagram is no digest");
  const profile = readProfile(json.p);
  if (profile.isErr()) return err(profile.error);
  return ok({
    profile: profile.value,
    state: json.s,
    start: json.b,
    seq: json.n,
    planVersion: json.v,
    storeInTouch: json.t === true,
    isStoreWatcher: json.a === true,
    // Builds that write JSON know of no relays and no limits.
    relays: false,
    capacity: typeof json.c === "number" && json.c > 0 ? json.c : 0,
    changes: isRecord(json.k) ? numbers<string>(json.k) : new Map(),
    uses: readUses(json.d),
    inFlight: numbers<EndpointId>(json.f),
    limits: new Map(),
    others: json.o.flatMap((row) => {
      const other = readProfile(row);
      return other.isOk() ? [other.value] : [];
    }),
  });
}

function isDigest(json: DigestJson | null): json is DigestJson {
  if (typeof json !== "object" || json === null) return false;
  return isState(json.s) &&
    isName(json.b) && Number.isSafeInteger(json.n) &&
    Number.isSafeInteger(json.v) && isRecord(json.d) && isRecord(json.f) &&
    Array.isArray(json.o);
}
