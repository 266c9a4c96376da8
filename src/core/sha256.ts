/**
 * SHA-256 digests that operators can reproduce with `sha256sum`.
 *
 * @module
 */
import { createHash } from "node:crypto";

/**
 * The SHA-256 digest of a string, in hexadecimal.
 *
 * @example
 * ```ts
 * sha256(await readFile(file, "utf8")); // as `sha256sum` prints it
 * ```
 */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
