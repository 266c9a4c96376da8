/**
 * Counts the bytes that a connection receives for one response.
 *
 * Node.js's parser reports surplus bytes after a response only if they are
 * complete headers or not HTTP at all. It discards the beginning of another
 * response, whose remainder would be read as the next request's response.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const HEAD_END = "\r\n\r\n";
/** The parser takes any byte after this for the end of a head. */
const HEAD_ALMOST_END = "\r\n\r";
const LINE_FEED = 10;
/** Beginning of an informational response, which another one follows. */
const INFORMATIONAL = /^HTTP\/1\.[01] 1\d\d/;
const STATUS_BYTES = 12;
const CHUNKED_END = Buffer.from("\r\n\r\n");
const EMPTY = Buffer.alloc(0);

/** How the end of a response's body is marked. */
export type BodyFraming =
  | { readonly kind: "chunked" }
  /** By its length, in bytes; 0 where a response has no body. */
  | { readonly kind: "length"; readonly bytes: number };

/**
 * Bytes of one response as they arrive on its connection.
 *
 * @example
 * ```ts
 * socket.on("data", (chunk) => received.add(chunk));
 * res.on("end", () => reusable = received.endsWith({ kind: "chunked" }));
 * ```
 */
export class ReceivedBytes {
  /** What arrived of the head, until it is complete. */
  #head: Buffer | undefined = EMPTY;
  #bodyBytes = 0;
  #isCut = false;
  /** A copy, since a slice would keep the whole chunk in memory. */
  #tail: Buffer = EMPTY;

  /** Adds a chunk as read from the socket. */
  add(chunk: Buffer): void {
    const { length } = CHUNKED_END;
    this.#tail = chunk.length >= length
      ? Buffer.from(chunk.subarray(-length))
      : Buffer.concat([this.#tail, chunk]).subarray(-length);
    if (this.#head === undefined) this.#bodyBytes += chunk.length;
    else if (this.#head === EMPTY) this.#addToHead(chunk);
    else this.#addToHead(Buffer.concat([this.#head, chunk]));
  }

  /** Whether the head stopped before its last byte, and other bytes followed. */
  get isHeadCut(): boolean {
    return this.#isCut;
  }

  /** Whether nothing arrived after the end of a complete response. */
  endsWith(framing: BodyFraming): boolean {
    if (this.#head !== undefined) return false;
    return framing.kind === "chunked"
      ? this.#tail.equals(CHUNKED_END)
      : this.#bodyBytes === framing.bytes;
  }

  #addToHead(head: Buffer): void {
    const end = head.indexOf(HEAD_ALMOST_END);
    const bodyAt = end + HEAD_END.length;
    if (end < 0 || head.length < bodyAt) {
      this.#head = head;
      return;
    }
    this.#isCut ||= head[bodyAt - 1] !== LINE_FEED;
    if (INFORMATIONAL.test(head.toString("latin1", 0, STATUS_BYTES))) {
      return this.#addToHead(head.subarray(bodyAt));
    }
    this.#head = undefined;
    this.#bodyBytes = head.length - bodyAt;
  }
}
