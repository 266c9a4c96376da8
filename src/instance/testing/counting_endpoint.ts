/**
 * A test endpoint that counts how often each operation was executed.
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

/** A test endpoint on a loopback socket. */
export class CountingEndpoint {
  readonly runs: Map<string, number> = new Map();
  readonly #server: Server;
  readonly #workMs: number;

  private constructor(workMs: number) {
    this.#workMs = workMs;
    this.#server = createServer((req, res) => void this.#serve(req, res));
  }

  static async open(workMs: number): Promise<CountingEndpoint> {
    const endpoint = new CountingEndpoint(workMs);
    await new Promise<void>((resolve) => {
      endpoint.#server.listen(0, "127.0.0.1", () => resolve());
    });
    return endpoint;
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
      res.end(JSON.stringify({ ready: true, in_flight: 0 }));
      return;
    }
    const id = String(req.headers["idempotency-key"] ?? "");
    if (id !== "") this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    try {
      let body = "";
      for await (const chunk of req) body += chunk;
      await new Promise((resolve) => setTimeout(resolve, this.#workMs));
      res.end(`${req.url} ${body}`);
    } catch {
      res.destroy();
    }
  }
}
