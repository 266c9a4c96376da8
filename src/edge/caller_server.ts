/**
 * The HTTP listener for callers.
 *
 * It uses the Node.js server without a router: each request's path is looked up
 * in the plan, so a router would only add work to every request.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Clock, Failure, Log } from "../core/mod.ts";
import { CancelSource, failure } from "../core/mod.ts";
import type { BodySink } from "./endpoint_sender.ts";
import { headerOf } from "./header_fields.ts";
import {
  declinedField,
  endpointField,
  readHop,
  withoutHopFields,
} from "./hop_headers.ts";
import { boundPort, closeAtOnce, listenAt } from "./listening.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { FlowResult } from "./flow_result.ts";
import type { CallerRequest } from "./request_context.ts";

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

/** Accepts callers' connections and serves their requests. */
export class CallerServer {
  readonly #opts: CallerServerOptions;
  readonly #server: Server;
  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
  #draining = false;
  #openRequests = 0;
  #onIdle: (() => void) | undefined;

  private constructor(opts: CallerServerOptions) {
    this.#opts = opts;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADER_TIMEOUT_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
    }, (req, res) => void this.#serve(req, res));
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

  /** Sends `Connection: close` with every response from now on. */
  startDraining(): void {
    this.#draining = true;
  }

  /** Accepts no new connections and closes idle ones. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Resolves once no request is open. */
  whenIdle(): Promise<void> {
    if (this.#openRequests === 0) return Promise.resolve();
    return new Promise((resolve) => this.#onIdle = resolve);
  }

  /** Closes the listener and all connections immediately. */
  close(): Promise<void> {
    return closeAtOnce(this.#server);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#openRequests++;
    res.sendDate = false;
    try {
      await this.#respond(req, res);
    } catch (cause) {
      this.#opts.log.event("request_handler_failed", { cause: String(cause) });
      res.destroy();
    } finally {
      this.#openRequests--;
      if (this.#openRequests === 0) this.#onIdle?.();
    }
  }

  async #respond(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { codec, clock, handle } = this.#opts;
    const arrivedAt = clock.now();
    const { rawHeaders } = req;
    const fields = codec.readRequest(req.url ?? "/", rawHeaders);
    const hop = this.#fromPeers ? readHop(rawHeaders) : undefined;
    if (this.#fromPeers && hop === undefined) {
      const bad = failure("bad_request", "the fields of the hop are missing");
      return this.#refuse(res, bad, fields.requestId, 400);
    }
    const body = await readBody(req, this.#maxBodyBytes);
    if (body === "gone") return;
    if (body === "too_large") {
      const large = failure("bad_request", "the body is too large");
      return this.#refuse(res, large, fields.requestId, 413);
    }
    const disconnected = new CancelSource();
    res.once("close", () => {
      if (!res.writableFinished) disconnected.abort();
    });
    const result = await handle({
      method: req.method ?? "GET",
      headers: hop === undefined ? rawHeaders : withoutHopFields(rawHeaders),
      hop,
      fields,
      body,
      arrivedAt,
      signal: disconnected,
    });
    switch (result.kind) {
      case "gone":
        return void res.destroy();
      case "refusal":
        return this.#refuse(res, result.failure, fields.requestId);
      case "answer":
        return await this.#relay(res, result);
    }
  }

  #refuse(
    res: ServerResponse,
    why: Failure,
    requestId: string,
    status?: number,
  ): void {
    const reply = this.#opts.codec.refusal(why, requestId);
    const length = ["Content-Length", String(Buffer.byteLength(reply.body))];
    const declined = this.#fromPeers && why.code === "not_ready"
      ? declinedField()
      : [];
    const headers = [
      ...reply.headers,
      ...declined,
      ...length,
      ...this.#connectionHeaders(),
    ];
    res.writeHead(status ?? reply.status, headers);
    res.end(reply.body);
  }

  async #relay(
    res: ServerResponse,
    response: Extract<FlowResult, { kind: "answer" }>,
  ): Promise<void> {
    const { bytes, remainder } = response.body;
    const { endpoint } = response;
    const passedOn = this.#opts.codec.callerHeaders(response.headers);
    const headers = this.#fromPeers && endpoint !== undefined
      ? [...withoutHopFields(passedOn), ...endpointField(endpoint)]
      : passedOn;
    res.writeHead(response.status, [...headers, ...this.#connectionHeaders()]);
    if (remainder === undefined) {
      res.end(bytes);
      return;
    }
    res.write(bytes);
    await new Promise<void>((resolve) => {
      res.on("drain", () => remainder.resume());
      res.once("close", () => {
        if (!res.writableFinished) remainder.cancel();
        resolve();
      });
      remainder.pipe(bodySinkOf(res));
    });
  }

  get #fromPeers(): boolean {
    return this.#opts.fromPeers === true;
  }

  #connectionHeaders(): string[] {
    return this.#draining ? ["Connection", "close"] : [];
  }
}

function bodySinkOf(res: ServerResponse): BodySink {
  return {
    data: (chunk) => res.write(chunk),
    end: () => void res.end(),
    // The caller must not mistake a partial response for a complete one.
    fail: () => void res.destroy(),
  };
}

/** Reads a body to its end. */
function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined | "gone" | "too_large"> {
  const declared = headerOf(req.rawHeaders, "content-length");
  const chunked = headerOf(req.rawHeaders, "transfer-encoding") !== undefined;
  if (declared === undefined && !chunked) return Promise.resolve(undefined);
  if (Number(declared) > maxBytes) return Promise.resolve("too_large");
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve("too_large");
      else chunks.push(chunk);
    });
    req.on("end", () => resolve(Buffer.concat(chunks)));
    req.on("close", () => resolve("gone"));
  });
}
