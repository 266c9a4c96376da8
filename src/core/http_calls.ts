/**
 * Calls over HTTP/1.1 whose answers are held in memory.
 *
 * They stand on the runtime's own client, which shares its code with the
 * server: an instance that restarts compiles one of them, not two.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { SystemClock } from "./clock.ts";
import { limitConnect } from "./connect_limit.ts";
import { Deadline } from "./deadline.ts";

/** A call. */
export interface HttpCall {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Sent as JSON. */
  readonly json?: unknown;
  /** How long the call may take, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** An answer, read to its end. */
export interface HttpReply {
  readonly status: number;
  readonly body: Buffer;
}

/** Makes calls on kept connections. */
export class HttpCalls {
  readonly #agent = new Agent({ keepAlive: true });
  readonly #clock = new SystemClock();
  readonly #connectMs: number;

  /** @param connectMs How long a connection may take to open. */
  constructor(connectMs: number) {
    this.#connectMs = connectMs;
  }

  /**
   * Rejects where no whole answer came in time; whether the call was carried
   * out is then unknown.
   *
   * @example
   * ```ts
   * const { status, body } = await calls.call({
   *   ...splitAddress("10.1.0.2:8500"),
   *   method: "GET",
   *   path: "/objects/config",
   *   timeoutMs: 1_500,
   *   signal,
   * });
   * ```
   */
  async call(call: HttpCall): Promise<HttpReply> {
    const deadline = new Deadline(call.timeoutMs, call.signal);
    try {
      return await this.#send(call, deadline.signal);
    } finally {
      deadline.close();
    }
  }

  close(): void {
    this.#agent.destroy();
  }

  #send(call: HttpCall, signal: AbortSignal): Promise<HttpReply> {
    const { host, port, method, path, json } = call;
    const body = json === undefined ? undefined : JSON.stringify(json);
    const headers = body === undefined ? {} : {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    };
    return new Promise((resolve, reject) => {
      const agent = this.#agent;
      const opts = { host, port, method, path, headers, agent, signal };
      const req = request(opts, (res) => {
        const chunks: Buffer[] = [];
        res.on("data", (chunk: Buffer) => chunks.push(chunk));
        res.on("error", reject);
        res.on("end", () => {
          const status = res.statusCode ?? 0;
          resolve({ status, body: Buffer.concat(chunks) });
        });
      });
      req.on("error", reject);
      req.once("socket", (socket) => {
        if (!socket.connecting) return;
        limitConnect(socket, this.#connectMs, this.#clock);
      });
      req.end(body);
    });
  }
}
