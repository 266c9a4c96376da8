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
import type { Clock, Log } from "../core/mod.ts";
import { failure } from "../core/mod.ts";
import {
  CallerConnection,
  type PipelinedRequest,
  type ServerStage,
} from "./caller_connection.ts";
import type { FlowResult } from "./flow_result.ts";
import { headerOf } from "./header_fields.ts";
import { readHop, withoutHopFields } from "./hop_headers.ts";
import { lingerOnClose } from "./lingering_close.ts";
import { boundPort, closeAtOnce, listenAt } from "./listening.ts";
import { parserErrorResponse } from "./parser_error.ts";
import { readBody } from "./request_body.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { CallerRequest } from "./request_context.ts";
import { type CallerResponse, ResponseWriter } from "./response_writer.ts";

/** Serves one request. */
export type RequestHandler = (req: CallerRequest) => Promise<FlowResult>;

/** Dependencies of the server. */
export interface CallerServerOptions {
  /** Host and port. */
  readonly address: string;
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly handle: RequestHandler;
  readonly log: Log;
  /** Whether its callers are instances that pass requests on. */
  readonly fromPeers?: boolean;
}

/** Maximum size of header fields in bytes; larger ones are refused with 431. */
const MAX_HEADER_BYTES = 65_536;
/** Time in which a caller must send its header fields, in milliseconds. */
const HEADER_TIMEOUT_MS = 10_000;
/** Idle timeout of connections until a plan sets one, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Maximum body size until a plan sets one, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/** Connections that may wait to be accepted in a burst of new callers. */
const BACKLOG = 1_024;

const HOST_MISSING = failure("bad_request", "the Host field is missing");
const HOP_MISSING = failure("bad_request", "the fields of the hop are missing");
const BODY_TOO_LARGE = failure("bad_request", "the body is too large");
const STOPPED = failure("not_ready", "this instance is stopping", {
  outcome: "not-run",
});

/** Accepts callers' connections and serves their requests. */
export class CallerServer {
  readonly #opts: CallerServerOptions;
  readonly #server: Server;
  readonly #writer: ResponseWriter;
  readonly #connections = new Map<Socket, CallerConnection>();
  readonly #responses = new WeakMap<PipelinedRequest, CallerResponse>();
  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
  #stage: ServerStage = "serving";
  #onIdle: (() => void) | undefined;

  private constructor(opts: CallerServerOptions) {
    this.#opts = opts;
    const toPeers = opts.fromPeers === true;
    this.#writer = new ResponseWriter(opts.codec, { toPeers });
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADER_TIMEOUT_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
      // Node.js would answer such a request and forward those behind it.
      requireHostHeader: false,
    });
    this.#server.on("connection", (socket: Socket) => this.#connected(socket));
    this.#server.on("request", (req, res) => this.#onRequest(req, res));
    this.#server.on(
      "clientError",
      (error, socket) => this.#onParserError(error, socket as Socket),
    );
  }

  /** Starts a server; resolves once it accepts connections. */
  static async listen(opts: CallerServerOptions): Promise<CallerServer> {
    const server = new CallerServer(opts);
    await listenAt(server.#server, opts.address, BACKLOG);
    return server;
  }

  /** The port on which it listens. */
  get port(): number {
    return boundPort(this.#server);
  }

  /** Sets the idle timeout in milliseconds and the maximum body size. */
  applyLimits(
    limits: { readonly idleMs: number; readonly bodyBytes: number },
  ): void {
    this.#server.keepAliveTimeout = limits.idleMs;
    this.#maxBodyBytes = limits.bodyBytes;
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
    for (const connection of [...this.#connections.values()]) {
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

  #connected(socket: Socket): void {
    lingerOnClose(socket, this.#opts.clock);
    const connection = new CallerConnection(socket, {
      run: (request) => void this.#run(request),
      refuseLate: (request) => this.#refuseLate(request),
    }, () => this.#stage);
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
      if (this.#connections.size === 0) this.#onIdle?.();
    });
    // It was accepted by the system before the listener was closed.
    if (this.#stage === "stopped") connection.stop();
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    const connection = this.#connections.get(req.socket);
    const request = connection?.add(req);
    if (connection === undefined || request === undefined) return;
    res.sendDate = false;
    res.once("finish", () => request.finish());
    this.#responses.set(request, {
      res,
      signal: request.signal,
      decideClose: () => request.decideClose(),
    });
    connection.startNext();
  }

  /**
   * Answers what is no request. Requests before it that were forwarded get their
   * responses, of which the last closes the connection.
   */
  #onParserError(error: Error & { code?: string }, socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    if (connection.isEnding) return;
    if (!connection.isAnswering && socket.writable) {
      socket.write(parserErrorResponse(error.code));
    }
    connection.end();
  }

  async #run(request: PipelinedRequest): Promise<void> {
    const to = this.#responses.get(request);
    if (to === undefined) return;
    try {
      await this.#respond(request, to);
    } catch (cause) {
      this.#opts.log.event("request_handler_failed", { cause: String(cause) });
      to.res.destroy();
    }
  }

  async #respond(
    request: PipelinedRequest,
    to: CallerResponse,
  ): Promise<void> {
    const { codec, clock, handle, fromPeers = false } = this.#opts;
    const { req, signal } = request;
    const arrivedAt = clock.now();
    const { rawHeaders } = req;
    const fields = codec.readRequest(req.url ?? "/", rawHeaders);
    const { requestId } = fields;
    if (isHostMissing(req)) {
      return this.#writer.refuse(to, HOST_MISSING, { requestId, status: 400 });
    }
    const hop = fromPeers ? readHop(rawHeaders) : undefined;
    if (fromPeers && hop === undefined) {
      return this.#writer.refuse(to, HOP_MISSING, { requestId, status: 400 });
    }
    const reading = readBody(req, { maxBytes: this.#maxBodyBytes, signal });
    const body = reading instanceof Promise ? await reading : reading;
    if (body === "gone") return;
    if (body === "too_large") {
      return this.#writer.refuse(to, BODY_TOO_LARGE, {
        requestId,
        status: 413,
      });
    }
    if (!request.forward()) return;
    const result = await handle({
      method: req.method ?? "GET",
      headers: hop === undefined ? rawHeaders : withoutHopFields(rawHeaders),
      hop,
      fields,
      body,
      arrivedAt,
      signal,
    });
    switch (result.kind) {
      case "gone":
        return void to.res.destroy();
      case "refusal":
        return this.#writer.refuse(to, result.failure, { requestId });
      case "answer":
        return this.#writer.relay(to, result);
    }
  }

  /** Refuses a request that was not read in full before the listener closed. */
  #refuseLate(request: PipelinedRequest): void {
    const to = this.#responses.get(request);
    if (to === undefined) return;
    const { codec } = this.#opts;
    const { req, signal } = request;
    const fields = codec.readRequest(req.url ?? "/", req.rawHeaders);
    this.#writer.refuse(to, STOPPED, { requestId: fields.requestId });
    signal.abort();
    req.resume();
  }
}

/** HTTP/1.1 requires the field. */
function isHostMissing(req: IncomingMessage): boolean {
  return req.httpVersion === "1.1" &&
    headerOf(req.rawHeaders, "host") === undefined;
}
