/**
 * Datagrams over UDP.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createSocket, type Socket } from "node:dgram";
import type { DatagramTransport } from "./datagrams.ts";
import { splitAddress } from "./address.ts";

/** A bound UDP socket. */
export class UdpTransport implements DatagramTransport {
  readonly #socket: Socket;

  private constructor(socket: Socket) {
    this.#socket = socket;
    // A peer whose port is closed is reported here; its silence shows it too.
    socket.on("error", () => {});
  }

  /** Binds to host and port. */
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

  /** The port that was bound. */
  get port(): number {
    return this.#socket.address().port;
  }

  send(address: string, bytes: Buffer): void {
    const { host, port } = splitAddress(address);
    this.#socket.send(bytes, port, host, () => {});
  }

  onDatagram(take: (bytes: Uint8Array) => void): void {
    this.#socket.on("message", take);
  }

  close(): Promise<void> {
    return new Promise((resolve) => this.#socket.close(() => resolve()));
  }
}
