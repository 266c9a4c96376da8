/**
 * How a response shows where its body ends (RFC 9112, section 6.3).
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { headerOf } from "./header_fields.ts";

/** What marks the end of a response's body. */
export type ResponseFraming =
  /** The response has no body. */
  | "none"
  /** Its length or its last chunk: a truncated body is noticed. */
  | "delimited"
  /** The end of its connection: a truncated body may look complete. */
  | "connection";

/** Statuses of responses that never have a body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const STATUS_LINE = /HTTP\/1\.[01] \d{3}( |$)/;
const CHUNKED = /(^|,)\s*chunked\s*$/i;

/**
 * The framing of a response to a request with this method.
 *
 * @example
 * ```ts
 * framingOf(res, "HEAD"); // "none"
 * ```
 */
export function framingOf(
  { statusCode = 0, rawHeaders }: Pick<
    IncomingMessage,
    "statusCode" | "rawHeaders"
  >,
  method: string,
): ResponseFraming {
  if (method === "HEAD" || BODYLESS_STATUSES.has(statusCode)) return "none";
  const coding = headerOf(rawHeaders, "transfer-encoding");
  if (coding !== undefined) {
    return CHUNKED.test(coding) ? "delimited" : "connection";
  }
  return headerOf(rawHeaders, "content-length") === undefined
    ? "connection"
    : "delimited";
}

/**
 * Whether a header holds the status line of another response, as where an
 * endpoint stops in a field and goes on with the next response: the parser takes
 * both for one.
 */
export function holdsAnotherResponse(rawHeaders: readonly string[]): boolean {
  for (let i = 1; i < rawHeaders.length; i += 2) {
    const value = rawHeaders[i] ?? "";
    if (value.includes("HTTP/1.") && STATUS_LINE.test(value)) return true;
  }
  return false;
}
