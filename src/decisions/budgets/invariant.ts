/**
 * Invariants of budgets, asserted where amounts change.
 *
 * @module
 */

/** Differences below this are rounding of floating-point sums. */
export const ROUNDING = 1e-9;

/** A sum of parts that would pass its total: a fault of the program. */
export class InvariantError extends Error {
  override readonly name = "InvariantError";
}

/** Throws {@link InvariantError} unless `holds`. */
export function invariant(holds: boolean, what: string): asserts holds {
  if (!holds) throw new InvariantError(what);
}

/** Told that what a part was given cannot be accounted for. */
export type OnUnaccounted = (what: string) => void;

/** For models and tests: a fault of the program is an error at once. */
export function failUnaccounted(what: string): never {
  throw new InvariantError(what);
}
