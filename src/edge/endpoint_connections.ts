/**
 * Connection pool by endpoint address; the longest idle is reused first.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Agent, type ClientRequest } from "node:http";
import { connect, type Socket } from "node:net";
import { type Clock, setConnectTimeout, type Timer } from "../core/mod.ts";
import type { HostPort } from "../fleet/mod.ts";
import { type ConnectionState, trackConnection } from "./connection_end.ts";
import { ReceivedBytes } from "./received_bytes.ts";

/**
 * Connect timeout in milliseconds: a few round trips between regions, but less
 * than the first retransmission of a lost packet. A request to an endpoint that
 * vanished without a reset is delayed by this time.
 */
const CONNECT_TIMEOUT_MS = 500;
/** Time after which idle connections are closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 9_000;
/**
 * Interval at which idle connections are checked, in milliseconds. A timer for
 * each idle connection would be set and cleared with each request.
 */
const IDLE_CHECK_MS = 1_000;

/** State of a connection that is open or being opened. */
export interface EndpointConnection extends ConnectionState {
  /** When it became idle; undefined while it carries a request. */
  idleSince: number | undefined;
  /** Idle time before the current request; undefined for the first one. */
  idleBeforeMs: number | undefined;
  /** Bytes of its last response are missing, or others followed it. */
  tainted: boolean;
  /** What it received for the current request. */
  received: ReceivedBytes;
}

/** Options of the connections to endpoints. */
export interface EndpointConnectionOptions {
  /** Local address of the connections; any if undefined. */
  readonly sourceAddress?: string | undefined;
}

/** A socket with the field in which Node.js keeps the request it carries. */
type HttpSocket = Socket & { _httpMessage?: ClientRequest | null };

/**
 * HTTP agent that assigns connections to requests.
 *
 * It replaces the pool of Node.js's agent, which copies the options of each
 * request and composes a name from them five times.
 */
export class EndpointConnections extends Agent {
  readonly #clock: Clock;
  readonly #sourceAddress: string | undefined;
  readonly #connections = new WeakMap<Socket, EndpointConnection>();
  /** Idle connections by `host:port`, the longest idle first. */
  readonly #idle = new Map<string, Socket[]>();
  /** Connections that carry a request or are idle. */
  readonly #open = new Set<Socket>();
  #idleCheck: Timer | undefined;

  constructor(clock: Clock, opts: EndpointConnectionOptions = {}) {
    // Makes Node.js keep connections open after a response.
    super({ keepAlive: true });
    this.#clock = clock;
    this.#sourceAddress = opts.sourceAddress;
  }

  /** State of a connection that this agent opened. */
  of(socket: Socket): EndpointConnection | undefined {
    return this.#connections.get(socket);
  }

  /** Whether a request to an address (`host:port`) could reuse a connection. */
  hasIdle(address: string): boolean {
    const idle = this.#idle.get(address);
    return idle !== undefined && idle.some((socket) => !socket.destroyed);
  }

  /** Closes connections to an address that were idle for `idleMs` or longer. */
  closeIdle(address: string, idleMs: number): void {
    const idle = this.#idle.get(address);
    if (idle === undefined) return;
    const now = this.#clock.now();
    for (const socket of idle) {
      const since = this.of(socket)?.idleSince ?? now;
      if (now - since >= idleMs) socket.destroy();
    }
  }

  /** Called by Node.js to assign a connection to a request. */
  addRequest(req: ClientRequest, { host, port }: HostPort): void {
    const address = `${host}:${port}`;
    const reused = this.#takeIdle(address);
    if (reused !== undefined) return req.onSocket(reused);
    const socket = this.createConnection({ host, port });
    this.#open.add(socket);
    // Node.js emits `free` once a response is complete and may be followed by
    // another request, or if a request is cancelled before it uses the socket.
    socket.on("free", () => this.#release(address, socket));
    socket.on("close", () => this.#remove(address, socket));
    req.onSocket(socket);
  }

  override createConnection({ host, port }: HostPort): Socket {
    const socket = connect({
      host,
      port,
      allowHalfOpen: true,
      noDelay: true,
      ...(this.#sourceAddress === undefined
        ? {}
        : { localAddress: this.#sourceAddress }),
    });
    const connection: EndpointConnection = {
      connected: false,
      remoteEnded: false,
      broken: false,
      idleSince: undefined,
      idleBeforeMs: undefined,
      tainted: false,
      received: new ReceivedBytes(),
    };
    this.#connections.set(socket, connection);
    trackConnection(socket, connection);
    setConnectTimeout(socket, CONNECT_TIMEOUT_MS, this.#clock);
    // Bytes on an idle connection do not belong to any request.
    const closeIfIdle = () => {
      if (connection.idleSince !== undefined) socket.destroy();
    };
    socket.on("data", (chunk: Buffer) => {
      connection.received.add(chunk);
      closeIfIdle();
    });
    socket.on("end", closeIfIdle);
    return socket;
  }

  /** Closes all connections. */
  override destroy(): void {
    this.#idleCheck?.close();
    this.#idleCheck = undefined;
    for (const socket of this.#open) socket.destroy();
  }

  /** Takes the connection that has been idle longest. */
  #takeIdle(address: string): Socket | undefined {
    const idle = this.#idle.get(address);
    if (idle === undefined) return undefined;
    for (let socket = idle.shift(); socket; socket = idle.shift()) {
      const connection = this.of(socket);
      if (socket.destroyed || connection?.idleSince === undefined) continue;
      connection.idleBeforeMs = this.#clock.now() - connection.idleSince;
      connection.idleSince = undefined;
      connection.received = new ReceivedBytes();
      return socket;
    }
    return undefined;
  }

  /** Makes a connection idle after its request, or closes it. */
  #release(address: string, socket: HttpSocket): void {
    const connection = this.of(socket);
    const wasUsed = socket._httpMessage?.shouldKeepAlive === true;
    if (
      connection === undefined || !wasUsed || !socket.writable ||
      connection.remoteEnded || connection.broken || connection.tainted
    ) {
      socket.destroy();
      return;
    }
    socket._httpMessage = null;
    connection.idleSince = this.#clock.now();
    const idle = this.#idle.get(address);
    if (idle === undefined) this.#idle.set(address, [socket]);
    else idle.push(socket);
    this.#idleCheck ??= this.#clock.after(
      IDLE_CHECK_MS,
      () => this.#checkIdle(),
    );
  }

  #remove(address: string, socket: Socket): void {
    this.#open.delete(socket);
    const idle = this.#idle.get(address);
    if (idle === undefined) return;
    const index = idle.indexOf(socket);
    if (index >= 0) idle.splice(index, 1);
    if (idle.length === 0) this.#idle.delete(address);
  }

  /** Closes connections that no request has used for the idle timeout. */
  #checkIdle(): void {
    this.#idleCheck = undefined;
    for (const address of this.#idle.keys()) {
      this.closeIdle(address, IDLE_TIMEOUT_MS);
    }
    if (this.#idle.size === 0) return;
    this.#idleCheck = this.#clock.after(
      IDLE_CHECK_MS,
      () => this.#checkIdle(),
    );
  }
}
