/**
 * Deflate-compressed JSON, for messages with many repeated names.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** The fastest level; higher ones save at most a tenth of the bytes. */
const COMPRESSION_LEVEL = 1;

/** Encodes a value. */
export function packJson(value: unknown): Buffer {
  return deflateRawSync(JSON.stringify(value), { level: COMPRESSION_LEVEL });
}

/**
 * Decodes a value; throws if the bytes are invalid or decompress to more than
 * `maxBytes`.
 */
export function unpackJson(bytes: Uint8Array, maxBytes?: number): unknown {
  const limit = maxBytes === undefined ? {} : { maxOutputLength: maxBytes };
  return JSON.parse(inflateRawSync(bytes, limit).toString("utf8"));
}
