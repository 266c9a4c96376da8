/**
 * An HTTP listener with an explicit end.
 *
 * @module
 */
import {
  createServer,
  type RequestListener,
  type Server,
  type ServerOptions,
} from "node:http";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:https";
import { type AddressInfo, Server as NetServer } from "node:net";
import { err, ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure, type Log } from "../core/mod.ts";
import {
  CHECK_EVERY_MS,
  LimitGuard,
  type ListenerLimits,
} from "./listener_limits.ts";
import { readTlsPair, type TlsFiles, TlsReloader } from "./tls_files.ts";

/** Where a listener stands. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * How long a connection without a request is kept, in milliseconds, where no
 * limits are given. Answers announce it, so that callers give an idle connection up before its end.
 */
export const KEEP_ALIVE_MS = 3_000;
/** What a listener may have besides its address. */
export interface ListenerOptions {
  readonly limits?: ListenerLimits;
  readonly tls?: {
    readonly files: TlsFiles;
    readonly clock: Clock;
    readonly log: Log;
  };
}

interface Closeable {
  close(): void;
}

/** A listening HTTP server. */
export class Listener {
  readonly #server: Server;
  readonly #parts: readonly Closeable[];
  readonly url: string;
  #leaving = false;

  private constructor(
    server: Server,
    { host, scheme, parts }: {
      host: string;
      scheme: "http" | "https";
      parts: readonly Closeable[];
    },
  ) {
    this.#server = server;
    this.#parts = parts;
    server.prependListener("request", (_req, res) => {
      if (this.#leaving) res.setHeader("connection", "close");
    });
    const { port } = server.address() as AddressInfo;
    this.url = `${scheme}://${host}:${port}`;
  }

  /**
   * Opens a listener; fails with `bad_settings` where the address is taken or
   * certificate and key cannot be used.
   */
  static async open(
    address: ListenAddress,
    handler: RequestListener,
    opts: ListenerOptions = {},
  ): Promise<Result<Listener, Failure>> {
    const made = await makeServer(opts);
    if (made.isErr()) return err(made.error);
    const { server, parts } = made.value;
    const guard = opts.limits && new LimitGuard(server, opts.limits);
    if (guard === undefined) server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.on("request", (req, res) => {
      if (guard === undefined || guard.admit(req, res)) handler(req, res);
    });
    return await listen(server, address).then((listening) =>
      listening.map(() =>
        new Listener(server, {
          host: address.host,
          scheme: opts.tls ? "https" : "http",
          parts: guard ? [...parts, guard] : parts,
        })
      )
    );
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
   * with the answer to that request, or after a few seconds, when every caller
   * has asked anew where to go.
   */
  async drain(): Promise<void> {
    this.leave();
    const timer = setTimeout(() => {
      this.#server.closeIdleConnections();
    }, Math.min(KEEP_ALIVE_MS, this.#server.keepAliveTimeout));
    await new Promise<void>((resolve) => {
      NetServer.prototype.close.call(this.#server, () => resolve());
    });
    clearTimeout(timer);
    this.#server.close();
  }

  /** Cuts every connection. */
  close(): Promise<void> {
    for (const part of this.#parts) part.close();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

interface MadeServer {
  readonly server: Server;
  readonly parts: readonly Closeable[];
}

async function makeServer(
  { limits, tls }: ListenerOptions,
): Promise<Result<MadeServer, Failure>> {
  const httpOpts: ServerOptions = limits === undefined ? {} : {
    maxHeaderSize: limits.headerBytes,
    connectionsCheckingInterval: CHECK_EVERY_MS,
  };
  if (tls === undefined) {
    return ok({ server: createServer(httpOpts), parts: [] });
  }
  const pair = await readTlsPair(tls.files);
  if (pair.isErr()) return err(pair.error);
  const server: TlsServer = createTlsServer({ ...httpOpts, ...pair.value });
  // Connections that are open keep the context they began with.
  const onPair = server.setSecureContext.bind(server);
  const reloader = new TlsReloader({ ...tls, onPair }, pair.value);
  return ok({ server, parts: [reloader] });
}

function listen(
  server: Server,
  address: ListenAddress,
): Promise<Result<void, Failure>> {
  return new Promise((resolve) => {
    server.once("error", (cause) => {
      resolve(fail("bad_settings", `cannot listen: ${cause.message}`));
    });
    server.listen(address.port, address.host, () => resolve(ok(undefined)));
  });
}
