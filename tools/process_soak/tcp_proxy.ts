/**
 * A loopback TCP proxy that simulates link failures: delay, resets, and loss in
 * both directions or one.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { connect, createServer, type Server, type Socket } from "node:net";
import { boundPort, listenAt } from "../../src/edge/mod.ts";

/** The state of the link. */
export type LinkMode =
  | { readonly kind: "open" }
  /** Data is delayed by `ms` milliseconds. */
  | { readonly kind: "delay"; readonly ms: number }
  /** Existing and new connections are reset. */
  | { readonly kind: "reset" }
  /** Data is dropped silently in both directions. */
  | { readonly kind: "silent" }
  /** Data is dropped silently on the way to the target. */
  | { readonly kind: "one-way" };

/** A proxy in front of one loopback port. */
export class TcpProxy {
  readonly #server: Server;
  readonly #target: number;
  readonly #sockets = new Set<Socket>();
  #mode: LinkMode = { kind: "open" };

  private constructor(target: number) {
    this.#target = target;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Listens on a free port and forwards to `target`. */
  static async listen(target: number): Promise<TcpProxy> {
    const proxy = new TcpProxy(target);
    await listenAt(proxy.#server, "127.0.0.1:0");
    return proxy;
  }

  get port(): number {
    return boundPort(this.#server);
  }

  /** Changes the link state; dropped data is not redelivered. */
  setMode(mode: LinkMode): void {
    const was = this.#mode.kind;
    this.#mode = mode;
    // After silent loss, the byte streams of these connections have gaps.
    if (was === "silent" || was === "one-way" || mode.kind === "reset") {
      this.#resetAll();
    }
  }

  close(): Promise<void> {
    // Resetting all sockets at once made the event loop poll forever.
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

  #accept(client: Socket): void {
    if (this.#mode.kind === "reset") return void client.resetAndDestroy();
    const upstream = connect(this.#target, "127.0.0.1");
    this.#pipe(client, upstream, true);
    this.#pipe(upstream, client, false);
  }

  #pipe(from: Socket, to: Socket, toTarget: boolean): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on("data", (bytes) => this.#relay(bytes, to, toTarget));
    from.on("end", () => this.#runDelayed(() => to.end()));
    // Closing the peer socket reports the error to the other side.
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      this.#runDelayed(() => to.destroy());
    });
  }

  #relay(bytes: Buffer, to: Socket, toTarget: boolean): void {
    const { kind } = this.#mode;
    if (kind === "silent" || (kind === "one-way" && toTarget)) return;
    this.#runDelayed(() => {
      if (!to.destroyed) to.write(bytes);
    });
  }

  #runDelayed(run: () => void): void {
    if (this.#mode.kind === "delay") setTimeout(run, this.#mode.ms);
    else run();
  }
}
