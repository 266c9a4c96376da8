/**
 * Figures that several benchmarks take or print.
 *
 * @module
 */
import process from "node:process";

/** Bytes in use after a garbage collection; needs `--expose-gc`. */
export function memoryInUse(): number {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/**
 * A figure with a number of decimals.
 *
 * @example
 * ```ts
 * roundTo(0.1234, 2); // 0.12
 * ```
 */
export function roundTo(value: number, decimals: number): number {
  const factor = 10 ** decimals;
  return Math.round(value * factor) / factor;
}
