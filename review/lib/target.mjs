// A stand-in for a target: runs requests, signs and echoes their ids, and
// registers itself in the store as PROTOCOL.md describes.
import { createServer } from "node:net";
import { MessageReader } from "./http.mjs";

export class Target {
  /** Every request that arrived, and whether it ran. */
  arrivals = [];
  opts;
  /** Answers one request; replaced by a test. */
  answer = (req) => req.respond();
  #server;
  #seq = 0;
  #timer;
  #sockets = new Set();

  constructor(opts) {
    this.opts = { slots: 9, bodyBytes: 300, zone: "a-1", workMs: 5, ...opts };
  }

  static async listen(opts) {
    const target = new Target(opts);
    target.#server = createServer((socket) => target.#accept(socket));
    await new Promise((done) =>
      target.#server.listen(opts.port ?? 0, "127.0.0.1", done)
    );
    return target;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Reports to the store now and every 1.5 s. */
  register(store) {
    const { id, service, zone, slots } = this.opts;
    const born = this.opts.born ?? (this.opts.born = Date.now());
    const beat = () =>
      store.put("servers", id, {
        Address: this.address,
        Info: { Service: service, Version: "v1", Zone: zone, Slots: slots },
      }, {
        Status: {
          State: this.state ?? "ready",
          Seq: ++this.#seq,
          ColdRemainingS: 0,
        },
        born,
      });
    beat();
    this.beat = beat;
    this.#timer = setInterval(beat, 1_500);
  }

  /** Ends; its entry is removed. */
  leave(store) {
    clearInterval(this.#timer);
    store.remove("servers", this.opts.id);
  }

  close() {
    clearInterval(this.#timer);
    for (const socket of this.#sockets) socket.destroy();
    return new Promise((done) => this.#server.close(done));
  }

  #accept(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    const reader = new MessageReader((msg) => this.#serve(socket, msg));
    socket.on("data", (chunk) => reader.add(chunk));
  }

  #serve(socket, { start, headers, body }) {
    const [method, path] = start.split(" ");
    const id = headers["x-request-id"] ?? "";
    const { id: target } = this.opts;
    const record = { id, target, method, path, at: Date.now(), ran: false };
    if (path !== "/health") this.arrivals.push(record);
    const write = (status, fields, bytes) => {
      const head = [`HTTP/1.1 ${status}`, ...fields];
      head.push(`Content-Length: ${bytes.length}`, "", "");
      socket.write(Buffer.concat([Buffer.from(head.join("\r\n")), bytes]));
    };
    if (path === "/health") {
      return write("200 OK", [`X-Instance-Id: ${target}`], Buffer.alloc(0));
    }
    if (headers["x-expected-instance"] !== target) {
      return write("421 Misdirected Request", [
        `X-Instance-Id: ${target}`,
      ], Buffer.alloc(0));
    }
    const req = {
      id,
      method,
      path,
      headers,
      body,
      socket,
      record,
      run: () => {
        record.ran = true;
        record.ranAt = Date.now();
      },
      respond: (
        { bodyBytes = this.opts.bodyBytes, status = "200 OK" } = {},
      ) => {
        record.ran = true;
        record.ranAt = Date.now();
        setTimeout(() => {
          const bytes = bodyOf(target, id, bodyBytes);
          write(status, [
            `X-Request-Id: ${id}`,
            `X-Response-Signature: ${target}.${id}.${bytes.length}`,
          ], bytes);
          record.answeredAt = Date.now();
        }, this.opts.workMs);
      },
      shed: (fields = [`X-Request-Id: ${id}`]) =>
        write("503 Service Unavailable", [
          "X-Not-Executed: 1",
          ...fields,
        ], Buffer.alloc(0)),
      write,
    };
    this.answer(req);
  }
}

/** The bytes that a target answers a request with. */
export function bodyOf(target, id, bytes) {
  return Buffer.alloc(bytes, `${target} did ${id}. `);
}
