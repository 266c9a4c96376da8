/**
 * Connections to endpoints, kept by address and reused the longest idle first.
 *
 * @module
 */
import { Agent, type AgentOptions } from "node:http";
import { connect, type Socket } from "node:net";
import { type Clock, limitConnect } from "../core/mod.ts";
import type { HostPort } from "../fleet/mod.ts";
import { observe, type ObservedConnection } from "./connection_end.ts";

/**
 * How long a connection may take to open, in milliseconds: a few round trips
 * between regions, but not a lost packet's first repeat. An endpoint that is
 * gone without a word costs a request this long.
 */
const CONNECT_MS = 500;
/** Idle connections are closed after this long, in milliseconds. */
const KEPT_MS = 9_000;

/** A connection that is open or being opened. */
export interface EndpointConnection extends ObservedConnection {
  /** Since when it is idle; undefined while it carries a request. */
  idleSince: number | undefined;
  /** How long it was idle before its request; undefined before the second. */
  restedMs: number | undefined;
  /** Its last answer was not whole, so its next bytes may belong to that. */
  spoiled: boolean;
}

/** The agent that hands connections to requests. */
export class EndpointConnections extends Agent {
  readonly #clock: Clock;
  readonly #connections = new WeakMap<Socket, EndpointConnection>();

  constructor(clock: Clock) {
    // The oldest first: it has most surely shown what is wrong with it.
    super({ keepAlive: true, scheduling: "fifo" });
    this.#clock = clock;
  }

  /** The state of a connection that this agent opened. */
  of(socket: Socket): EndpointConnection | undefined {
    return this.#connections.get(socket);
  }

  /** Closes connections to an address that are idle for so long, in ms. */
  retire(address: HostPort, idleMs: number): void {
    const idle = this.freeSockets[this.getName(address)];
    if (idle === undefined) return;
    const now = this.#clock.now();
    for (const socket of [...idle]) {
      const since = this.of(socket)?.idleSince ?? now;
      if (now - since >= idleMs) socket.destroy();
    }
  }

  // The methods below are the agent's documented points of extension.

  override createConnection(
    opts: AgentOptions & { host: string; port: number },
  ) {
    const { host, port } = opts;
    const socket = connect({ host, port, allowHalfOpen: true, noDelay: true });
    const connection: EndpointConnection = {
      opened: false,
      ended: false,
      broken: false,
      idleSince: undefined,
      restedMs: undefined,
      spoiled: false,
    };
    this.#connections.set(socket, connection);
    observe(socket, connection);
    limitConnect(socket, CONNECT_MS, this.#clock);
    // Whatever comes on an idle connection is no answer to a request.
    const closeIfIdle = () => {
      if (connection.idleSince !== undefined) socket.destroy();
    };
    socket.on("data", closeIfIdle);
    socket.on("end", closeIfIdle);
    return socket;
  }

  override keepSocketAlive(socket: Socket): boolean {
    const connection = this.of(socket);
    if (connection === undefined) return false;
    if (connection.ended || connection.broken || connection.spoiled) {
      return false;
    }
    connection.idleSince = this.#clock.now();
    socket.setTimeout(KEPT_MS);
    return true;
  }

  override reuseSocket(socket: Socket): void {
    socket.setTimeout(0);
    const connection = this.of(socket);
    if (connection?.idleSince === undefined) return;
    connection.restedMs = this.#clock.now() - connection.idleSince;
    connection.idleSince = undefined;
  }
}
