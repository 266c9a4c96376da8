/**
 * Rows of JSON digests, as short arrays, and their validation.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  fail,
  type Failure,
  type InstanceId,
  type RegionId,
  roundToHundredth,
  type ZoneId,
} from "../core/mod.ts";
import type { RateLimitId, RateUse } from "../decisions/quotas/mod.ts";
import {
  INSTANCE_STATES,
  type InstanceProfile,
  type InstanceState,
} from "./instance_profile.ts";

/** Longer names are rejected, in characters. */
const MAX_NAME_LENGTH = 128;

/** Profile as an array, to keep digests small. */
export type ProfileRow = [string, string, string, string, string];

/** Requests per second, requests admitted, tokens. */
export type UseRow = [number, number, number];

export function isState(value: unknown): value is InstanceState {
  return INSTANCE_STATES.some((state) => state === value);
}

export function isRecord(value: unknown): boolean {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

export function isName(value: unknown): value is string {
  return typeof value === "string" && value.length > 0 &&
    value.length <= MAX_NAME_LENGTH;
}

export function profileRow(profile: InstanceProfile): ProfileRow {
  const { id, zone, region, callerAddress, digestAddress } = profile;
  return [id, zone, region, callerAddress, digestAddress];
}

export function readProfile(row: unknown): Result<InstanceProfile, Failure> {
  if (!Array.isArray(row) || row.length !== 5 || !row.every(isName)) {
    return fail("bad_request", "the datagram has an invalid instance profile");
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

export function useRows(
  uses: ReadonlyMap<RateLimitId, RateUse>,
): Record<string, UseRow> {
  const rows: Record<string, UseRow> = {};
  for (const [account, { perS, admitted, level }] of uses) {
    rows[account] = [roundToHundredth(perS), admitted, roundToHundredth(level)];
  }
  return rows;
}

export function readUses(
  rows: Record<string, unknown>,
): Map<RateLimitId, RateUse> {
  const uses = new Map<RateLimitId, RateUse>();
  for (const [account, row] of Object.entries(rows)) {
    if (!Array.isArray(row) || !row.every(Number.isFinite)) continue;
    const [perS, admitted, level] = row as UseRow;
    if (!(perS >= 0) || !(admitted >= 0) || level === undefined) continue;
    uses.set(account as RateLimitId, { perS, admitted, level });
  }
  return uses;
}

export function readNumbers<Id extends string>(
  record: Record<string, unknown>,
): Map<Id, number> {
  const entries = Object.entries(record).filter(([, n]) =>
    typeof n === "number" && Number.isFinite(n) && n >= 0
  );
  return new Map(entries as [Id, number][]);
}
