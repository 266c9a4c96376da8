/**
 * Datagram transport over UDP.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import type { DatagramTransport } from "./datagrams.ts";
import { splitAddress } from "./address.ts";

/** Sends and receives datagrams on a bound UDP socket. */
export class UdpTransport implements DatagramTransport {
  readonly #socket: Socket;

  private constructor(socket: Socket) {
    this.#socket = socket;
    // Errors of closed peer ports are ignored: missing digests reveal them.
    socket.on("error", () => {});
  }

  /** Binds to `host:port`. */
  static bind(address: string): Promise<UdpTransport> {
    const { host, port } = splitAddress(address);
    const socket = createSocket("udp4");
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(port, host, () => {
        socket.off("error", reject);
        resolve(new UdpTransport(socket));
      });
    });
  }

  /** The bound port. */
  get port(): number {
    return this.#socket.address().port;
  }

  send(address: string, bytes: Buffer): void {
    const { host, port } = splitAddress(address);
    this.#socket.send(bytes, port, host, () => {});
  }

  onDatagram(handler: (bytes: Uint8Array) => void): void {
    this.#socket.on("message", handler);
  }

  close(): Promise<void> {
    return new Promise((resolve) => this.#socket.close(() => resolve()));
  }
}
