/**
 * What a zone's speaker tells the other zones of all instances of its zone.
 *
 * The load it answers: digests from each instance to each other cost each of n
 * instances 4n messages a second both ways, and all of them n times as much
 * between regions. With 80 instances that is a tenth of a small core for each
 * and 20 MB a second on links that are paid by the byte. Summed by zone, what
 * crosses zones grows with the zones and not with the instances.
 *
 * Like a digest it is whole. It is compressed: the names of accounts and
 * endpoints recur, and it shrinks to a third.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  type AccountId,
  type EndpointId,
  fail,
  type Failure,
  type InstanceId,
  packJson,
  type RegionId,
  unpackJson,
  type ZoneId,
} from "../core/mod.ts";
import type { AccountUse, Reserved } from "../decisions/quotas/mod.ts";
import {
  isName,
  isRecord,
  isState,
  numbers,
  readUses,
  type UseRow,
  useRows,
} from "./digest_rows.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";

/** An instance of the zone. */
export interface ZoneMember {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
}

/** One digest of a zone. */
export interface ZoneDigest {
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly speaker: InstanceId;
  /** Differs with each start of the speaker. */
  readonly start: string;
  /** Counts up with each digest of a start. */
  readonly seq: number;
  /** Whether an instance of the zone asks the store, and the store answers. */
  readonly storeInTouch: boolean;
  /** Revision of the last change that the speaker knows of, by kind. */
  readonly changes: ReadonlyMap<string, number>;
  /** Instances of the zone that are heard, the speaker included. */
  readonly members: readonly ZoneMember[];
  /** Instances whose uses are in the sums. */
  readonly instances: number;
  /** What is set aside for instances of the zone that are not heard. */
  readonly reserved: Reserved;
  /** What was asked of and admitted for accounts, summed. */
  readonly uses: ReadonlyMap<AccountId, AccountUse>;
  /** Requests out at endpoints, summed; none where there is no entry. */
  readonly inFlight: ReadonlyMap<EndpointId, number>;
}

/** Longer ones are dropped unread, in bytes, as sent and unpacked. */
const MAX_BYTES = 32_768;
const MAX_UNPACKED_BYTES = 262_144;

/** Id, address for callers, address for digests, state. */
type MemberRow = [string, string, string, InstanceState];

interface ZoneDigestJson {
  readonly z: string;
  readonly g: string;
  readonly i: string;
  readonly b: string;
  readonly n: number;
  readonly t: boolean;
  readonly k: Record<string, number>;
  readonly m: MemberRow[];
  readonly d: Record<string, UseRow>;
  readonly f: Record<string, number>;
  /** Earlier builds do not say these. */
  readonly c?: number;
  readonly r?: Record<string, number>;
  readonly w?: number;
}

/**
 * Writes a zone's digest as a datagram.
 *
 * @example
 * ```ts
 * datagrams.send("zone", address, encodeZoneDigest(digest));
 * ```
 */
export function encodeZoneDigest(digest: ZoneDigest): Buffer {
  const json: ZoneDigestJson = {
    z: digest.zone,
    g: digest.region,
    i: digest.speaker,
    b: digest.start,
    n: digest.seq,
    t: digest.storeInTouch,
    k: Object.fromEntries(digest.changes),
    m: digest.members.map(({ profile, state }) => [
      profile.id,
      profile.callerAddress,
      profile.digestAddress,
      state,
    ]),
    d: useRows(digest.uses),
    f: Object.fromEntries(digest.inFlight),
    c: digest.instances,
    r: Object.fromEntries(digest.reserved.shares),
    w: digest.reserved.instances,
  };
  return packJson(json);
}

/**
 * Reads a datagram.
 *
 * Errors: `bad_request` where it is not a zone's digest.
 */
export function decodeZoneDigest(
  bytes: Uint8Array,
): Result<ZoneDigest, Failure> {
  if (bytes.length > MAX_BYTES) {
    return fail("bad_request", "the datagram is too long");
  }
  const read = unpack(bytes);
  if (read.isErr()) return err(read.error);
  const json = read.value;
  const zone = json.z as ZoneId;
  const region = json.g as RegionId;
  const { c: instances, r: shares = {}, w: unheard } = json;
  const members = json.m.filter(isMember);
  return ok({
    zone,
    region,
    speaker: json.i as InstanceId,
    start: json.b,
    seq: json.n,
    storeInTouch: json.t === true,
    changes: numbers<string>(json.k),
    members: members.map(([id, caller, address, state]) => ({
      profile: {
        id: id as InstanceId,
        zone,
        region,
        callerAddress: caller,
        digestAddress: address,
      },
      state,
    })),
    instances: isCount(instances) ? instances : members.length,
    reserved: {
      shares: isRecord(shares) ? numbers<AccountId>(shares) : new Map(),
      instances: isCount(unheard) ? unheard : 0,
    },
    uses: readUses(json.d),
    inFlight: numbers<EndpointId>(json.f),
  });
}

function unpack(bytes: Uint8Array): Result<ZoneDigestJson, Failure> {
  let json: unknown;
  try {
    json = unpackJson(bytes, MAX_UNPACKED_BYTES);
  } catch {
    return fail("bad_request", "the datagram cannot be unpacked");
  }
  if (!isZoneDigest(json)) {
    return fail("bad_request", "the datagram is no digest of a zone");
  }
  return ok(json);
}

function isZoneDigest(json: unknown): json is ZoneDigestJson {
  if (!isRecord(json)) return false;
  const { z, g, i, b, n, k, m, d, f } = json as unknown as ZoneDigestJson;
  return [z, g, i, b].every(isName) && Number.isSafeInteger(n) &&
    Array.isArray(m) && [k, d, f].every(isRecord);
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isMember(row: unknown): row is MemberRow {
  return Array.isArray(row) && row.length === 4 &&
    row.slice(0, 3).every(isName) && isState(row[3]);
}
