/**
 * A stand-in for the platform's service: the store and the instance list over
 * HTTP, kept in memory.
 *
 * @module
 */
import express, { type Request, type Response } from "express";
import { type Failure, SystemClock } from "../../src/core/mod.ts";
import { Listener } from "../../src/instance/mod.ts";
import { InstanceEntry, MemoryPlatform } from "../../src/platform/mod.ts";

const MAX_BODY = "2mb";

/** How the stand-in misbehaves. */
export interface StoreFaults {
  down: boolean;
}

/** Serves a store on loopback; `faults` may be changed while it runs. */
export class StoreServer {
  readonly platform: MemoryPlatform = new MemoryPlatform(new SystemClock());
  readonly faults: StoreFaults = { down: false };
  readonly #listener: Listener;

  private constructor(listener: Listener) {
    this.#listener = listener;
  }

  get url(): string {
    return this.#listener.url;
  }

  /** Opens the store on a free port. */
  static async open(port = 0): Promise<StoreServer> {
    const app = express();
    const opened = await Listener.open({ host: "127.0.0.1", port }, app);
    const server = new StoreServer(opened._unsafeUnwrap());
    app.disable("etag");
    app.post("/faults", express.json(), (req, res) => {
      Object.assign(server.faults, req.body);
      res.status(204).end();
    });
    app.use((_req, res, next) => {
      if (server.faults.down) res.status(503).end();
      else next();
    });
    app.use(express.text({ type: () => true, limit: MAX_BODY }));
    app.get("/objects/*key", (req, res) => server.#get(req, res));
    app.get("/objects", (req, res) => server.#list(req, res));
    app.put("/objects/*key", (req, res) => server.#put(req, res));
    app.get("/instances", async (_req, res) => {
      res.json((await server.platform.instances())._unsafeUnwrap());
    });
    app.put("/instances/:id", async (req, res) => {
      const entry = InstanceEntry.safeParse(JSON.parse(req.body));
      if (!entry.success) return void res.status(400).end();
      await server.platform.announce(entry.data);
      res.status(204).end();
    });
    return server;
  }

  async close(): Promise<void> {
    await this.platform.close();
    await this.#listener.close();
  }

  async #get(req: Request, res: Response): Promise<void> {
    const key = keyOf(req);
    const seen = unquote(req.headers["if-none-match"]);
    const waitMs = Number(req.query["wait_ms"] ?? 0);
    const found = waitMs > 0
      ? await this.platform.watch(key, seen || undefined, waitMs)
      : await this.platform.get(key);
    if (found.isErr()) return sendFailure(res, found.error);
    if (found.value === undefined) return void res.status(404).end();
    const { value, version } = found.value;
    if (version === seen) return void res.status(304).end();
    res.setHeader("etag", `"${version}"`).type("text/plain").send(value);
  }

  async #list(req: Request, res: Response): Promise<void> {
    const found = await this.platform.list(String(req.query["prefix"] ?? ""));
    res.json(found._unsafeUnwrap());
  }

  async #put(req: Request, res: Response): Promise<void> {
    const match = unquote(req.headers["if-match"]);
    const condition = match
      ? { ifVersion: match }
      : { ifAbsent: true } as const;
    const put = await this.platform.put(keyOf(req), req.body, condition);
    if (put.isErr()) return sendFailure(res, put.error);
    res.setHeader("etag", `"${put.value}"`).status(204).end();
  }
}

function keyOf(req: Request): string {
  const key = req.params["key"] as unknown;
  return Array.isArray(key) ? key.join("/") : String(key);
}

function unquote(tag: string | undefined): string {
  return (tag ?? "").replaceAll('"', "");
}

function sendFailure(res: Response, failure: Failure): void {
  const status = { conflict: 412, value_too_large: 413 } as const;
  res.status(status[failure.code as keyof typeof status] ?? 503).end();
}
