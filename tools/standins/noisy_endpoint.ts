/**
 * An endpoint for uploads and large responses. Its host is shared with others,
 * and the time that work takes on it changes; the load report has that figure.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setInterval } from "node:timers";
import { HEADERS } from "../../platform/names.ts";
import {
  type EndpointRun,
  signatureOf,
} from "../../platform/testing/fake_endpoint.ts";
import type { Random } from "../../src/core/mod.ts";
import { boundPort, closeAtOnce, listenAt } from "../../src/edge/mod.ts";

const NOISE_INTERVAL_MS = 300;
/** Factors of the usual time; the last makes some requests time out. */
const SLOWDOWNS = [1, 1, 1, 1.5, 1.5, 2, 3, 60];
const PERCENT = 100;

/** A host whose work takes a changing multiple of the usual time. */
export class NoisyHost {
  slowdown = 1;
  readonly #timer;

  constructor(random: Random) {
    this.#timer = setInterval(() => {
      this.slowdown = SLOWDOWNS[random.below(SLOWDOWNS.length)] ?? 1;
    }, NOISE_INTERVAL_MS);
  }

  close(): void {
    clearInterval(this.#timer);
  }
}

/** Options of an endpoint. */
export interface NoisyEndpointOptions {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly workMs: number;
  readonly host: NoisyHost;
  readonly onRun: (run: EndpointRun) => void;
}

/** The digest of a request's body, which its response repeats. */
export function digestOf(body: Uint8Array): string {
  return createHash("sha1").update(body).digest("hex");
}

/** The response body for a request whose body has the digest. */
export function noisyBodyOf(
  endpoint: string,
  request: string,
  { digest, bytes }: { readonly digest: string; readonly bytes: number },
): string {
  return `${endpoint} did ${request} on ${digest} `.padEnd(bytes, request);
}

/** An endpoint on loopback; a path's last segment is the response's size. */
export class NoisyEndpoint {
  readonly opts: NoisyEndpointOptions;
  readonly #server: Server;
  #running = 0;

  private constructor(opts: NoisyEndpointOptions) {
    this.opts = opts;
    this.#server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on("data", (chunk: Buffer) => chunks.push(chunk));
      req.once("end", () => this.#serve(req, res, Buffer.concat(chunks)));
    });
  }

  static async listen(opts: NoisyEndpointOptions): Promise<NoisyEndpoint> {
    const endpoint = new NoisyEndpoint(opts);
    await listenAt(endpoint.#server, "127.0.0.1:0");
    return endpoint;
  }

  get port(): number {
    return boundPort(this.#server);
  }

  close(): Promise<void> {
    return closeAtOnce(this.#server);
  }

  #serve(req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const { id, service, slots, workMs, host, onRun } = this.opts;
    const request = String(req.headers[HEADERS.requestId] ?? "");
    const isExpected = req.headers[HEADERS.expectedEndpoint] === id;
    if (!isExpected || this.#running >= 2 * slots) {
      res.writeHead(isExpected ? 503 : 421, {
        [HEADERS.requestId]: request,
        [HEADERS.notRun]: "1",
        "content-length": "0",
      });
      return void res.end();
    }
    this.#running++;
    const account = req.headers[HEADERS.account];
    onRun({
      endpoint: id,
      service,
      request,
      account: typeof account === "string" ? account : undefined,
      keySeen: req.headers[HEADERS.key] !== undefined,
      at: Date.now(),
    });
    const bytes = Number(req.url?.split("/").at(-1));
    const text = noisyBodyOf(id, request, { digest: digestOf(body), bytes });
    setTimeout(() => {
      this.#running--;
      const percent = Math.round(host.slowdown * PERCENT);
      res.writeHead(200, {
        [HEADERS.requestId]: request,
        [HEADERS.signature]: signatureOf(id, request),
        [HEADERS.load]: `${this.#running},0,${slots},${percent}`,
        "content-length": String(text.length),
      });
      res.end(text);
    }, workMs * host.slowdown);
  }
}
