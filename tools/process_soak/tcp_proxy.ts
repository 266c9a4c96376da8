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

/**
 * What happens to the open connections of a client that is cut off. Its new
 * ones are reset.
 */
export const CUT_MODES = ["reset", "silent", "live"] as const;
export type CutMode = typeof CUT_MODES[number];

/** A proxy in front of one loopback port. */
export class TcpProxy {
  readonly #server: Server;
  readonly #target: number;
  readonly #sockets = new Set<Socket>();
  /** Address of the client that each socket carries data of. */
  readonly #clients = new WeakMap<Socket, string>();
  readonly #cuts = new Map<string, CutMode>();
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

  /** Address of the client whose data arrives from a local port. */
  clientAddress(localPort: number): string | undefined {
    for (const socket of this.#sockets) {
      if (
        socket.localPort === localPort && socket.remotePort === this.#target
      ) {
        return this.#clients.get(socket);
      }
    }
    return undefined;
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

  /** Cuts off the clients at an address. */
  cutOff(address: string, mode: CutMode): void {
    this.#cuts.set(address, mode);
    if (mode === "reset") this.#resetOf(address);
  }

  /** Ends a cut; dropped data is not redelivered. */
  restore(address: string): void {
    const mode = this.#cuts.get(address);
    this.#cuts.delete(address);
    if (mode === "silent") this.#resetOf(address);
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
    const { remoteAddress = "" } = client;
    if (this.#mode.kind === "reset" || this.#cuts.has(remoteAddress)) {
      return void client.resetAndDestroy();
    }
    const upstream = connect(this.#target, "127.0.0.1");
    this.#clients.set(upstream, remoteAddress);
    this.#clients.set(client, remoteAddress);
    this.#pipe(client, upstream, true);
    this.#pipe(upstream, client, false);
  }

  #pipe(from: Socket, to: Socket, toTarget: boolean): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on("data", (bytes) => this.#relay(bytes, to, toTarget));
    from.on("end", () => {
      if (!this.#isSilent(from)) this.#runDelayed(() => to.end());
    });
    // Closing the peer socket reports the error to the other side.
    from.on("error", () => {
      if (!this.#isSilent(from)) to.destroy();
    });
    from.on("close", () => {
      this.#sockets.delete(from);
      if (!this.#isSilent(from)) this.#runDelayed(() => to.destroy());
    });
  }

  #relay(bytes: Buffer, to: Socket, toTarget: boolean): void {
    const { kind } = this.#mode;
    if (this.#isSilent(to)) return;
    if (kind === "silent" || (kind === "one-way" && toTarget)) return;
    this.#runDelayed(() => {
      if (!to.destroyed) to.write(bytes);
    });
  }

  /** Whether neither data nor closes of a socket's client get through. */
  #isSilent(socket: Socket): boolean {
    return this.#cuts.get(this.#clients.get(socket) ?? "") === "silent";
  }

  #resetOf(address: string): void {
    for (const socket of this.#sockets) {
      if (this.#clients.get(socket) !== address) continue;
      if (socket.connecting) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  #runDelayed(run: () => void): void {
    if (this.#mode.kind === "delay") setTimeout(run, this.#mode.ms);
    else run();
  }
}
