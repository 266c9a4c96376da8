/**
 * Budget invariants, asserted where amounts change.
 *
 * @module
 */

/** Tolerance for rounding in floating-point sums. */
export const EPSILON = 1e-9;

/** A violated invariant, such as shares above their total: a program fault. */
export class InvariantError extends Error {
  override readonly name = "InvariantError";
}

/** Throws {@link InvariantError} unless `holds`. */
export function invariant(holds: boolean, what: string): asserts holds {
  if (!holds) throw new InvariantError(what);
}

/** Called when the amounts held exceed the total. */
export type OnOverallocated = (what: string) => void;

/** For models and tests: throws at once. */
export function throwOnOverallocation(what: string): never {
  throw new InvariantError(what);
}
