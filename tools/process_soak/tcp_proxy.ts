/**
 * A loopback proxy whose connections can be delayed, reset, silenced or cut one
 * way, as links between machines are.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { connect, createServer, type Server, type Socket } from "node:net";
import { boundPort, listenAt } from "../../src/edge/mod.ts";

/** What the link does. */
export type LinkMode =
  | { readonly kind: "open" }
  /** Everything is late by so much, in milliseconds. */
  | { readonly kind: "delay"; readonly ms: number }
  /** Connections are reset, new ones too. */
  | { readonly kind: "reset" }
  /** Bytes vanish in both directions; nobody is told. */
  | { readonly kind: "silent" }
  /** Bytes vanish on the way to whom the proxy stands before. */
  | { readonly kind: "one-way" };

/** A proxy before one address. */
export class TcpProxy {
  readonly #server: Server;
  readonly #target: number;
  readonly #sockets = new Set<Socket>();
  #mode: LinkMode = { kind: "open" };

  private constructor(target: number) {
    this.#target = target;
    this.#server = createServer((socket) => this.#join(socket));
  }

  /** Listens before a port of loopback. */
  static async listen(target: number): Promise<TcpProxy> {
    const proxy = new TcpProxy(target);
    await listenAt(proxy.#server, "127.0.0.1:0");
    return proxy;
  }

  get port(): number {
    return boundPort(this.#server);
  }

  /** Changes the link; what vanished meanwhile does not come back. */
  setMode(mode: LinkMode): void {
    const was = this.#mode.kind;
    this.#mode = mode;
    // Bytes are missing in the middle of what these carry.
    if (was === "silent" || was === "one-way" || mode.kind === "reset") {
      this.#resetAll();
    }
  }

  close(): Promise<void> {
    // Reset all at once, these left the event loop polling for good.
    for (const socket of this.#sockets) socket.destroy();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #resetAll(): void {
    for (const socket of this.#sockets) {
      if (socket.connecting) socket.destroy();
      else socket.resetAndDestroy();
    }
    this.#sockets.clear();
  }

  #join(near: Socket): void {
    if (this.#mode.kind === "reset") return void near.resetAndDestroy();
    const far = connect(this.#target, "127.0.0.1");
    this.#carry(near, far, true);
    this.#carry(far, near, false);
  }

  #carry(from: Socket, to: Socket, inward: boolean): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on("data", (bytes) => this.#pass(bytes, to, inward));
    from.on("end", () => this.#later(() => to.end()));
    // The other half learns of it by its own end.
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      this.#later(() => to.destroy());
    });
  }

  #pass(bytes: Buffer, to: Socket, inward: boolean): void {
    const { kind } = this.#mode;
    if (kind === "silent" || (kind === "one-way" && inward)) return;
    this.#later(() => {
      if (!to.destroyed) to.write(bytes);
    });
  }

  #later(run: () => void): void {
    if (this.#mode.kind === "delay") setTimeout(run, this.#mode.ms);
    else run();
  }
}
