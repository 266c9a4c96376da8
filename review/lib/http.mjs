// Byte-level HTTP/1.1 for stand-ins: reads messages from a socket, so that a
// test sees what really arrived and decides on each byte that it sends.

const HEAD_END = "\r\n\r\n";

/** Splits a byte stream into messages with a length; calls `onMessage`. */
export class MessageReader {
  #head = Buffer.alloc(0);
  #message;
  #body = [];
  #missing = 0;
  #onMessage;

  constructor(onMessage) {
    this.#onMessage = onMessage;
  }

  add(chunk) {
    while (chunk.length > 0) {
      if (this.#message === undefined) chunk = this.#addToHead(chunk);
      else {
        this.#body.push(chunk.subarray(0, this.#missing));
        const used = Math.min(chunk.length, this.#missing);
        this.#missing -= used;
        chunk = chunk.subarray(used);
      }
      if (this.#message !== undefined && this.#missing === 0) this.#end();
    }
  }

  /** Adds to the head; returns what follows it. */
  #addToHead(chunk) {
    const bytes = Buffer.concat([this.#head, chunk]);
    const end = bytes.indexOf(HEAD_END);
    if (end < 0) {
      this.#head = bytes;
      return Buffer.alloc(0);
    }
    const [start, ...lines] = bytes.subarray(0, end).toString("latin1")
      .split("\r\n");
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(":");
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1)
        .trim();
    }
    this.#head = Buffer.alloc(0);
    this.#message = { start, headers };
    this.#missing = Number(headers["content-length"] ?? 0);
    return bytes.subarray(end + HEAD_END.length);
  }

  #end() {
    const message = { ...this.#message, body: Buffer.concat(this.#body) };
    this.#message = undefined;
    this.#body = [];
    this.#onMessage(message);
  }
}
