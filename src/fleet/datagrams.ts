/**
 * Datagrams of several sorts over one socket, told apart by their first byte.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Result } from "neverthrow";
import type { Failure, Log } from "../core/mod.ts";

/** Carries datagrams. */
export interface DatagramTransport {
  /** Sends without waiting; a datagram may be lost. */
  send(address: string, bytes: Buffer): void;
  onDatagram(take: (bytes: Uint8Array) => void): void;
  close(): Promise<void>;
}

/** What a datagram holds, and its first byte. */
const SORTS = {
  /** What an instance of the previous build tells of itself. */
  digest: 1,
  /** What a zone's relay tells another zone's relay. */
  zone: 8,
  /** The same, passed on within that zone. */
  zonePassedOn: 9,
  /** Changes in the store, passed on within a zone. */
  changes: 4,
  /** Several datagrams in one, from a relay. */
  bundle: 5,
  /** What an instance tells of itself. */
  compactDigest: 6,
  /** What a zone's relay tells the zone of the whole fleet. */
  aggregate: 7,
} as const;

/** The longest datagram over IPv4, in bytes. */
const MOST_BYTES = 65_507;

/** A sort of datagram. */
export type DatagramSort = keyof typeof SORTS;

/** Sends and hands out datagrams by sort. */
export class Datagrams {
  readonly #transport: DatagramTransport;
  readonly #log: Log;
  #tooLongLogged = false;
  readonly #takers = new Map<number, (bytes: Uint8Array) => void>();

  constructor(transport: DatagramTransport, log: Log) {
    this.#transport = transport;
    this.#log = log;
    transport.onDatagram((bytes) => {
      const [sort = 0] = bytes;
      this.#takers.get(sort)?.(bytes.subarray(1));
    });
  }

  /** Sends the same to several addresses. */
  send(
    sort: DatagramSort,
    addresses: Iterable<string>,
    bytes: Uint8Array,
  ): void {
    const framed = Buffer.concat([Buffer.of(SORTS[sort]), bytes]);
    if (framed.length > MOST_BYTES) return this.#tooLong(sort, framed.length);
    for (const address of addresses) this.#transport.send(address, framed);
  }

  /** Says who takes in a sort of datagram. */
  on(sort: DatagramSort, take: (bytes: Uint8Array) => void): void {
    this.#takers.set(SORTS[sort], take);
  }

  /**
   * Says how a sort of datagram is read, and who takes it in. The first that
   * cannot be read is logged; anything can reach an open port.
   */
  onRead<T>(
    sort: DatagramSort,
    decode: (bytes: Uint8Array) => Result<T, Failure>,
    take: (value: T, bytes: Uint8Array) => void,
  ): void {
    let rejected = false;
    this.on(sort, (bytes) => {
      const read = decode(bytes);
      if (read.isOk()) return take(read.value, bytes);
      if (rejected) return;
      rejected = true;
      this.#log.event("digest_rejected", { reason: read.error.message });
    });
  }

  /** Hands over what came inside another datagram. */
  take(sort: DatagramSort, bytes: Uint8Array): void {
    this.#takers.get(SORTS[sort])?.(bytes);
  }

  #tooLong(sort: DatagramSort, bytes: number): void {
    if (this.#tooLongLogged) return;
    this.#tooLongLogged = true;
    this.#log.event("datagram_too_long", { sort, bytes });
  }

  close(): Promise<void> {
    return this.#transport.close();
  }
}
