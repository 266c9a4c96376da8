/**
 * The `Retry-After` field of HTTP responses (RFC 9110, section 10.2.3).
 *
 * @module
 */

/** How long a response asks its receiver to wait. */
export type RetryAfter =
  | { readonly kind: "delay"; readonly ms: number }
  /** The response has no such field. */
  | { readonly kind: "none" }
  /** The field cannot be parsed. */
  | { readonly kind: "unreadable" };

const MS_PER_S = 1_000;
/** Seconds; fractions are an extension of the RFC. */
const SECONDS = /^\d+(\.\d+)?$/;
/** The three date formats that the RFC requires recipients to accept. */
const DATES: readonly RegExp[] = [
  /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/,
  /^[A-Z][a-z]+day, \d{2}-[A-Z][a-z]{2}-\d{2} \d{2}:\d{2}:\d{2} GMT$/,
  /^[A-Z][a-z]{2} [A-Z][a-z]{2} [ \d]\d \d{2}:\d{2}:\d{2} \d{4}$/,
];

/**
 * Parses the values of the field; the longest delay counts if there are several.
 *
 * A date is compared with the response's own `Date`, so that the sender's clock
 * may differ from the receiver's; without one it is unreadable.
 *
 * @param values The values of all fields with the name.
 * @param date The value of the response's `Date` field.
 *
 * @example
 * ```ts
 * parseRetryAfter(["1.5"]); // { kind: "delay", ms: 1500 }
 * ```
 */
export function parseRetryAfter(
  values: readonly string[],
  date?: string,
): RetryAfter {
  if (values.length === 0) return { kind: "none" };
  const delays = values.map((value) => delayMs(value.trim(), date))
    .filter((ms) => ms !== undefined);
  if (delays.length === 0) return { kind: "unreadable" };
  return { kind: "delay", ms: Math.max(...delays) };
}

function delayMs(value: string, date = ""): number | undefined {
  const ms = SECONDS.test(value)
    ? Number(value) * MS_PER_S
    : parseDate(value) - parseDate(date.trim());
  return Number.isFinite(ms) ? Math.max(0, ms) : undefined;
}

/** Milliseconds since the Unix epoch; NaN if the text is not an HTTP date. */
function parseDate(text: string): number {
  if (!DATES.some((format) => format.test(text))) return NaN;
  return Date.parse(text.endsWith("GMT") ? text : `${text} GMT`);
}
