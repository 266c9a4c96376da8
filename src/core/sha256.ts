/**
 * Digests that operators can work out with `sha256sum`.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * The SHA-256 of a text, in hexadecimal.
 *
 * @example
 * ```ts
 * sha256(await readFile(file, "utf8")); // as `sha256sum` prints it
 * ```
 */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
