/**
 * HTTP and HTTPS listeners with graceful draining.
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
  CHECK_INTERVAL_MS,
  LimitEnforcer,
  type ListenerLimits,
} from "./listener_limits.ts";
import { readTlsCredentials, type TlsFiles, TlsReloader } from "./tls_files.ts";

/** Address that a listener binds to. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Idle time-out of a connection where no limits are given. Responses announce
 * it, so that callers close idle connections before it expires.
 */
export const IDLE_TIMEOUT_MS = 3_000;

/** Optional limits and TLS of a listener. */
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
  #closesAfterResponses = false;

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
      if (this.#closesAfterResponses) res.setHeader("connection", "close");
    });
    const { port } = server.address() as AddressInfo;
    this.url = `${scheme}://${host}:${port}`;
  }

  /**
   * Opens a listener; fails with `bad_settings` if the address is in use or the
   * certificate and key are unusable.
   */
  static async open(
    address: ListenAddress,
    handler: RequestListener,
    opts: ListenerOptions = {},
  ): Promise<Result<Listener, Failure>> {
    const made = await makeServer(opts);
    if (made.isErr()) return err(made.error);
    const { server, parts } = made.value;
    const limiter = opts.limits && new LimitEnforcer(server, opts.limits);
    if (limiter === undefined) server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    server.on("request", (req, res) => {
      if (limiter === undefined || limiter.admit(req, res)) handler(req, res);
    });
    return await listen(server, address).then((listening) =>
      listening.map(() =>
        new Listener(server, {
          host: address.host,
          scheme: opts.tls ? "https" : "http",
          parts: limiter ? [...parts, limiter] : parts,
        })
      )
    );
  }

  /** Makes each later response close its connection. */
  closeAfterResponses(): void {
    this.#closesAfterResponses = true;
  }

  /**
   * Accepts no new connection and resolves when all connections have ended.
   *
   * An idle connection is not closed at once, since its caller may be sending
   * the next request. It ends with the response to that request or when the
   * idle time-out expires; by then callers have looked up other instances.
   */
  async drain(): Promise<void> {
    this.closeAfterResponses();
    const timer = setTimeout(() => {
      this.#server.closeIdleConnections();
    }, Math.min(IDLE_TIMEOUT_MS, this.#server.keepAliveTimeout));
    await new Promise<void>((resolve) => {
      NetServer.prototype.close.call(this.#server, () => resolve());
    });
    clearTimeout(timer);
    this.#server.close();
  }

  /** Closes every connection immediately. */
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
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
  };
  if (tls === undefined) {
    return ok({ server: createServer(httpOpts), parts: [] });
  }
  const pair = await readTlsCredentials(tls.files);
  if (pair.isErr()) return err(pair.error);
  const server: TlsServer = createTlsServer({ ...httpOpts, ...pair.value });
  // Open connections keep the context they started with.
  const onChange = server.setSecureContext.bind(server);
  const reloader = new TlsReloader({ ...tls, onChange }, pair.value);
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
