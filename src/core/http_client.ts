/**
 * An HTTP/1.1 client that buffers responses in memory.
 *
 * It uses the client of `node:http`, which shares code with the server, so that
 * a restarting instance does not compile a second HTTP implementation.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { SystemClock } from "./clock.ts";
import { setConnectTimeout } from "./connect_timeout.ts";
import { Deadline } from "./deadline.ts";

/**
 * Largest body of a response, in bytes: some times what the largest list or
 * snapshot has. A server that sends without end would fill the memory.
 */
const MAX_BODY_BYTES = 8_388_608;
/** Informational responses before a response. */
const MAX_INFORMATIONAL = 16;

/** A request and its limits. */
export interface HttpRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** The request body, sent as JSON. */
  readonly json?: unknown;
  /** Timeout for the whole call, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** Whether to use a connection of its own, since open ones may be silent. */
  readonly newConnection?: boolean | undefined;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Sends requests over keep-alive connections. */
export class HttpClient {
  #agent = new Agent({ keepAlive: true });
  readonly #clock = new SystemClock();
  readonly #connectTimeoutMs: number;

  /** @param connectTimeoutMs The connect timeout in milliseconds. */
  constructor(connectTimeoutMs: number) {
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Rejects if no complete response arrives in time, or one whose body exceeds
   * 8 MiB; it is then unknown whether the server processed the request.
   *
   * @example
   * ```ts
   * const { status, body } = await client.call({
   *   ...splitAddress("10.1.0.2:8500"),
   *   method: "GET",
   *   path: "/objects/config",
   *   timeoutMs: 1_500,
   *   signal,
   * });
   * ```
   */
  async call(call: HttpRequest): Promise<HttpResponse> {
    const deadline = new Deadline(call.timeoutMs, call.signal);
    try {
      return await this.#send(call, deadline.signal);
    } finally {
      deadline.close();
    }
  }

  /** Uses no connection opened before now for further calls. */
  renewConnections(): void {
    const previous = this.#agent;
    this.#agent = new Agent({ keepAlive: true });
    // Calls in progress keep their connections, which close after them.
    previous.maxFreeSockets = 0;
    for (const sockets of Object.values(previous.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  close(): void {
    this.#agent.destroy();
  }

  #send(call: HttpRequest, signal: AbortSignal): Promise<HttpResponse> {
    const { host, port, method, path, json } = call;
    const body = json === undefined ? undefined : JSON.stringify(json);
    const headers = body === undefined ? {} : {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    };
    return new Promise((resolve, reject) => {
      const agent = call.newConnection === true ? false : this.#agent;
      const opts = { host, port, method, path, headers, agent, signal };
      const req = request(opts, (res) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        res.on("data", (chunk: Buffer) => {
          bytes += chunk.length;
          if (bytes <= MAX_BODY_BYTES) return void chunks.push(chunk);
          chunks.length = 0;
          req.destroy(new Error("the response is too large"));
        });
        res.on("error", reject);
        res.on("end", () => {
          const status = res.statusCode ?? 0;
          resolve({ status, body: Buffer.concat(chunks) });
        });
      });
      let informational = 0;
      req.on("information", () => {
        if (++informational <= MAX_INFORMATIONAL) return;
        req.destroy(new Error("too many informational responses"));
      });
      req.on("error", reject);
      req.once("socket", (socket) => {
        if (!socket.connecting) return;
        setConnectTimeout(socket, this.#connectTimeoutMs, this.#clock);
      });
      req.end(body);
    });
  }
}
