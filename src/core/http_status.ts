/**
 * Statuses of HTTP responses (RFC 9110, section 15).
 *
 * @module
 */

const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Whether a status may be that of a final response. 101 may not either: no
 * request asks for another protocol.
 *
 * @example
 * ```ts
 * isFinalStatus(204); // true
 * isFinalStatus(0); // false
 * ```
 */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= MIN_FINAL_STATUS &&
    status <= MAX_STATUS;
}
