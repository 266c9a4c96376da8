/**
 * Bounds the credit that the instances of a fleet add before reports show what
 * they send.
 *
 * Load: the demand for one endpoint rises at all instances at once, to any level.
 * An instance that has a request in ten seconds can't tell it from the first of a
 * burst, so what it may send must not follow from how many requests are expected.
 *
 * @module
 */

/** Standard deviations of the number of sends that have to fit as well. */
const DEVIATIONS = 2;

/** Sends that fit, and the instances that share them. */
export interface SendRoom {
  readonly sends: number;
  readonly instances: number;
}

/**
 * Credit that all instances may add together. A send costs a credit of 1 and the
 * rest is spread evenly over [0, 1), so `n` instances that add `a` each, less
 * than 1, send `n * a` times on average, with a variance of `n * a * (1 - a)`.
 *
 * @example
 * ```ts
 * creditBound({ sends: 20, instances: 72 }); // 13.4, which is 20 by two deviations
 * ```
 */
export function creditBound({ sends, instances }: SendRoom): number {
  if (sends <= 0) return 0;
  // The sends of an instance vary by a variance of a quarter at most.
  if (sends >= instances) return sends - DEVIATIONS * Math.sqrt(instances) / 2;
  // The smaller root of (n * a - sends)^2 = squared * n * a * (1 - a).
  const squared = DEVIATIONS * DEVIATIONS;
  const b = 2 * sends + squared;
  const c = (1 + squared / instances) * sends * sends;
  const each = (b - Math.sqrt(b * b - 4 * c)) / (2 * (instances + squared));
  return each * instances;
}
