/**
 * The header of a request, and what makes it invalid.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { type Failure, failure } from "../core/mod.ts";
import { headerOf } from "./header_fields.ts";
import { headerBytesOf } from "./header_size.ts";
import { type Hop, readHop } from "./hop_headers.ts";
import { type BodyLength, bodyLengthOf } from "./request_body.ts";
import type { RequestCodec, RequestFields } from "./request_codec.ts";

/** Limits of the plan on one request. */
export interface RequestLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
}

/** What the header of a request says, and the limits that apply to it. */
export interface RequestHead {
  readonly fields: RequestFields;
  readonly length: BodyLength;
  /** Only of requests that instances pass on. */
  readonly hop: Hop | undefined;
  readonly limits: RequestLimits;
}

/** Why a request is refused, and the HTTP status that says so. */
export interface InvalidHead {
  readonly why: Failure;
  readonly status: number;
}

const HEADER_TOO_LARGE = failure("bad_request", "the header is too large");
const HOST_MISSING = failure("bad_request", "the Host field is missing");
const HOP_MISSING = failure("bad_request", "the fields of the hop are missing");
/** Also of a body without a length that turns out to be too large. */
export const BODY_TOO_LARGE: InvalidHead = {
  why: failure("bad_request", "the body is too large"),
  status: 413,
};

/** Reads the header of a request. */
export function readHead(
  req: IncomingMessage,
  opts: {
    readonly codec: RequestCodec;
    readonly fromPeers: boolean;
    readonly limits: RequestLimits;
  },
): RequestHead {
  const { codec, fromPeers, limits } = opts;
  return {
    fields: codec.readRequest(req.url ?? "/", req.rawHeaders),
    length: bodyLengthOf(req),
    hop: fromPeers ? readHop(req.rawHeaders) : undefined,
    limits,
  };
}

/** Why a request is refused by its header; undefined if it is valid. */
export function invalidHead(
  req: IncomingMessage,
  { hop, length, limits }: RequestHead,
  { fromPeers }: { readonly fromPeers: boolean },
): InvalidHead | undefined {
  const { headerBytes, bodyBytes } = limits;
  if (headerBytesOf(req) > headerBytes) {
    return { why: HEADER_TOO_LARGE, status: 431 };
  }
  if (isHostMissing(req)) return { why: HOST_MISSING, status: 400 };
  if (fromPeers && hop === undefined) return { why: HOP_MISSING, status: 400 };
  if (length.kind === "declared" && length.bytes > bodyBytes) {
    return BODY_TOO_LARGE;
  }
  return undefined;
}

/** HTTP/1.1 requires the field. */
function isHostMissing(req: IncomingMessage): boolean {
  return req.httpVersion === "1.1" &&
    headerOf(req.rawHeaders, "host") === undefined;
}
