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
import {
  type AccountId,
  type EndpointId,
  fail,
  type Failure,
  type InstanceId,
  type RegionId,
  type ZoneId,
} from "../core/mod.ts";
import type { AccountUse } from "../decisions/quotas/mod.ts";

/** Whether an instance takes callers. */
export type InstanceState = "starting" | "serving" | "leaving";

/** Where an instance stands and can be reached. */
export interface InstanceProfile {
  readonly id: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Host and port for callers. */
  readonly callerAddress: string;
  /** Host and port for digests. */
  readonly digestAddress: string;
}

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
  /** Whether it is in touch with the store. */
  readonly storeInTouch: boolean;
  /** What was asked of and admitted for accounts. */
  readonly uses: ReadonlyMap<AccountId, AccountUse>;
  /** Requests out at endpoints; none where there is no entry. */
  readonly inFlight: ReadonlyMap<EndpointId, number>;
  /** Some other instances, for those who could not read the list. */
  readonly others: readonly InstanceProfile[];
}

/** Larger datagrams than this are dropped unread, in bytes. */
const MAX_DIGEST_BYTES = 16_384;
/** Names longer than this are no names of ours, in characters. */
const MAX_NAME = 128;

/** Profile as a list, to keep digests small. */
type ProfileRow = [string, string, string, string, string];

/** Requests a second, requests admitted, tokens. */
type UseRow = [number, number, number];

interface DigestJson {
  readonly p: ProfileRow;
  readonly s: InstanceState;
  readonly b: string;
  readonly n: number;
  readonly v: number;
  readonly t: boolean;
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
    uses: readUses(json.d),
    inFlight: numbers<EndpointId>(json.f),
    others: json.o.flatMap((row) => {
      const other = readProfile(row);
      return other.isOk() ? [other.value] : [];
    }),
  });
}

function isDigest(json: DigestJson | null): json is DigestJson {
  if (typeof json !== "object" || json === null) return false;
  return ["starting", "serving", "leaving"].includes(json.s) &&
    isName(json.b) && Number.isSafeInteger(json.n) &&
    Number.isSafeInteger(json.v) && isRecord(json.d) && isRecord(json.f) &&
    Array.isArray(json.o);
}

function isRecord(value: unknown): boolean {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isName(value: unknown): value is string {
  return typeof value === "string" && value.length > 0 &&
    value.length <= MAX_NAME;
}

function profileRow(profile: InstanceProfile): ProfileRow {
  const { id, zone, region, callerAddress, digestAddress } = profile;
  return [id, zone, region, callerAddress, digestAddress];
}

function readProfile(row: unknown): Result<InstanceProfile, Failure> {
  if (!Array.isArray(row) || row.length !== 5 || !row.every(isName)) {
    return fail("bad_request", "the datagram names no instance");
  }
  const [id, zone, region, callerAddress, digestAddress] = row as ProfileRow;
  return ok({
    id: id as InstanceId,
    zone: zone as ZoneId,
    region: region as RegionId,
    callerAddress,
    digestAddress,
  });
}

function useRows(
  uses: ReadonlyMap<AccountId, AccountUse>,
): Record<string, UseRow> {
  const rows: Record<string, UseRow> = {};
  for (const [account, { perS, admitted, level }] of uses) {
    rows[account] = [round(perS), admitted, round(level)];
  }
  return rows;
}

function readUses(rows: Record<string, unknown>): Map<AccountId, AccountUse> {
  const uses = new Map<AccountId, AccountUse>();
  for (const [account, row] of Object.entries(rows)) {
    if (!Array.isArray(row) || !row.every(Number.isFinite)) continue;
    const [perS, admitted, level] = row as UseRow;
    if (!(perS >= 0) || !(admitted >= 0) || level === undefined) continue;
    uses.set(account as AccountId, { perS, admitted, level });
  }
  return uses;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function numbers<Id extends string>(
  record: Record<string, unknown>,
): Map<Id, number> {
  const entries = Object.entries(record).filter(([, n]) =>
    typeof n === "number" && Number.isFinite(n) && n >= 0
  );
  return new Map(entries as [Id, number][]);
}
