/**
 * The listener for other instances: HTTP/2 for persistent batch streams, and
 * HTTP/1.1 for unary calls and forwarded requests, on one port.
 *
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import {
  createServer as createHttp2Server,
  type Http2Server,
  type Http2ServerRequest,
  type Http2ServerResponse,
} from "node:http2";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import type { Server as TcpServer, Socket } from "node:net";
import { ok, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";

/** A handler for HTTP/2 requests. */
export type Http2Listener = (
  req: Http2ServerRequest,
  res: Http2ServerResponse,
) => void;

/** Options of a peer server. */
export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly http1: RequestListener;
  readonly http2: Http2Listener;
}

/** First bytes of an HTTP/2 connection (RFC 9113, 3.4). */
const HTTP2_PREFACE = "PRI ";
/** Closes a connection that sends no byte within this many milliseconds. */
const FIRST_BYTES_TIMEOUT_MS = 5_000;

/** Bytes received and sent on connections that peers opened. */
export interface PeerTraffic {
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** Serves HTTP/1.1 and HTTP/2 on one port. */
export class PeerServer {
  readonly url: string;
  readonly #tcp: TcpServer;
  readonly #http1: Server;
  readonly #http2: Http2Server;
  readonly #sockets = new Set<Socket>();
  #closedTraffic: PeerTraffic = { receivedBytes: 0, sentBytes: 0 };

  private constructor(opts: PeerServerOptions, tcp: TcpServer) {
    this.#tcp = tcp;
    this.#http1 = createServer(opts.http1);
    this.#http2 = createHttp2Server(opts.http2);
    this.#http2.on("sessionError", () => {});
    tcp.on("connection", (socket) => this.#accept(socket));
    const { port } = tcp.address() as AddressInfo;
    this.url = `http://${opts.host}:${port}`;
  }

  /** Opens the listener; fails with `bad_settings` if it cannot listen. */
  static open(opts: PeerServerOptions): Promise<Result<PeerServer, Failure>> {
    const tcp = createTcpServer({ noDelay: true });
    return new Promise((resolve) => {
      tcp.once("error", (cause) => {
        resolve(fail("bad_settings", `cannot listen: ${cause.message}`));
      });
      tcp.listen(opts.port, opts.host, () => {
        resolve(ok(new PeerServer(opts, tcp)));
      });
    });
  }

  /** Traffic of all connections since the start, headers included. */
  traffic(): PeerTraffic {
    return [...this.#sockets].reduce(addTraffic, this.#closedTraffic);
  }

  /** Stops listening and destroys every connection. */
  close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.#tcp.close(() => resolve());
    });
    for (const socket of this.#sockets) socket.destroy();
    return closed;
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      this.#closedTraffic = addTraffic(this.#closedTraffic, socket);
    });
    socket.on("error", () => socket.destroy());
    socket.setTimeout(FIRST_BYTES_TIMEOUT_MS, () => socket.destroy());
    socket.once("readable", () => this.#dispatch(socket));
  }

  /** Peeks at the first bytes and passes the socket to the matching server. */
  #dispatch(socket: Socket): void {
    const first: Uint8Array | null = socket.read();
    if (first === null) return;
    socket.setTimeout(0);
    socket.removeAllListeners("timeout");
    const text = new TextDecoder("latin1").decode(first.subarray(0, 4));
    const server = text === HTTP2_PREFACE ? this.#http2 : this.#http1;
    socket.unshift(first);
    server.emit("connection", socket);
  }
}

function addTraffic(sum: PeerTraffic, socket: Socket): PeerTraffic {
  return {
    receivedBytes: sum.receivedBytes + socket.bytesRead,
    sentBytes: sum.sentBytes + socket.bytesWritten,
  };
}
