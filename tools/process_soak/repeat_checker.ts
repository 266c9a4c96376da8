/**
 * Checks that a service gets no more repeats than the fleet's retry budget.
 *
 * @module
 */

/** The budget in the settings of the soak's instances. */
export const RETRY_RATIO = 0.2;
export const RETRY_SLACK = 20;
export const RETRY_WINDOW_S = 10;
const WINDOW_MS = RETRY_WINDOW_S * 1_000;

/** Counts the requests for one service, and their arrivals beyond the first. */
export class RepeatChecker {
  readonly #onViolation: (request: string) => void;
  readonly #sentAt: number[] = [];
  readonly #arrived = new Set<string>();
  readonly #repeatsAt: number[] = [];
  #fullest = 0;

  constructor(onViolation: (request: string) => void) {
    this.#onViolation = onViolation;
  }

  /** Fullest window, as a fraction of the repeats that it may hold. */
  get fullest(): number {
    return this.#fullest;
  }

  /** Records that a caller sends a request, whether it arrives or not. */
  sent(now: number): void {
    this.#sentAt.push(now);
  }

  /** Checks a request that arrives at an endpoint of the service. */
  arrived(request: string, now: number): void {
    if (!this.#arrived.has(request)) {
      this.#arrived.add(request);
      return;
    }
    this.#repeatsAt.push(now);
    const from = now - WINDOW_MS;
    const repeats = this.#repeatsAt.filter((at) => at > from).length;
    const fullness = repeats / this.#allowed(from);
    this.#fullest = Math.max(this.#fullest, fullness);
    if (fullness > 1) this.#onViolation(request);
  }

  /** Repeats allowed in a window: by its requests, or by those just before it. */
  #allowed(from: number): number {
    const requests = [0, WINDOW_MS / 2, WINDOW_MS].map((ago) =>
      this.#sentAt.filter((at) =>
        at > from - ago && at <= from - ago + WINDOW_MS
      ).length
    );
    return RETRY_RATIO * Math.max(...requests) + RETRY_SLACK;
  }
}
