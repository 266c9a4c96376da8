/**
 * Writes responses to callers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Clock, type Failure, failure } from "../core/mod.ts";
import type { ByteBudget, Reservation } from "../decisions/memory/mod.ts";
import type { PipelinedRequest } from "./caller_connection.ts";
import type { FlowResult } from "./flow_result.ts";
import {
  declinedField,
  endpointField,
  endsWithConnectionField,
  withoutHopFields,
} from "./hop_headers.ts";
import type { RequestCodec } from "./request_codec.ts";

const END_NOT_PROVEN = failure(
  "endpoint_failed",
  "the endpoint's answer has no length, and others follow on the connection",
  { outcome: "unknown" },
);

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

  /**
   * Passes an endpoint's response on. A body that ended with the endpoint's
   * connection ends with the caller's, too: a length or a last chunk would prove
   * to the caller what nobody knows. Returns false if that would lose responses
   * behind it, and the caller got a failure instead.
   */
  relay(
    to: PipelinedRequest,
    response: Extract<FlowResult, { kind: "answer" }>,
    { requestId }: { readonly requestId: string },
  ): boolean {
    const { bytes, remainder, endsWithConnection = false } = response.body;
    const { res, signal } = to;
    const closes = endsWithConnection && !this.#opts.toPeers;
    if (closes) {
      if (!to.mayEndConnection) {
        remainder?.cancel();
        this.refuse(to, END_NOT_PROVEN, { requestId });
        return false;
      }
      to.endConnection();
      res.useChunkedEncodingByDefault = false;
    }
    const headers = this.#headersOf(response);
    const { status } = response;
    const unread = this.#countUnread(to);
    writeHead(to, status, headers);
    unread.add(bytes.length);
    if (remainder === undefined) {
      res.end(bytes);
      return true;
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
      fail: () => {
        if (closes) res.socket?.resetAndDestroy();
        res.destroy();
      },
    });
    return true;
  }

  #headersOf(
    { headers, endpoint, body }: Extract<FlowResult, { kind: "answer" }>,
  ): string[] {
    const { codec, toPeers } = this.#opts;
    const passedOn = codec.callerHeaders(headers);
    if (!toPeers) return passedOn;
    return [
      ...withoutHopFields(passedOn),
      ...(endpoint === undefined ? [] : endpointField(endpoint)),
      ...(body.endsWithConnection === true ? endsWithConnectionField() : []),
    ];
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
