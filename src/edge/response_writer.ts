/**
 * Writes responses to callers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Clock, Failure } from "../core/mod.ts";
import type { ByteBudget, Reservation } from "../decisions/memory/mod.ts";
import type { PipelinedRequest } from "./caller_connection.ts";
import type { FlowResult } from "./flow_result.ts";
import {
  declinedField,
  endpointField,
  withoutHopFields,
} from "./hop_headers.ts";
import type { RequestCodec } from "./request_codec.ts";

/** Dependencies of the writer. */
export interface ResponseWriterOptions {
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly memory: ByteBudget;
  /** Whether the callers are instances that pass requests on. */
  readonly toPeers: boolean;
}

/** Writes responses in the codec's header fields. */
export class ResponseWriter {
  readonly #opts: ResponseWriterOptions;

  constructor(opts: ResponseWriterOptions) {
    this.#opts = opts;
  }

  /** Writes the response to a request that fails at this instance. */
  refuse(
    to: PipelinedRequest,
    why: Failure,
    opts: { readonly requestId: string; readonly status?: number | undefined },
  ): void {
    const reply = this.#opts.codec.refusal(why, opts.requestId);
    const length = ["Content-Length", String(Buffer.byteLength(reply.body))];
    const declined = this.#opts.toPeers && why.code === "not_ready"
      ? declinedField()
      : [];
    const headers = [...reply.headers, ...declined, ...length];
    writeHead(to, opts.status ?? reply.status, headers);
    to.res.end(reply.body);
  }

  /** Passes an endpoint's response on. */
  relay(
    to: PipelinedRequest,
    response: Extract<FlowResult, { kind: "answer" }>,
  ): void {
    const { bytes, remainder } = response.body;
    const { endpoint, status } = response;
    const { res, signal } = to;
    const passedOn = this.#opts.codec.callerHeaders(response.headers);
    const headers = this.#opts.toPeers && endpoint !== undefined
      ? [...withoutHopFields(passedOn), ...endpointField(endpoint)]
      : passedOn;
    const unread = this.#countUnread(to);
    writeHead(to, status, headers);
    unread.add(bytes.length);
    if (remainder === undefined) {
      res.end(bytes);
      return;
    }
    const { clock } = this.#opts;
    const write = (chunk: Buffer) => {
      unread.add(chunk.length);
      return res.write(
        chunk,
        () => unread.subtract(chunk.length, clock.now()),
      );
    };
    res.write(bytes, () => unread.subtract(bytes.length, clock.now()));
    res.on("drain", () => remainder.resume());
    signal.addEventListener("abort", () => remainder.cancel());
    remainder.pipe({
      data: write,
      end: () => void res.end(),
      // The caller must not mistake a partial response for a complete one.
      fail: () => void res.destroy(),
    });
  }

  /** Counts the bytes of a response that the system has not taken yet. */
  #countUnread({ res, signal }: PipelinedRequest): Reservation {
    const { memory, clock } = this.#opts;
    const unread = memory.open();
    const release = () => unread.release(clock.now());
    res.once("finish", release);
    signal.addEventListener("abort", release);
    return unread;
  }
}

function writeHead(
  to: PipelinedRequest,
  status: number,
  headers: readonly string[],
): void {
  const close = to.decideClose() ? ["Connection", "close"] : [];
  to.res.writeHead(status, [...headers, ...close]);
}
