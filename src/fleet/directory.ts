/**
 * Which instances callers are sent to.
 *
 * Callers choose one of the named instances at random for each connection, so
 * the answer names those of the caller's region: close, and the failure of one
 * moves only its own part of the callers. A region without any is served by the
 * others.
 *
 * @module
 */
import type { RegionId } from "../core/mod.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";

/** This instance's own part of the answer. */
export interface OwnEntry {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
}

/**
 * Most addresses that an answer names: what a caller takes from one answer.
 */
const MOST_ADDRESSES = 64;

/**
 * Addresses for callers of a region.
 *
 * @param others The other instances that take callers.
 *
 * @example
 * ```ts
 * callerAddresses(serving, own, region); // ["10.1.0.23:8389"]
 * ```
 */
export function callerAddresses(
  others: readonly InstanceProfile[],
  own: OwnEntry,
  region: RegionId | undefined,
): string[] {
  const serving = [...others];
  if (own.state === "serving") serving.push(own.profile);
  const near = serving.filter((p) => p.region === region);
  const named = near.length > 0 ? near : serving;
  return named.map((p) => p.callerAddress).sort().slice(0, MOST_ADDRESSES);
}
