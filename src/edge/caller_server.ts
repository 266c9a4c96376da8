/**
 * The HTTP listener for callers.
 *
 * It uses the Node.js server without a router: each request's path is looked up
 * in the plan, so a router would only add work to every request.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { CallerLimits } from "../traffic/mod.ts";
import { AcceptLag } from "./accept_lag.ts";
import { CallerConnection, type ServerStage } from "./caller_connection.ts";
import { refuseFirstRequest } from "./first_request.ts";
import { lingerOnClose } from "./lingering_close.ts";
import { boundPort, closeAtOnce, listenAt } from "./listening.ts";
import { parserErrorResponse } from "./parser_error.ts";
import type { RequestLimits } from "./request_head.ts";
import { RequestIntake, type RequestIntakeOptions } from "./request_intake.ts";

/** Dependencies of the server. */
export interface CallerServerOptions extends RequestIntakeOptions {
  /** Host and port. */
  readonly address: string;
  /** Usable cores of the instance. */
  readonly cores: number;
}

/**
 * Largest header that is read, in bytes. A lower limit of the plan is checked for
 * each request, and a higher one has no effect.
 */
const MAX_HEADER_BYTES = 65_536;
/**
 * How much of a header is read, as a multiple of the plan's limit. A connection
 * keeps the bound under which it was opened, so that there has to be room for a
 * plan with a higher limit.
 */
const HEADER_READ_FACTOR = 2;
/** Header timeout until a plan sets one, in milliseconds. */
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
/** Interval in which header timeouts are checked, in milliseconds. */
const HEADER_TIMEOUT_CHECK_MS = 250;
/** Idle timeout of connections until a plan sets one, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Maximum body size until a plan sets one, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/**
 * Connections for each core of an instance that may wait to be accepted in a
 * burst of new callers. Of more, each would wait for longer than its caller does
 * while the instance is overloaded; one that the system does not take has sent
 * nothing.
 */
const BACKLOG_PER_CORE = 256;
const MIN_BACKLOG = 32;

/** A connection, and how long it waited until it was accepted. */
interface Accepted {
  readonly connection: CallerConnection;
  readonly at: number;
  readonly waitedMs: number;
}

/** Accepts callers' connections and serves their requests. */
export class CallerServer {
  readonly #opts: CallerServerOptions;
  /** `maxHeaderSize` applies to the connections that are opened from then on. */
  readonly #server: Server & { maxHeaderSize?: number };
  readonly #intake: RequestIntake;
  readonly #acceptLag: AcceptLag;
  readonly #connections = new Map<Socket, Accepted>();
  #limits: RequestLimits = {
    headerBytes: MAX_HEADER_BYTES,
    bodyBytes: DEFAULT_MAX_BODY_BYTES,
  };
  #stage: ServerStage = "serving";
  #onIdle: (() => void) | undefined;

  private constructor(opts: CallerServerOptions) {
    this.#opts = opts;
    this.#intake = new RequestIntake(opts);
    this.#acceptLag = new AcceptLag(opts.clock, opts.loopLag);
    opts.entrance.add(this.#acceptLag);
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      // By default Node.js checks every 30 s.
      connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
      // Node.js would answer such a request and forward those behind it.
      requireHostHeader: false,
    });
    const [serve] = this.#server.listeners("connection");
    this.#server.removeAllListeners("connection");
    this.#server.on("connection", (socket: Socket) => {
      if (this.#accept(socket)) serve?.call(this.#server, socket);
    });
    const on =
      (expectsContinue: boolean) =>
      (req: IncomingMessage, res: ServerResponse) =>
        this.#onRequest(req, res, expectsContinue);
    this.#server.on("request", on(false));
    // Otherwise Node.js asks for the body before it is admitted.
    this.#server.on("checkContinue", on(true));
    this.#server.on(
      "clientError",
      (error, socket) => this.#onParserError(error, socket as Socket),
    );
  }

  /** Starts a server; resolves once it accepts connections. */
  static async listen(opts: CallerServerOptions): Promise<CallerServer> {
    const server = new CallerServer(opts);
    const backlog = Math.round(BACKLOG_PER_CORE * opts.cores);
    await listenAt(
      server.#server,
      opts.address,
      Math.max(MIN_BACKLOG, backlog),
    );
    return server;
  }

  /** The port on which it listens. */
  get port(): number {
    return boundPort(this.#server);
  }

  /** Applies the limits of a plan. */
  applyLimits(limits: CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.maxHeaderSize = Math.min(
      MAX_HEADER_BYTES,
      HEADER_READ_FACTOR * limits.headerBytes,
    );
    this.#limits = limits;
  }

  /**
   * Closes each connection from now on after the response to its last request
   * that was forwarded.
   */
  startDraining(): void {
    this.#stage = "draining";
  }

  /**
   * Accepts no new connections and starts no further requests. Connections are
   * closed once the requests that were forwarded have their responses.
   */
  stopListening(): void {
    this.#stage = "stopped";
    this.#server.close();
    for (const { connection } of [...this.#connections.values()]) {
      connection.stop();
    }
  }

  /**
   * Resolves once all connections are closed after `stopListening`: the system
   * has taken all bytes of all responses.
   */
  whenIdle(): Promise<void> {
    if (this.#connections.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#onIdle = resolve);
  }

  /** Closes the listener and all connections immediately. */
  close(): Promise<void> {
    for (const socket of this.#connections.keys()) socket.destroy();
    return closeAtOnce(this.#server);
  }

  /** Takes a connection, or refuses it; returns whether it is served. */
  #accept(socket: Socket): boolean {
    const { clock, entrance, fromPeers } = this.#opts;
    const waitedMs = this.#acceptLag.accepted();
    lingerOnClose(socket, clock);
    const why = fromPeers ? undefined : entrance.refuseConnection();
    if (why !== undefined) {
      refuseFirstRequest(socket, why, this.#opts);
      return false;
    }
    const connection = new CallerConnection(socket, {
      run: (request) => void this.#intake.serve(request, this.#limits),
      refuseLate: (request) => this.#intake.refuseLate(request),
      callerLeft: (request) => this.#intake.callerLeft(request),
    }, () => this.#stage);
    this.#connections.set(socket, { connection, at: clock.now(), waitedMs });
    socket.once("close", () => {
      this.#connections.delete(socket);
      if (this.#connections.size === 0) this.#onIdle?.();
    });
    // It was accepted by the system before the listener was closed.
    if (this.#stage === "stopped") connection.stop();
    return true;
  }

  #onRequest(
    req: IncomingMessage,
    res: ServerResponse,
    expectsContinue: boolean,
  ): void {
    const accepted = this.#connections.get(req.socket);
    if (accepted === undefined) return;
    const { connection } = accepted;
    const unreadMs = this.#unreadMs(accepted);
    const request = connection.add({ req, res, expectsContinue, unreadMs });
    if (request === undefined) return;
    res.sendDate = false;
    res.once("finish", () => request.finish());
    connection.startNext();
  }

  /** How long a request that is read now may have lain unread, in milliseconds. */
  #unreadMs({ at, waitedMs }: Accepted): number {
    const loopMs = this.#opts.loopLag.ms;
    const sinceAccepted = this.#opts.clock.now() - at;
    // It may have been sent before the connection was accepted.
    return sinceAccepted > loopMs ? loopMs : waitedMs + sinceAccepted;
  }

  /**
   * Answers what is no request. Requests before it that were forwarded get their
   * responses, of which the last closes the connection.
   */
  #onParserError(error: Error & { code?: string }, socket: Socket): void {
    const connection = this.#connections.get(socket)?.connection;
    if (connection === undefined || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    if (connection.isEnding) return;
    // The timeout of an unused connection is no response to a request, which may
    // be on the way.
    const isUnused = socket.bytesRead === 0;
    if (!isUnused && !connection.isAnswering && socket.writable) {
      socket.write(parserErrorResponse(error.code));
    }
    connection.end();
  }
}
