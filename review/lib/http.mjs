// Byte-level HTTP/1.1 for stand-ins: reads messages from a socket, so that a
// test sees what really arrived and decides on each byte that it sends.

/** Splits a byte stream into messages with a length; calls `onMessage`. */
export class MessageReader {
  #bytes = Buffer.alloc(0);
  #onMessage;

  constructor(onMessage) {
    this.#onMessage = onMessage;
  }

  /** Bytes that are no complete message yet. */
  get rest() {
    return this.#bytes;
  }

  add(chunk) {
    this.#bytes = Buffer.concat([this.#bytes, chunk]);
    for (;;) {
      const end = this.#bytes.indexOf("\r\n\r\n");
      if (end < 0) return;
      const [start, ...lines] = this.#bytes.subarray(0, end).toString("latin1")
        .split("\r\n");
      const headers = {};
      for (const line of lines) {
        const colon = line.indexOf(":");
        headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1)
          .trim();
      }
      const body = this.#body(end + 4, headers);
      if (body === undefined) return;
      this.#bytes = this.#bytes.subarray(body.next);
      this.#onMessage({ start, headers, body: body.bytes });
    }
  }

  #body(from, headers) {
    if (headers["transfer-encoding"] === "chunked") {
      const parts = [];
      let at = from;
      for (;;) {
        const eol = this.#bytes.indexOf("\r\n", at);
        if (eol < 0) return undefined;
        const size = parseInt(this.#bytes.subarray(at, eol).toString(), 16);
        const next = eol + 2 + size + 2;
        if (this.#bytes.length < next) return undefined;
        parts.push(this.#bytes.subarray(eol + 2, eol + 2 + size));
        at = next;
        if (size === 0) return { bytes: Buffer.concat(parts), next: at };
      }
    }
    const next = from + Number(headers["content-length"] ?? 0);
    if (this.#bytes.length < next) return undefined;
    return { bytes: Buffer.from(this.#bytes.subarray(from, next)), next };
  }
}
