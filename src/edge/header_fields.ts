/**
 * Header fields as they came.
 *
 * `headers` of a message is worked out from all fields when it is first read;
 * of most messages one or two are of interest.
 *
 * @module
 */
import type { RawHeaders } from "./request_codec.ts";

/**
 * The value of the first field of that name, which is given in lower case.
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
