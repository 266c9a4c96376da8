/**
 * Opening and closing the listeners of an instance.
 *
 * @module
 */
import type { Server } from "node:http";
import type { AddressInfo, Server as SocketServer } from "node:net";
import { splitAddress } from "../fleet/mod.ts";

/**
 * Listens at host and port; rejects where that cannot be had.
 *
 * @param backlog Connections that may wait to be accepted, if not the usual.
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

/** The port at which a server listens. */
export function boundPort(server: SocketServer): number {
  return (server.address() as AddressInfo).port;
}

/** Closes a server and every connection to it at once. */
export function closeAtOnce(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  server.closeAllConnections();
  return closed;
}
