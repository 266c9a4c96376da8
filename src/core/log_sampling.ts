/**
 * Log sampling of successful requests.
 *
 * @module
 */
import { hash } from "./hash.ts";

const SAMPLE_ONE_IN = 64;

/**
 * Whether a successful request is logged. Depends only on the request id, so
 * that either every instance on the request's path logs it or none does.
 *
 * @example
 * ```ts
 * if (isSampled(requestId)) log.event(name, fields);
 * ```
 */
export function isSampled(requestId: string): boolean {
  return hash(requestId) % SAMPLE_ONE_IN === 0;
}
