/**
 * Targets and clients that write and read HTTP/1.1 on plain sockets, so that
 * what is on the wire is what the case says.
 */
import { connect, createServer } from "node:net";

const HEAD_END = "\r\n\r\n";

/** Splits the header of a message into its first line and its fields. */
export function readHead(text) {
  const [first, ...lines] = text.split("\r\n");
  const fields = new Map(lines.map((line) => {
    const colon = line.indexOf(":");
    const name = line.slice(0, colon).trim().toLowerCase();
    return [name, line.slice(colon + 1).trim()];
  }));
  return { first, fields };
}

/**
 * A target: hands each request with its whole body to `serve`, one at a time on
 * a connection.
 */
export class Target {
  constructor(options) {
    Object.assign(this, { slots: 9, born: Date.now() }, options);
    this.sockets = new Set();
  }

  async listen(host, port = 0) {
    this.server = createServer({ allowHalfOpen: true }, (s) => this.#accept(s));
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, resolve);
    });
    this.port = this.server.address().port;
    this.address = `${host}:${this.port}`;
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  #accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.sockets.delete(socket));
    socket.on("end", () => {
      if (!socket.isAnswering) socket.end();
    });
    let rest = Buffer.alloc(0);
    const read = () => {
      const end = rest.indexOf(HEAD_END);
      if (end < 0) return;
      const { first, fields } = readHead(
        rest.subarray(0, end).toString("latin1"),
      );
      const length = Number(fields.get("content-length") ?? 0);
      const bodyAt = end + HEAD_END.length;
      if (rest.length < bodyAt + length) return;
      const body = rest.subarray(bodyAt, bodyAt + length);
      rest = rest.subarray(bodyAt + length);
      const [method, path] = first.split(" ");
      const request = {
        method,
        path,
        fields,
        body,
        id: fields.get("x-request-id") ?? "",
        at: Date.now(),
      };
      if (path === "/health") return void this.#health(socket);
      const expected = fields.get("x-expected-instance");
      if (expected !== undefined && expected !== this.id) {
        return void socket.write(
          `HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: ${request.id}\r\n` +
            `X-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`,
        );
      }
      this.serve(request, socket);
    };
    socket.on("data", (chunk) => {
      rest = Buffer.concat([rest, chunk]);
      read();
    });
  }

  #health(socket) {
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Instance-Id: ${this.id}\r\n` +
        `X-Server-Load: 0,0,${this.slots}\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}

/** The fields that a target's answer to a request has, without a length. */
export function answerHead(request, status = "200 OK") {
  return `HTTP/1.1 ${status}\r\nX-Request-Id: ${request.id}\r\n` +
    `X-Response-Signature: sig.${request.id}\r\n`;
}

/**
 * Sends one request on a connection of its own and resolves with what the client
 * saw: status, fields, body, and how the connection ended.
 *
 * @param reads Called with the socket once it is connected, to slow reading down.
 */
export function sendOnce(to, request, { reads } = {}) {
  const { method = "GET", path, host, id, deadlineMs, key, body = "", thing } =
    request;
  return new Promise((resolve) => {
    const socket = connect(to.port, to.host);
    const chunks = [];
    const seen = { id, sentAt: undefined, endedBy: undefined };
    const finish = (endedBy) => {
      if (seen.endedBy !== undefined) return;
      seen.endedBy = endedBy;
      seen.endedAt = Date.now();
      clearTimeout(timer);
      socket.destroy();
      resolve({ ...seen, ...readAnswer(Buffer.concat(chunks)) });
    };
    const timer = setTimeout(() => finish("deadline"), deadlineMs);
    socket.on("connect", () => {
      seen.sentAt = Date.now();
      const lines = [
        `${method} ${path} HTTP/1.1`,
        `Host: ${host}`,
        `X-Request-Id: ${id}`,
        `X-Deadline-Ms: ${deadlineMs}`,
        ...(thing === undefined ? [] : [`X-Affinity-Key: ${thing}`]),
        ...(key === undefined ? [] : [`Authorization: Token ${key}`]),
        ...(method === "GET" ? [] : [`Content-Length: ${body.length}`]),
      ];
      socket.write(lines.join("\r\n") + HEAD_END + body);
      reads?.(socket);
    });
    socket.on("data", (chunk) => {
      chunks.push(chunk);
      if (readAnswer(Buffer.concat(chunks)).isWhole) finish("whole answer");
    });
    socket.on("end", () => finish("orderly end"));
    socket.on("error", (error) => finish(error.code));
    socket.on("close", () => finish("close"));
  });
}

/** Reads an answer; `isWhole` if its length or last chunk shows its end. */
export function readAnswer(bytes) {
  const end = bytes.indexOf(HEAD_END);
  if (end < 0) return { status: undefined, body: Buffer.alloc(0), bytes };
  const { first, fields } = readHead(bytes.subarray(0, end).toString("latin1"));
  const status = Number(first.split(" ")[1]);
  const raw = bytes.subarray(end + HEAD_END.length);
  const length = fields.get("content-length");
  if (length !== undefined) {
    const isWhole = raw.length >= Number(length);
    return { status, fields, body: raw, framing: "length", isWhole };
  }
  if (fields.get("transfer-encoding") === "chunked") {
    const { body, isWhole } = readChunks(raw);
    return { status, fields, body, framing: "chunked", isWhole };
  }
  return { status, fields, body: raw, framing: "connection", isWhole: false };
}

function readChunks(raw) {
  const parts = [];
  let at = 0;
  for (;;) {
    const line = raw.indexOf("\r\n", at);
    if (line < 0) return { body: Buffer.concat(parts), isWhole: false };
    const size = Number.parseInt(raw.subarray(at, line).toString("latin1"), 16);
    if (size === 0) return { body: Buffer.concat(parts), isWhole: true };
    parts.push(raw.subarray(line + 2, Math.min(raw.length, line + 2 + size)));
    at = line + 2 + size + 2;
  }
}
