/**
 * Responses to bytes that are no HTTP request.
 *
 * @module
 */

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const BAD_REQUEST = "400 Bad Request";

/** The whole response to an error of the parser, by its code. */
export function parserErrorResponse(code: string | undefined): string {
  const status = STATUS_LINES[code ?? ""] ?? BAD_REQUEST;
  return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
