/**
 * Writes responses to callers.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { CancelSignal, Failure } from "../core/mod.ts";
import type { BodySink } from "./endpoint_sender.ts";
import type { FlowResult } from "./flow_result.ts";
import {
  declinedField,
  endpointField,
  withoutHopFields,
} from "./hop_headers.ts";
import type { RequestCodec } from "./request_codec.ts";

/** A response with its place on the connection. */
export interface CallerResponse {
  readonly res: ServerResponse;
  /** Aborted when the caller leaves before it is complete. */
  readonly signal: CancelSignal;
  /** Called once, for the header; whether the response is the last one. */
  readonly decideClose: () => boolean;
}

/** Writes responses in the codec's header fields. */
export class ResponseWriter {
  readonly #codec: RequestCodec;
  readonly #toPeers: boolean;

  /** @param opts `toPeers`: the callers are instances that pass requests on. */
  constructor(codec: RequestCodec, opts: { readonly toPeers: boolean }) {
    this.#codec = codec;
    this.#toPeers = opts.toPeers;
  }

  /** Writes the response to a request that fails at this instance. */
  refuse(
    to: CallerResponse,
    why: Failure,
    opts: { readonly requestId: string; readonly status?: number },
  ): void {
    const reply = this.#codec.refusal(why, opts.requestId);
    const length = ["Content-Length", String(Buffer.byteLength(reply.body))];
    const declined = this.#toPeers && why.code === "not_ready"
      ? declinedField()
      : [];
    const headers = [...reply.headers, ...declined, ...length];
    writeHead(to, opts.status ?? reply.status, headers);
    to.res.end(reply.body);
  }

  /** Passes an endpoint's response on. */
  relay(
    to: CallerResponse,
    response: Extract<FlowResult, { kind: "answer" }>,
  ): void {
    const { bytes, remainder } = response.body;
    const { endpoint, status } = response;
    const { res, signal } = to;
    const passedOn = this.#codec.callerHeaders(response.headers);
    const headers = this.#toPeers && endpoint !== undefined
      ? [...withoutHopFields(passedOn), ...endpointField(endpoint)]
      : passedOn;
    writeHead(to, status, headers);
    if (remainder === undefined) {
      res.end(bytes);
      return;
    }
    res.write(bytes);
    res.on("drain", () => remainder.resume());
    signal.addEventListener("abort", () => remainder.cancel(), { once: true });
    remainder.pipe(bodySinkOf(res));
  }
}

function writeHead(
  { res, decideClose }: CallerResponse,
  status: number,
  headers: readonly string[],
): void {
  const close = decideClose() ? ["Connection", "close"] : [];
  res.writeHead(status, [...headers, ...close]);
}

function bodySinkOf(res: ServerResponse): BodySink {
  return {
    data: (chunk) => res.write(chunk),
    end: () => void res.end(),
    // The caller must not mistake a partial response for a complete one.
    fail: () => void res.destroy(),
  };
}
