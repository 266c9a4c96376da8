/**
 * An endpoint for tests that writes raw bytes to its connections.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createServer, type Socket } from "node:net";
import { boundPort, listenAt } from "../listening.ts";

/** What an endpoint does with a connection on each of its requests. */
export type Script = (socket: Socket, requests: number) => void;

/** A listening endpoint. */
export interface ScriptedEndpoint {
  readonly address: string;
  /** Accepted connections, in order. */
  readonly sockets: readonly Socket[];
  /** Number of accepted connections. */
  readonly connections: () => number;
  close(): void;
}

/** Listens on loopback and runs the script on each request. */
export async function listenScripted(
  script: Script,
  onBytes: (chunk: Buffer) => void = () => {},
): Promise<ScriptedEndpoint> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    let requests = 0;
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      onBytes(chunk);
      script(socket, ++requests);
    });
  });
  await listenAt(server, "127.0.0.1:0");
  return {
    address: `127.0.0.1:${boundPort(server)}`,
    sockets,
    connections: () => sockets.length,
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
