/**
 * Selects the instances that callers connect to.
 *
 * Callers choose one of the listed instances at random for each connection, so
 * the response lists those of the caller's region: they are close, and the
 * failure of one moves only its own callers. A region without serving instances
 * gets those of all regions.
 *
 * @module
 */
import type { RegionId } from "../core/mod.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";

/** This instance and its state. */
export interface OwnInstance {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
}

/** A caller reads at most this many addresses from a response. */
const MAX_ADDRESSES = 64;

/**
 * Addresses for callers of a region.
 *
 * @param others The other serving instances.
 *
 * @example
 * ```ts
 * callerAddresses(serving, own, region); // ["10.1.0.23:8389"]
 * ```
 */
export function callerAddresses(
  others: readonly InstanceProfile[],
  own: OwnInstance,
  region: RegionId | undefined,
): string[] {
  const serving = [...others];
  if (own.state === "serving") serving.push(own.profile);
  const inRegion = serving.filter((p) => p.region === region);
  const selected = inRegion.length > 0 ? inRegion : serving;
  return selected.map((p) => p.callerAddress).sort().slice(0, MAX_ADDRESSES);
}
