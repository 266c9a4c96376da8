/**
 * Several datagrams in one, as a relay sends other zones' digests to the one
 * that stands by to replace it.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Datagrams, DatagramSort } from "./datagrams.ts";

/** Sort and length before each part, in bytes. */
const HEAD_BYTES = 5;
/** A bundle holds no more than this, in bytes; the rest goes in another. */
const MOST_BYTES = 32_768;
const SORTS: readonly DatagramSort[] = [
  "digest",
  "zonePassedOn",
  "compactDigest",
];

/** Parts of one period, the latest of each sender. */
export class Bundle {
  readonly #datagrams: Datagrams;
  readonly #parts = new Map<string, Buffer>();

  constructor(datagrams: Datagrams) {
    this.#datagrams = datagrams;
  }

  /** Keeps what a sender told last. */
  gather(from: string, sort: DatagramSort, bytes: Uint8Array): void {
    this.#parts.set(from, framed(sort, bytes));
  }

  /** Sends what was gathered since the last time. */
  send(to: readonly string[]): void {
    let frames: Buffer[] = [];
    let size = 0;
    for (const frame of this.#parts.values()) {
      if (size > 0 && size + frame.length > MOST_BYTES) {
        this.#datagrams.send("bundle", to, Buffer.concat(frames));
        [frames, size] = [[], 0];
      }
      frames.push(frame);
      size += frame.length;
    }
    if (size > 0) this.#datagrams.send("bundle", to, Buffer.concat(frames));
    this.#parts.clear();
  }
}

/** Takes each part as if it had come by itself; stops where one is cut. */
export function readBundles(datagrams: Datagrams): void {
  datagrams.on("bundle", (bytes) => {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    let at = 0;
    while (at + HEAD_BYTES <= buffer.length) {
      const sort = SORTS[buffer.readUInt8(at)];
      const length = buffer.readUInt32BE(at + 1);
      at += HEAD_BYTES;
      if (sort === undefined || at + length > buffer.length) return;
      datagrams.take(sort, buffer.subarray(at, at + length));
      at += length;
    }
  });
}

/** The bytes are copied: the socket's buffer is used again. */
function framed(sort: DatagramSort, bytes: Uint8Array): Buffer {
  const head = Buffer.alloc(HEAD_BYTES);
  head.writeUInt8(SORTS.indexOf(sort), 0);
  head.writeUInt32BE(bytes.length, 1);
  return Buffer.concat([head, bytes]);
}
