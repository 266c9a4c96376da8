/**
 * Which requests that went well are logged.
 *
 * @module
 */
import { hash } from "./hash.ts";

/** One in so many. */
const ONE_IN = 64;

/**
 * Whether a request that went well is logged. Goes by its id alone, so that
 * every instance which met a request keeps it or none does.
 *
 * @example
 * ```ts
 * if (isSampled(requestId)) log.event(name, fields);
 * ```
 */
export function isSampled(requestId: string): boolean {
  return hash(requestId) % ONE_IN === 0;
}
