/**
 * An HTTP listener with an explicit end.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { ok, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";

/** Where a listener stands. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A listening HTTP server. */
export class Listener {
  readonly #server: Server;
  readonly url: string;

  private constructor(server: Server, host: string) {
    this.#server = server;
    const { port } = server.address() as AddressInfo;
    this.url = `http://${host}:${port}`;
  }

  /** Opens a listener; fails with `bad_settings` where the address is taken. */
  static open(
    address: ListenAddress,
    handler: RequestListener,
  ): Promise<Result<Listener, Failure>> {
    const server = createServer(handler);
    return new Promise((resolve) => {
      server.once("error", (cause) => {
        resolve(fail("bad_settings", `cannot listen: ${cause.message}`));
      });
      server.listen(address.port, address.host, () => {
        resolve(ok(new Listener(server, address.host)));
      });
    });
  }

  /** Takes no new connection and ends when the running requests have. */
  drain(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Cuts every connection. */
  async close(): Promise<void> {
    const closed = this.drain();
    this.#server.closeAllConnections();
    await closed;
  }
}
