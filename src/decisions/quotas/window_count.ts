/**
 * How many requests of an account the fleet has admitted lately.
 *
 * @module
 */

/** Parts of a window that are counted apart. */
const PARTS = 50;

/** Counts over a window that moves on in small steps. */
export class WindowCount {
  readonly #partMs: number;
  readonly #parts = new Float64Array(PARTS + 1);
  #part: number;
  #sum = 0;

  constructor(windowMs: number, now: number) {
    this.#partMs = windowMs / PARTS;
    this.#part = this.#partAt(now);
  }

  /** Requests within the window. */
  sum(now: number): number {
    this.#moveOn(now);
    return this.#sum;
  }

  /** Counts requests that were admitted just now. */
  add(n: number, now: number): void {
    this.#moveOn(now);
    const i = this.#part % this.#parts.length;
    this.#parts[i] = (this.#parts[i] ?? 0) + n;
    this.#sum += n;
  }

  /** Takes so many to have been admitted, evenly, until `sinceMs` ago. */
  assume(n: number, sinceMs: number, now: number): void {
    this.#moveOn(now);
    this.#parts.fill(0);
    const suspect = Math.min(PARTS, Math.floor(sinceMs / this.#partMs));
    this.#sum = 0;
    for (let ago = suspect; ago <= PARTS; ago++) {
      const i = this.#index(this.#part - ago);
      this.#parts[i] = n / (PARTS + 1);
      this.#sum += n / (PARTS + 1);
    }
  }

  #moveOn(now: number): void {
    const part = this.#partAt(now);
    const steps = Math.min(this.#parts.length, part - this.#part);
    for (let step = 1; step <= steps; step++) {
      const i = this.#index(part - steps + step);
      this.#sum -= this.#parts[i] ?? 0;
      this.#parts[i] = 0;
    }
    this.#part = Math.max(this.#part, part);
  }

  #partAt(now: number): number {
    return Math.floor(now / this.#partMs);
  }

  #index(part: number): number {
    const n = this.#parts.length;
    return ((part % n) + n) % n;
  }
}
