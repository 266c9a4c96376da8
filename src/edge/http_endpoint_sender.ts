/**
 * Endpoints over HTTP/1.1, with connections that are kept and chosen here.
 *
 * A connection carries one request at a time. Which one a request takes decides
 * whether it is lost when the endpoint closes an idle connection just then, so
 * the connections are kept one by one and not in a pool of the library's: one
 * that rested nearly as long as the endpoint allows is not used.
 *
 * @module
 */
import { buildConnector, Client } from "undici";
import type { Clock } from "../core/mod.ts";
import { IdleLimits } from "../decisions/placement/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type {
  EndpointSender,
  OutgoingRequest,
  Sending,
  SendResult,
} from "./endpoint_sender.ts";
import { observe, type ObservedConnection } from "./connection_end.ts";
import { Exchange } from "./exchange.ts";
import type { RequestCodec } from "./request_codec.ts";

/**
 * How long a connection may take to open, in milliseconds: a few round trips
 * between regions and a lost packet's first repeat do not fit, a busy endpoint
 * does. An endpoint that is gone without a word costs a request this long.
 */
const CONNECT_MS = 500;
/**
 * How long the library keeps an idle connection where the endpoint does not
 * say, in milliseconds; which of them are used is decided here.
 */
const KEPT_MS = 10_000;
/** How much sooner than the endpoint says the library lets one go, in ms. */
const KEPT_MARGIN_MS = 1_000;

/** A connection that is open or about to be. */
interface Connection extends ObservedConnection {
  readonly client: Client;
  /** Since when it rests; undefined before its first request has ended. */
  idleSince: number | undefined;
  closed: boolean;
}

const connect = buildConnector({
  timeout: CONNECT_MS,
  keepAlive: false,
  // Whether an answer is whole may show only after the other side's end.
  allowHalfOpen: true,
} as buildConnector.BuildOptions);

/** Idle connections by endpoint, the longest idle first. */
export class HttpEndpointSender implements EndpointSender {
  readonly #codec: RequestCodec;
  readonly #clock: Clock;
  readonly #idle = new WeakMap<EndpointRow, Connection[]>();
  readonly #open = new Set<Connection>();
  readonly #limits = new IdleLimits();

  constructor(codec: RequestCodec, clock: Clock) {
    this.#codec = codec;
    this.#clock = clock;
  }

  send(endpoint: EndpointRow, req: OutgoingRequest): Sending {
    const connection = this.#take(endpoint);
    const restedMs = this.#restedMs(connection);
    let exchange: Exchange | undefined;
    const { client } = connection;
    const result = new Promise<SendResult>((settle) => {
      const released = (reusable: boolean) => {
        if (reusable) this.#giveBack(endpoint, connection);
        else this.#drop(connection);
      };
      exchange = new Exchange(req, this.#codec, {
        settle: (result) => {
          this.#learn(endpoint, result, restedMs);
          settle(result);
        },
        released,
        connection,
      });
      connection.exchange = exchange;
      client.dispatch({
        method: req.method,
        path: req.path,
        headers: req.headers,
        body: req.body ?? null,
      }, exchange);
    });
    const cancel = () => {
      if (exchange?.cancel() === false) this.#drop(connection);
    };
    return { result, cancel };
  }

  forget(endpoint: EndpointRow): void {
    for (const connection of this.#idle.get(endpoint) ?? []) {
      this.#drop(connection);
    }
    this.#idle.delete(endpoint);
  }

  async close(): Promise<void> {
    const open = [...this.#open];
    this.#open.clear();
    await Promise.all(open.map((c) => c.client.destroy()));
  }

  /** Learns how long connections to the endpoint may rest. */
  #learn(
    endpoint: EndpointRow,
    result: SendResult,
    restedMs: number | undefined,
  ): void {
    if (result.kind === "answer") {
      const { keepAliveMs } = result.fields;
      if (keepAliveMs !== undefined) this.#limits.told(endpoint, keepAliveMs);
      if (restedMs !== undefined) this.#limits.used(endpoint);
      return;
    }
    const broke = result.kind === "unknown" && result.reason === "broken";
    if (broke && restedMs !== undefined) this.#limits.lost(endpoint, restedMs);
  }

  /** The longest idle one has most surely shown what is wrong with it. */
  #take(endpoint: EndpointRow): Connection {
    const idle = this.#idle.get(endpoint) ?? [];
    const limitMs = this.#limits.of(endpoint);
    for (let next = idle.shift(); next !== undefined; next = idle.shift()) {
      const restedMs = this.#restedMs(next) ?? 0;
      if (!next.closed && restedMs < limitMs) return next;
      this.#drop(next);
    }
    return this.#connect(endpoint);
  }

  /** How long a connection rests; undefined before its first request ended. */
  #restedMs({ idleSince }: Connection): number | undefined {
    return idleSince === undefined ? undefined : this.#clock.now() - idleSince;
  }

  #connect(endpoint: EndpointRow): Connection {
    const client = new Client(`http://${endpoint.record.address}`, {
      pipelining: 1,
      connect: (opts, callback) =>
        connect(opts, (...made) => {
          // Before the library's own listeners, so that this is known when
          // they tell what they make of it.
          if (made[1]) observe(made[1], connection, this.#clock);
          callback(...made);
        }),
      keepAliveTimeout: KEPT_MS,
      keepAliveTimeoutThreshold: KEPT_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection: Connection = {
      client,
      idleSince: undefined,
      closed: false,
      ended: false,
      broken: false,
      exchange: undefined,
    };
    this.#open.add(connection);
    client.on("disconnect", () => this.#drop(connection));
    return connection;
  }

  #giveBack(endpoint: EndpointRow, connection: Connection): void {
    if (connection.closed) return;
    connection.exchange = undefined;
    connection.idleSince = this.#clock.now();
    const idle = this.#idle.get(endpoint) ?? [];
    const open = idle.filter((other) => !other.closed);
    this.#idle.set(endpoint, [...open, connection]);
  }

  #drop(connection: Connection): void {
    connection.closed = true;
    if (!this.#open.delete(connection)) return;
    // Whoever waits on it has been told by the exchange.
    connection.client.destroy().catch(() => {});
  }
}
