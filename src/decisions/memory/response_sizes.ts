/**
 * How much memory the response to a request is expected to take.
 *
 * A response is buffered before it can be counted, and it is not refused. So
 * its usual size is reserved before its request is forwarded; otherwise many
 * requests at once could exceed the budget by all their responses.
 *
 * Load: one lookup for each request and one update for each response.
 *
 * @module
 */

/** Assumed until a route has responses, in bytes. */
export const INITIAL_RESPONSE_BYTES = 16_384;
/** Weight of the newest response in the mean. */
const NEWEST_WEIGHT = 0.05;
/** Routes remembered; the oldest is evicted beyond this size. */
const MAX_ROUTES = 1_000;

/** The mean size of responses by route. */
export class ResponseSizes {
  readonly #means = new Map<string, number>();

  /** The expected bytes of a response. */
  expected(route: string): number {
    return Math.ceil(this.#means.get(route) ?? INITIAL_RESPONSE_BYTES);
  }

  record(route: string, bytes: number): void {
    const mean = this.#means.get(route);
    if (mean === undefined && this.#means.size >= MAX_ROUTES) {
      const [oldest] = this.#means.keys();
      if (oldest !== undefined) this.#means.delete(oldest);
    }
    const before = mean ?? INITIAL_RESPONSE_BYTES;
    this.#means.set(route, before + (bytes - before) * NEWEST_WEIGHT);
  }
}
