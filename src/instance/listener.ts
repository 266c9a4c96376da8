/**
 * An HTTP listener with an explicit end.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import { type AddressInfo, Server as NetServer } from "node:net";
import { ok, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";

/** Where a listener stands. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * How long a connection without a request is kept, in milliseconds. Answers
 * announce it, so that callers give an idle connection up before its end.
 */
export const KEEP_ALIVE_MS = 3_000;

/** A listening HTTP server. */
export class Listener {
  readonly #server: Server;
  readonly url: string;
  #leaving = false;

  private constructor(server: Server, host: string) {
    this.#server = server;
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.prependListener("request", (_req, res) => {
      if (this.#leaving) res.setHeader("connection", "close");
    });
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

  /** From now on each answer ends its connection. */
  leave(): void {
    this.#leaving = true;
  }

  /**
   * Takes no new connection and ends when no connection is left.
   *
   * A connection without a request is not closed at once: its caller may be
   * sending the next request at this moment and would find it cut. It ends
   * with the answer to that request, or when it was idle for the time that
   * answers announce.
   */
  async drain(): Promise<void> {
    this.leave();
    const timer = setTimeout(() => {
      this.#server.closeIdleConnections();
    }, KEEP_ALIVE_MS);
    await new Promise<void>((resolve) => {
      NetServer.prototype.close.call(this.#server, () => resolve());
    });
    clearTimeout(timer);
    this.#server.close();
  }

  /** Cuts every connection. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}
