/**
 * Selects the instances that callers connect to.
 *
 * Callers choose one of the listed instances at random for each connection, so
 * the response lists those of the caller's region: they are close, and the
 * failure of one moves only its own callers. A region without serving instances
 * gets those of all regions. Isolated instances are listed where too few others
 * are left: they pass requests on to serving ones. Reserves serve, but are left
 * out while enough others do.
 *
 * @module
 */
import type { InstanceId, RegionId } from "../core/mod.ts";
import { canTakeOver } from "../decisions/links/mod.ts";
import { withoutReserves } from "../decisions/reserves/mod.ts";
import type { InstanceProfile, InstanceState } from "./instance_profile.ts";

/** This instance and its state. */
export interface OwnInstance {
  readonly profile: InstanceProfile;
  readonly state: InstanceState;
}

/** A caller reads at most this many addresses from a response. */
const MAX_ADDRESSES = 64;

/** The other instances that callers may use. */
export interface OtherInstances {
  readonly serving: readonly InstanceProfile[];
  readonly isolated: readonly InstanceProfile[];
  /** Those of the serving instances, and this one, that are reserves. */
  readonly reserves?: ReadonlySet<InstanceId>;
}

/**
 * Addresses for callers of a region.
 *
 * @example
 * ```ts
 * callerAddresses({ serving, isolated }, own, region); // ["10.1.0.23:8389"]
 * ```
 */
export function callerAddresses(
  others: OtherInstances,
  own: OwnInstance,
  region: RegionId | undefined,
): string[] {
  const serving = withOwn(others.serving, own, "serving");
  const isolated = withOwn(others.isolated, own, "isolated");
  const selected = selectInRegion({ ...others, serving, isolated }, region);
  return selected.map((p) => p.callerAddress).sort().slice(0, MAX_ADDRESSES);
}

function withOwn(
  others: readonly InstanceProfile[],
  { profile, state }: OwnInstance,
  listed: InstanceState,
): readonly InstanceProfile[] {
  return state === listed ? [...others, profile] : others;
}

function selectInRegion(
  { serving, isolated, reserves }: OtherInstances,
  region: RegionId | undefined,
): readonly InstanceProfile[] {
  const near = serving.filter((p) => p.region === region);
  const nearIsolated = isolated.filter((p) => p.region === region);
  const named = withoutReserves(near, ({ id }) => reserves?.has(id) ?? false);
  if (canTakeOver(named.length, nearIsolated.length)) return named;
  if (canTakeOver(near.length, nearIsolated.length)) return near;
  if (near.length + nearIsolated.length > 0) return [...near, ...nearIsolated];
  return serving.length > 0 ? serving : isolated;
}
