/**
 * The listener for callers.
 *
 * It stands on Node.js's own server and not on a router: the path of each
 * request is looked up in the plan, so a router would only add its own work to
 * every request.
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
import type { AnswerSink } from "./endpoint_sender.ts";
import { headerOf } from "./header_fields.ts";
import { closeAtOnce, listenAt } from "./listening.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { FlowAnswer } from "./request_flow.ts";
import type { CallerRequest } from "./request_context.ts";

/** Serves one request. */
export type RequestHandler = (req: CallerRequest) => Promise<FlowAnswer>;

/** What the server works with. */
export interface CallerServerOptions {
  /** Host and port. */
  readonly address: string;
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly handle: RequestHandler;
  readonly log: Log;
}

/** Header fields larger than this are refused with 431, in bytes. */
const HEADER_BYTES = 65_536;
/** How long a caller may take over its header fields, in milliseconds. */
const HEADER_MS = 10_000;
/** Until a plan says how long connections may rest, in milliseconds. */
const FIRST_IDLE_MS = 15_000;
/** Until a plan says how large a body may be, in bytes. */
const FIRST_BODY_BYTES = 1_048_576;
/** Connections waiting to be accepted: a burst of new callers at once. */
const BACKLOG = 1_024;

/** Takes callers' connections. */
export class CallerServer {
  readonly #opts: CallerServerOptions;
  readonly #server: Server;
  #bodyBytes = FIRST_BODY_BYTES;
  #leaving = false;
  /** Requests that are not answered yet. */
  #open = 0;
  #onIdle: (() => void) | undefined;

  private constructor(opts: CallerServerOptions) {
    this.#opts = opts;
    this.#server = createServer({
      maxHeaderSize: HEADER_BYTES,
      headersTimeout: HEADER_MS,
      keepAliveTimeout: FIRST_IDLE_MS,
      requestTimeout: 0,
      noDelay: true,
    }, (req, res) => void this.#serve(req, res));
  }

  /** Listens; gives the server once connections are taken. */
  static async listen(opts: CallerServerOptions): Promise<CallerServer> {
    const server = new CallerServer(opts);
    await listenAt(server.#server, opts.address, BACKLOG);
    return server;
  }

  /** Sets how long connections may rest, in ms, and how large bodies may be. */
  limit(limits: { readonly idleMs: number; readonly bodyBytes: number }): void {
    this.#server.keepAliveTimeout = limits.idleMs;
    this.#bodyBytes = limits.bodyBytes;
  }

  /** From now on each answer asks the caller to leave its connection. */
  leave(): void {
    this.#leaving = true;
  }

  /** Takes no new connections and closes those that rest. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Resolves once no request is open. */
  idle(): Promise<void> {
    if (this.#open === 0) return Promise.resolve();
    return new Promise((resolve) => this.#onIdle = resolve);
  }

  /** Closes everything at once. */
  close(): Promise<void> {
    return closeAtOnce(this.#server);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#open++;
    res.sendDate = false;
    try {
      await this.#answer(req, res);
    } catch (cause) {
      this.#opts.log.event("request_handler_failed", { cause: String(cause) });
      res.destroy();
    } finally {
      this.#open--;
      if (this.#open === 0) this.#onIdle?.();
    }
  }

  async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { codec, clock, handle } = this.#opts;
    const arrivedAt = clock.now();
    const fields = codec.readCaller(req.url ?? "/", req.rawHeaders);
    const body = await readBody(req, this.#bodyBytes);
    if (body === "gone") return;
    if (body === "too_large") {
      const large = failure("bad_request", "the body is too large");
      return this.#refuse(res, large, fields.requestId, 413);
    }
    const gone = new CancelSource();
    res.once("close", () => {
      if (!res.writableFinished) gone.abort();
    });
    const answer = await handle({
      method: req.method ?? "GET",
      headers: req.rawHeaders,
      fields,
      body,
      arrivedAt,
      signal: gone,
    });
    switch (answer.kind) {
      case "gone":
        return void res.destroy();
      case "refusal":
        return this.#refuse(res, answer.failure, fields.requestId);
      case "answer":
        return await this.#relay(res, answer);
    }
  }

  #refuse(
    res: ServerResponse,
    why: Failure,
    requestId: string,
    status?: number,
  ): void {
    const own = this.#opts.codec.refusal(why, requestId);
    const length = ["Content-Length", String(Buffer.byteLength(own.body))];
    const headers = [...own.headers, ...length, ...this.#closing()];
    res.writeHead(status ?? own.status, headers);
    res.end(own.body);
  }

  async #relay(
    res: ServerResponse,
    answer: Extract<FlowAnswer, { kind: "answer" }>,
  ): Promise<void> {
    const { bytes, rest } = answer.body;
    const headers = this.#opts.codec.callerHeaders(answer.headers);
    res.writeHead(answer.status, [...headers, ...this.#closing()]);
    if (rest === undefined) {
      res.end(bytes);
      return;
    }
    res.write(bytes);
    await new Promise<void>((resolve) => {
      res.on("drain", () => rest.resume());
      res.once("close", () => {
        if (!res.writableFinished) rest.cancel();
        resolve();
      });
      rest.pipe(sinkOf(res));
    });
  }

  #closing(): string[] {
    return this.#leaving ? ["Connection", "close"] : [];
  }
}

function sinkOf(res: ServerResponse): AnswerSink {
  return {
    data: (chunk) => res.write(chunk),
    end: () => void res.end(),
    // The caller must not take what it has for the whole.
    fail: () => void res.destroy(),
  };
}

/** Reads a body to its end. */
function readBody(
  req: IncomingMessage,
  mostBytes: number,
): Promise<Buffer | undefined | "gone" | "too_large"> {
  const announced = headerOf(req.rawHeaders, "content-length");
  const chunked = headerOf(req.rawHeaders, "transfer-encoding") !== undefined;
  if (announced === undefined && !chunked) return Promise.resolve(undefined);
  if (Number(announced) > mostBytes) return Promise.resolve("too_large");
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > mostBytes) resolve("too_large");
      else chunks.push(chunk);
    });
    req.on("end", () => resolve(Buffer.concat(chunks)));
    req.on("close", () => resolve("gone"));
  });
}
