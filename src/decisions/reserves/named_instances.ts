/**
 * Selects the serving instances of a region that callers are sent to.
 *
 * @module
 */

/**
 * Minimum number of instances that callers choose among; with fewer, reserves
 * are named as well. The last one left would get all callers of its region.
 */
const MIN_NAMED = 2;

/**
 * The serving instances without the reserves, or all of them if too few are
 * left.
 *
 * @example
 * ```ts
 * withoutReserves(serving, (p) => reserves.has(p.id));
 * ```
 */
export function withoutReserves<T>(
  serving: readonly T[],
  isReserve: (instance: T) => boolean,
): readonly T[] {
  const named = serving.filter((instance) => !isReserve(instance));
  return named.length >= MIN_NAMED ? named : serving;
}
