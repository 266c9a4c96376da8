/**
 * Rounding of figures for digests and logs.
 *
 * @module
 */

/**
 * Rounds to two decimal places.
 *
 * @example
 * ```ts
 * roundToHundredth(2.204); // 2.2
 * ```
 */
export function roundToHundredth(value: number): number {
  return Math.round(value * 100) / 100;
}
