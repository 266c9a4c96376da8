/**
 * Connection pool by endpoint address; the longest idle is reused first.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Agent, type AgentOptions, type ClientRequest } from "node:http";
import { connect, type Socket } from "node:net";
import { type Clock, setConnectTimeout } from "../core/mod.ts";
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

/** HTTP agent that assigns connections to requests. */
export class EndpointConnections extends Agent {
  readonly #clock: Clock;
  readonly #sourceAddress: string | undefined;
  readonly #connections = new WeakMap<Socket, EndpointConnection>();

  constructor(clock: Clock, opts: EndpointConnectionOptions = {}) {
    // A late fault has most likely shown already on the longest idle connection.
    super({ keepAlive: true, scheduling: "fifo" });
    this.#clock = clock;
    this.#sourceAddress = opts.sourceAddress;
  }

  /** State of a connection that this agent opened. */
  of(socket: Socket): EndpointConnection | undefined {
    return this.#connections.get(socket);
  }

  /** Whether a request to an address could reuse a connection. */
  hasIdle(address: HostPort): boolean {
    const idle = this.freeSockets[this.getName(address)] ?? [];
    return idle.some((socket) => !socket.destroyed);
  }

  /** Closes connections to an address that were idle for `idleMs` or longer. */
  closeIdle(address: HostPort, idleMs: number): void {
    const idle = this.freeSockets[this.getName(address)];
    if (idle === undefined) return;
    const now = this.#clock.now();
    for (const socket of [...idle]) {
      const since = this.of(socket)?.idleSince ?? now;
      if (now - since >= idleMs) socket.destroy();
    }
  }

  // The methods below are documented extension points of the agent.

  override createConnection(
    opts: AgentOptions & { host: string; port: number },
  ) {
    const { host, port } = opts;
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

  override keepSocketAlive(socket: Socket): boolean {
    const connection = this.of(socket);
    if (connection === undefined) return false;
    if (
      connection.remoteEnded || connection.broken ||
      connection.tainted
    ) {
      return false;
    }
    connection.idleSince = this.#clock.now();
    socket.setTimeout(IDLE_TIMEOUT_MS);
    return true;
  }

  override reuseSocket(socket: Socket, req: ClientRequest): void {
    // Removes the `error` listener that the agent adds to an idle connection.
    super.reuseSocket(socket, req);
    socket.setTimeout(0);
    const connection = this.of(socket);
    if (connection?.idleSince === undefined) return;
    connection.idleBeforeMs = this.#clock.now() - connection.idleSince;
    connection.idleSince = undefined;
    connection.received = new ReceivedBytes();
  }
}
