// A stand-in for a client: one connection, one request at a time.
import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import { MessageReader } from "./http.mjs";
import { KEY } from "./plan.mjs";

export class Client {
  #socket;
  #pending;

  constructor({ host, port }) {
    this.#socket = connect(port, host);
    this.#socket.setNoDelay(true);
    /** Resolves once it is connected. */
    this.connected = new Promise((done) => this.#socket.once("connect", done));
    const reader = new MessageReader((msg) => {
      const pending = this.#pending;
      this.#pending = undefined;
      pending?.({
        kind: "answer",
        status: Number(msg.start.split(" ")[1]),
        ...msg,
      });
    });
    this.#socket.on("data", (chunk) => reader.add(chunk));
    this.#socket.on("error", (error) => this.#end(String(error.code)));
    this.#socket.on("close", () => this.#end("closed"));
  }

  #end(reason) {
    const pending = this.#pending;
    this.#pending = undefined;
    pending?.({ kind: "cut", reason });
  }

  /** Sends a request; resolves with the answer, the cut or the time-out. */
  send(
    {
      method = "GET",
      path,
      id = newId(),
      deadlineMs = 4_000,
      object = "1",
      body,
    },
  ) {
    const head = [
      `${method} ${path} HTTP/1.1`,
      "Host: shop.example",
      `X-Request-Id: ${id}`,
      `X-Affinity-Key: ${object}`,
      `X-Deadline-Ms: ${deadlineMs}`,
      `Authorization: Token ${KEY}`,
    ];
    if (body !== undefined) head.push(`Content-Length: ${body.length}`);
    this.#socket.write(head.join("\r\n") + "\r\n\r\n");
    if (body !== undefined) this.#socket.write(body);
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pending = undefined;
        resolve({ kind: "late", id });
      }, deadlineMs + 200);
      this.#pending = (result) => {
        clearTimeout(timer);
        resolve({ id, ...result });
      };
    });
  }

  close() {
    this.#socket.destroy();
  }
}

export function newId() {
  return randomBytes(8).toString("hex");
}
