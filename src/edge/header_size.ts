/**
 * The size of a request's header, which a plan limits.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Bytes of ": " and the line's end in each field of a header. */
const FIELD_EXTRA_BYTES = 4;
/** Bytes of a header besides method, path and fields. */
const HEADER_EXTRA_BYTES = "  HTTP/1.1\r\n\r\n".length;

/**
 * Size of a request's header, without optional spaces. Node.js decodes it with
 * one character for each byte.
 */
export function headerBytesOf(
  { method = "", url = "", rawHeaders }: IncomingMessage,
) {
  let bytes = method.length + url.length + HEADER_EXTRA_BYTES +
    FIELD_EXTRA_BYTES * rawHeaders.length / 2;
  for (const part of rawHeaders) bytes += part.length;
  return bytes;
}
