/**
 * Validity of a response's header (RFC 9110, sections 5 and 15).
 *
 * The parser of Node.js lets in what its writer refuses, so that a request whose
 * endpoint sends it would run and get no response.
 *
 * @module
 */
import { isFinalStatus } from "../core/mod.ts";

/** A token: section 5.6.2. */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Visible characters, spaces, tabs and opaque bytes: section 5.5. */
const FIELD_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/**
 * Whether the header of a final response is valid.
 *
 * @example
 * ```ts
 * isValidHead(200, ["Content-Length", "2"]); // true
 * isValidHead(0, ["Content-Length", "2"]); // false
 * ```
 */
export function isValidHead(
  status: number,
  rawHeaders: readonly string[],
): boolean {
  if (!isFinalStatus(status)) return false;
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if (!FIELD_NAME.test(rawHeaders[i] ?? "")) return false;
    if (!FIELD_VALUE.test(rawHeaders[i + 1] ?? "")) return false;
  }
  return true;
}
