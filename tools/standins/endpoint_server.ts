/**
 * A stand-in for an endpoint: takes a while over each request, and counts by
 * itself what must never happen.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** What an endpoint is and does. */
export interface EndpointServerOptions {
  readonly id: string;
  readonly slots: number;
  /** Time a request takes, in milliseconds. */
  workMs: number;
}

/** What an endpoint counted. */
export interface EndpointCounts {
  runs: number;
  overSlots: number;
  keysSeen: number;
  /** Operation ids, each with how often it ran. */
  operations: Map<string, number>;
  /** When each request ran, by account, in milliseconds since the epoch. */
  runsByAccount: Map<string, number[]>;
}

/** One endpoint on loopback. */
export class EndpointServer {
  readonly counts: EndpointCounts = {
    runs: 0,
    overSlots: 0,
    keysSeen: 0,
    operations: new Map(),
    runsByAccount: new Map(),
  };
  readonly opts: EndpointServerOptions;
  readonly #server: Server;
  #inFlight = 0;

  private constructor(opts: EndpointServerOptions) {
    this.opts = opts;
    this.#server = createServer((req, res) => void this.#serve(req, res));
  }

  static open(opts: EndpointServerOptions): Promise<EndpointServer> {
    const endpoint = new EndpointServer(opts);
    return new Promise((resolve) => {
      endpoint.#server.listen(0, "127.0.0.1", () => resolve(endpoint));
    });
  }

  get url(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === "/healthz") {
      res.end(JSON.stringify({ ready: true, in_flight: this.#inFlight }));
      return;
    }
    this.#inFlight += 1;
    this.#count(req);
    const body: Uint8Array[] = [];
    try {
      for await (const chunk of req) body.push(chunk);
      await new Promise((resolve) => setTimeout(resolve, this.opts.workMs));
      this.#answer(req, res, body);
    } catch {
      res.destroy();
    } finally {
      this.#inFlight -= 1;
    }
  }

  #count(req: IncomingMessage): void {
    const { counts, opts } = this;
    const account = String(req.headers["x-client-account"]);
    const operation = req.headers["idempotency-key"];
    counts.runs += 1;
    if (this.#inFlight > opts.slots) counts.overSlots += 1;
    if (req.headers.authorization !== undefined) counts.keysSeen += 1;
    const runs = counts.runsByAccount.get(account) ?? [];
    counts.runsByAccount.set(account, runs);
    runs.push(Date.now());
    if (operation === undefined) return;
    const name = `${account} ${operation}`;
    counts.operations.set(name, (counts.operations.get(name) ?? 0) + 1);
  }

  /** Says back what was asked, so that a caller sees whether it is its own. */
  #answer(req: IncomingMessage, res: ServerResponse, body: Uint8Array[]): void {
    const text = JSON.stringify({
      endpoint: this.opts.id,
      account: req.headers["x-client-account"],
      request: req.headers["x-request-id"],
      bytes: body.reduce((n, b) => n + b.length, 0),
    });
    res.setHeader("content-type", "application/json");
    res.setHeader("content-length", String(text.length));
    res.end(text);
  }
}
