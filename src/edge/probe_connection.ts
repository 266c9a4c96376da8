/**
 * Probes whether a new connection to an endpoint works.
 *
 * @module
 */
import { request } from "node:http";
import type { Clock } from "../core/mod.ts";
import type { HostPort } from "../fleet/mod.ts";
import type { EndpointConnections } from "./endpoint_connections.ts";

/**
 * Time for a response, in milliseconds. A connection that is still open then
 * works: an endpoint that is busy responds later.
 */
const PROBE_TIMEOUT_MS = 500;
/** Informational responses before a response. */
const MAX_INFORMATIONAL = 16;

/**
 * Opens a connection, sends a `GET` on it and closes it. Resolves to false if it
 * cannot be opened or is closed before a response.
 */
export function probeConnection(
  connections: EndpointConnections,
  address: HostPort,
  opts: { readonly path: string; readonly clock: Clock },
): Promise<boolean> {
  return new Promise((resolve) => {
    const req = request({
      ...address,
      path: opts.path,
      createConnection: () => connections.createConnection(address),
    });
    const end = (reached: boolean) => {
      timer.close();
      resolve(reached);
      req.destroy();
    };
    const timer = opts.clock.after(PROBE_TIMEOUT_MS, () => {
      // After a stall of the event loop the connection may be open already.
      setImmediate(() => end(req.socket?.connecting === false));
    });
    let informational = 0;
    // The connection works, but its endpoint would keep the event loop busy.
    req.on("information", () => {
      if (++informational > MAX_INFORMATIONAL) end(true);
    });
    req.on("response", () => end(true));
    req.on("error", () => end(false));
    req.on("close", () => end(false));
    req.end();
  });
}
