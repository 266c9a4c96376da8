/**
 * A small HTTP server for readiness, directory, metrics and snapshots.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import { boundPort, closeAtOnce, listenAt } from "./listening.ts";

/** A response held in memory. */
export interface PlainResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body?: string | Buffer;
}

/** Handles a method and a URL. */
export type PlainHandler = (
  method: string,
  url: string,
) => PlainResponse | Promise<PlainResponse>;

/** An HTTP server with one handler. */
export class PlainServer {
  readonly #server: Server;

  private constructor(server: Server) {
    this.#server = server;
  }

  /**
   * Listens at host and port.
   *
   * @example
   * ```ts
   * await PlainServer.listen("127.0.0.1:0", () => ({ status: 200 }));
   * ```
   */
  static async listen(
    address: string,
    handle: PlainHandler,
  ): Promise<PlainServer> {
    const server = createServer({ noDelay: true }, async (req, res) => {
      req.resume();
      const { status, contentType, body = "" } = await handle(
        req.method ?? "GET",
        req.url ?? "/",
      );
      const type = contentType === undefined
        ? []
        : ["Content-Type", contentType];
      const length = String(Buffer.byteLength(body));
      res.writeHead(status, [...type, "Content-Length", length]);
      res.end(body);
    });
    await listenAt(server, address);
    return new PlainServer(server);
  }

  /** The port on which it listens. */
  get port(): number {
    return boundPort(this.#server);
  }

  close(): Promise<void> {
    return closeAtOnce(this.#server);
  }
}
