/**
 * Lookup in raw header fields.
 *
 * `headers` of a message parses all fields on first access; most messages need
 * only one or two.
 *
 * @module
 */
import type { RawHeaders } from "./request_codec.ts";

/**
 * The value of the first field with a name, which must be in lower case.
 *
 * @example
 * ```ts
 * headerOf(["Content-Length", "2"], "content-length"); // "2"
 * ```
 */
export function headerOf(raw: RawHeaders, name: string): string | undefined {
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const field = raw[i] ?? "";
    if (field.length === name.length && field.toLowerCase() === name) {
      return raw[i + 1];
    }
  }
  return undefined;
}
