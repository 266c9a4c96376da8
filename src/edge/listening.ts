/**
 * Opens and closes listeners.
 *
 * @module
 */
import type { Server } from "node:http";
import type { AddressInfo, Server as SocketServer } from "node:net";
import { splitAddress } from "../fleet/mod.ts";

/**
 * Listens at host and port; rejects if the address is not available.
 *
 * @param backlog Connections that may wait to be accepted; Node.js default if
 * omitted.
 */
export function listenAt(
  server: SocketServer,
  address: string,
  backlog?: number,
): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, backlog, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/** The port on which a server listens. */
export function boundPort(server: SocketServer): number {
  return (server.address() as AddressInfo).port;
}

/** Closes a server and all its connections immediately. */
export function closeAtOnce(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  server.closeAllConnections();
  return closed;
}
