/**
 * Batches several datagrams into one. A zone's relay forwards the digests of
 * other zones to its standby in this way.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Datagrams, DatagramType } from "./datagrams.ts";

/** Header of a part: type (1 byte) and length (4 bytes). */
const HEADER_BYTES = 5;
/** Parts that would exceed this size go into a further bundle. */
const MAX_BUNDLE_BYTES = 32_768;
const PART_TYPES: readonly DatagramType[] = [
  "digest",
  "zonePassedOn",
  "compactDigest",
];

/** Collects the latest datagram of each sender until the next send. */
export class Bundle {
  readonly #datagrams: Datagrams;
  readonly #parts = new Map<string, Buffer>();

  constructor(datagrams: Datagrams) {
    this.#datagrams = datagrams;
  }

  /** Adds a datagram in place of the sender's previous one. */
  put(sender: string, type: DatagramType, bytes: Uint8Array): void {
    this.#parts.set(sender, encodePart(type, bytes));
  }

  /** Sends the collected datagrams and starts over. */
  send(to: readonly string[]): void {
    let parts: Buffer[] = [];
    let size = 0;
    for (const part of this.#parts.values()) {
      if (size > 0 && size + part.length > MAX_BUNDLE_BYTES) {
        this.#datagrams.send("bundle", to, Buffer.concat(parts));
        [parts, size] = [[], 0];
      }
      parts.push(part);
      size += part.length;
    }
    if (size > 0) this.#datagrams.send("bundle", to, Buffer.concat(parts));
    this.#parts.clear();
  }
}

/** Dispatches each part as a datagram; stops at a truncated or unknown one. */
export function dispatchBundles(datagrams: Datagrams): void {
  datagrams.on("bundle", (bytes) => {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    let offset = 0;
    while (offset + HEADER_BYTES <= buffer.length) {
      const type = PART_TYPES[buffer.readUInt8(offset)];
      const length = buffer.readUInt32BE(offset + 1);
      offset += HEADER_BYTES;
      if (type === undefined || offset + length > buffer.length) return;
      datagrams.dispatch(type, buffer.subarray(offset, offset + length));
      offset += length;
    }
  });
}

/** Copies the bytes, since the socket reuses its buffer. */
function encodePart(type: DatagramType, bytes: Uint8Array): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt8(PART_TYPES.indexOf(type), 0);
  header.writeUInt32BE(bytes.length, 1);
  return Buffer.concat([header, bytes]);
}
