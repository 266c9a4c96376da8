/**
 * Multiplexes datagrams of several types over one socket by their first byte.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Result } from "neverthrow";
import type { Failure, Log } from "../core/mod.ts";

export interface DatagramTransport {
  /** Sends without waiting; datagrams may be lost. */
  send(address: string, bytes: Buffer): void;
  onDatagram(handler: (bytes: Uint8Array) => void): void;
  close(): Promise<void>;
}

/** First byte of a datagram by its type. */
const DATAGRAM_TYPES = {
  /** Digest of an instance in the JSON format of the previous build. */
  digest: 1,
  /** Digest of a zone, from its relay to the relay of another zone. */
  zone: 8,
  /** Digest of a zone, forwarded within the receiving zone. */
  zonePassedOn: 9,
  /** Changes in the store, forwarded by an instance that watches it. */
  changes: 4,
  /** Several datagrams in one, from a relay to its standby. */
  bundle: 5,
  /** Digest of an instance. */
  compactDigest: 6,
  /** Aggregate of the fleet, from a zone's relay to the zone. */
  aggregate: 7,
} as const;

/** Maximum payload of UDP over IPv4. */
const MAX_BYTES = 65_507;

export type DatagramType = keyof typeof DATAGRAM_TYPES;

/** Sends datagrams and dispatches received ones by type. */
export class Datagrams {
  readonly #transport: DatagramTransport;
  readonly #log: Log;
  #tooLongLogged = false;
  readonly #handlers = new Map<number, (bytes: Uint8Array) => void>();

  constructor(transport: DatagramTransport, log: Log) {
    this.#transport = transport;
    this.#log = log;
    transport.onDatagram((bytes) => {
      const [sort = 0] = bytes;
      this.#handlers.get(sort)?.(bytes.subarray(1));
    });
  }

  /** Sends the same datagram to several addresses. */
  send(
    type: DatagramType,
    addresses: Iterable<string>,
    bytes: Uint8Array,
  ): void {
    const framed = Buffer.concat([Buffer.of(DATAGRAM_TYPES[type]), bytes]);
    if (framed.length > MAX_BYTES) return this.#logTooLong(type, framed.length);
    for (const address of addresses) this.#transport.send(address, framed);
  }

  /** Sets the handler of a type of datagram. */
  on(type: DatagramType, handler: (bytes: Uint8Array) => void): void {
    this.#handlers.set(DATAGRAM_TYPES[type], handler);
  }

  /**
   * Sets the decoder and the handler of a type of datagram. Only the first
   * decoding failure is logged, since an open port can receive anything.
   */
  onDecoded<T>(
    type: DatagramType,
    decode: (bytes: Uint8Array) => Result<T, Failure>,
    handler: (value: T, bytes: Uint8Array) => void,
  ): void {
    let rejected = false;
    this.on(type, (bytes) => {
      const read = decode(bytes);
      if (read.isOk()) return handler(read.value, bytes);
      if (rejected) return;
      rejected = true;
      this.#log.event("digest_rejected", { reason: read.error.message });
    });
  }

  /** Dispatches a datagram that was received inside another. */
  dispatch(type: DatagramType, bytes: Uint8Array): void {
    this.#handlers.get(DATAGRAM_TYPES[type])?.(bytes);
  }

  #logTooLong(sort: DatagramType, bytes: number): void {
    if (this.#tooLongLogged) return;
    this.#tooLongLogged = true;
    this.#log.event("datagram_too_long", { sort, bytes });
  }

  close(): Promise<void> {
    return this.#transport.close();
  }
}
