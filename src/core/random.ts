/**
 * Injectable random numbers, so that a run can be reproduced from its seed.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";

/** Source of random numbers. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  below(bound: number): number;
  /** `bytes` random bytes as hexadecimal. */
  hex(bytes: number): string;
}

/**
 * Returns at most `maxCount` consecutive items, starting at a random position
 * and wrapping around.
 *
 * @example
 * ```ts
 * sampleConsecutive(["a", "b", "c"], 2, random); // for example ["c", "a"]
 * ```
 */
export function sampleConsecutive<T>(
  list: readonly T[],
  maxCount: number,
  random: Random,
): T[] {
  if (list.length === 0) return [];
  const from = random.below(list.length);
  return [...list.slice(from), ...list.slice(0, from)].slice(0, maxCount);
}

const FRACTION_STEPS = 0x7fffffff;

/** Reproducible numbers from a seed; for tests, soaks and decisions. */
export class SeededRandom implements Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformInt(this.#generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  below(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }

  hex(bytes: number): string {
    const digits = Array.from({ length: bytes }, () => this.below(256));
    return digits.map((d) => d.toString(16).padStart(2, "0")).join("");
  }
}

/** Numbers from a random seed; `hex` is cryptographically secure. */
export class SystemRandom extends SeededRandom {
  constructor() {
    super(randomBytes(4).readInt32LE(0));
  }

  override hex(bytes: number): string {
    return randomBytes(bytes).toString("hex");
  }
}
