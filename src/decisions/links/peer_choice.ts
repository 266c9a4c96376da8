/**
 * Selects the instances that serve requests in place of one that has lost its
 * links to the endpoints.
 *
 * Load: the same partition often affects most of a zone or region. If all of
 * its requests went to the few instances left there, these would be overloaded,
 * so then every serving instance takes a part.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";

/** An instance and its region. */
export interface Located {
  readonly region: RegionId;
}

/** Minimum share of a region's instances that can take the load of the rest. */
const MIN_SERVING_SHARE = 0.5;

/** Whether a region's serving instances can take the load of the others. */
export function canTakeOver(serving: number, isolated: number): boolean {
  return serving > 0 &&
    serving >= (serving + isolated) * MIN_SERVING_SHARE;
}

/**
 * The instances that may serve a request in place of one in `region`.
 *
 * @param serving Instances that reach the endpoints.
 * @param opts `isolated` is the number of instances in the region that do not
 * reach them; `allowed` are the regions that may see the request, all if
 * undefined.
 *
 * @example
 * ```ts
 * const peers = peersFor(serving, { region, isolated: 3, allowed: undefined });
 * ```
 */
export function peersFor<T extends Located>(
  serving: readonly T[],
  opts: {
    readonly region: RegionId;
    readonly isolated: number;
    readonly allowed: ReadonlySet<RegionId> | undefined;
  },
): readonly T[] {
  const { region, isolated, allowed } = opts;
  const permitted = allowed === undefined
    ? serving
    : serving.filter((p) => allowed.has(p.region));
  const near = permitted.filter((p) => p.region === region);
  return canTakeOver(near.length, isolated) ? near : permitted;
}
