/**
 * Values as compressed JSON, for messages in which names recur.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** The fastest level: higher ones save a tenth of the bytes at most. */
const LEVEL = 1;

/** Writes a value. */
export function packJson(value: unknown): Buffer {
  return deflateRawSync(JSON.stringify(value), { level: LEVEL });
}

/**
 * Reads a value; throws where the bytes hold none, or one of more than
 * `mostBytes` unpacked.
 */
export function unpackJson(bytes: Uint8Array, mostBytes?: number): unknown {
  const limit = mostBytes === undefined ? {} : { maxOutputLength: mostBytes };
  return JSON.parse(inflateRawSync(bytes, limit).toString("utf8"));
}
