/**
 * State that an instance gossips about itself several times a second, and the
 * JSON encoding that the previous build sends and reads.
 *
 * A digest is self-contained, so a lost, late or duplicate one does no harm.
 * Node.js parses JSON faster than any decoder in JavaScript. Fields are
 * validated on arrival.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { type EndpointId, fail, type Failure } from "../core/mod.ts";
import type { RateLimitId, RateUse } from "../decisions/quotas/mod.ts";
import {
  isName,
  isRecord,
  isState,
  type ProfileRow,
  profileRow,
  readNumbers,
  readProfile,
  readUses,
  type UseRow,
  useRows,
} from "./digest_rows.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";
import type { AgedLimits } from "./limit_rows.ts";

/** State of one instance. */
export interface Digest {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
  /** Random id of this run of the instance; new after each restart. */
  readonly start: string;
  /** Sequence number within the run. */
  readonly seq: number;
  /** Version of the plan in force at the instance; 0 before the first. */
  readonly planVersion: number;
  /** Whether the instance watches the store and the store responds. */
  readonly storeInTouch: boolean;
  /** For how long the store has answered without a break, in ms; 0 if unknown. */
  readonly storeContactMs?: number | undefined;
  /** Whether the instance watches the store. */
  readonly isStoreWatcher: boolean;
  /** Whether the instance is its zone's relay. */
  readonly relays: boolean;
  /** Capacity relative to the other instances. */
  readonly capacity: number;
  /** Whether callers should be sent to others; it is serving all the same. */
  readonly isReserve?: boolean | undefined;
  /** Share of the capacity in use; undefined if unknown. */
  readonly utilization?: number | undefined;
  /** Binary logarithm of the link's bytes a second; undefined if unknown. */
  readonly linkClass?: number | undefined;
  /** Revision of the last change received, by kind of object. */
  readonly changes: ReadonlyMap<string, number>;
  /** Request rate and admissions of accounts and of rate-limited endpoints. */
  readonly uses: ReadonlyMap<RateLimitId, RateUse>;
  /** Requests in flight by endpoint; idle endpoints have no entry. */
  readonly inFlight: ReadonlyMap<EndpointId, number>;
  /** Rate limits that endpoints stated, or stopped stating, in responses. */
  readonly limits: AgedLimits;
  /** Some other instances, for recipients that cannot read the instance list. */
  readonly otherProfiles: readonly InstanceProfile[];
}

/** Longer datagrams are rejected without parsing. */
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
 * Encodes a digest as JSON.
 *
 * @example
 * ```ts
 * socket.send(encodeJsonDigest(digest), port, host);
 * ```
 */
export function encodeJsonDigest(digest: Digest): Buffer {
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
    o: digest.otherProfiles.map(profileRow),
  };
  return Buffer.from(JSON.stringify(json));
}

/**
 * Decodes a JSON digest.
 *
 * Errors: `bad_request` if the datagram is not a valid digest.
 */
export function decodeJsonDigest(bytes: Uint8Array): Result<Digest, Failure> {
  if (bytes.length > MAX_DIGEST_BYTES) {
    return fail("bad_request", "the datagram exceeds the size limit");
  }
  let json: DigestJson;
  try {
    json = JSON.parse(Buffer.from(bytes).toString("utf8")) as DigestJson;
  } catch {
    return fail("bad_request", "the datagram is not JSON");
  }
  if (!isDigest(json)) return fail("bad_request", "the digest is invalid");
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
    // Builds that send JSON have neither relays nor endpoint limits.
    relays: false,
    capacity: typeof json.c === "number" && json.c > 0 ? json.c : 0,
    changes: isRecord(json.k) ? readNumbers<string>(json.k) : new Map(),
    uses: readUses(json.d),
    inFlight: readNumbers<EndpointId>(json.f),
    limits: new Map(),
    otherProfiles: json.o.flatMap((row) => {
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
