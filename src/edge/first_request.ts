/**
 * Refuses the first request of a connection with little work.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Failure } from "../core/mod.ts";
import type { LocalReply, RequestCodec } from "./request_codec.ts";

const HEAD_END = "\r\n\r\n";
/** How much of a header is searched for the request's id, in bytes. */
const MAX_HEAD_BYTES = 16_384;
/** How long the header is waited for, in milliseconds. */
const MAX_HEAD_MS = 1_000;

/** Dependencies of the refusal. */
export interface FirstRequestOptions {
  readonly codec: RequestCodec;
  readonly clock: Clock;
}

/**
 * Answers the first request of a connection with a refusal that has its id, and
 * closes the connection; what follows is discarded. No parser is involved, which
 * takes most of the time in which a request is read.
 *
 * @param socket Must be one that lingers on `destroySoon`.
 *
 * @example
 * ```ts
 * refuseFirstRequest(socket, why, { codec, clock });
 * ```
 */
export function refuseFirstRequest(
  socket: Socket,
  why: Failure,
  { codec, clock }: FirstRequestOptions,
): void {
  let head = "";
  const onData = (chunk: Buffer) => {
    head += chunk.toString("latin1");
    if (!head.includes(HEAD_END) && head.length < MAX_HEAD_BYTES) return;
    socket.off("data", onData);
    const { path, headers } = splitHead(head);
    const { requestId } = codec.readRequest(path, headers);
    socket.write(responseText(codec.refusal(why, requestId)));
    socket.destroySoon();
  };
  const timer = clock.after(MAX_HEAD_MS, () => socket.destroySoon());
  socket.on("error", () => {});
  socket.on("data", onData);
  socket.once("end", () => socket.destroySoon());
  socket.once("close", () => timer.close());
}

/** The path and the fields of a header, of which the end may be missing. */
function splitHead(
  head: string,
): { readonly path: string; readonly headers: string[] } {
  const [requestLine = "", ...lines] = head.split(HEAD_END, 1)[0]!
    .split("\r\n");
  const headers = lines.flatMap((line) => {
    const colon = line.indexOf(":");
    return colon < 0
      ? []
      : [line.slice(0, colon), line.slice(colon + 1).trim()];
  });
  return { path: requestLine.split(" ")[1] ?? "/", headers };
}

/** A response that closes its connection. */
function responseText({ status, headers, body }: LocalReply): string {
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`];
  const fields = [
    ...headers,
    "Connection",
    "close",
    "Content-Length",
    String(Buffer.byteLength(body)),
  ];
  for (let i = 0; i < fields.length; i += 2) {
    lines.push(`${fields[i]}: ${fields[i + 1]}`);
  }
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}
