/**
 * A fake platform service: the object store and the instance list over HTTP,
 * kept in memory, with injectable faults.
 *
 * @module
 */
import express, { type Request, type Response } from "express";
import { z } from "zod";
import { type Failure, SystemClock } from "../../src/core/mod.ts";
import { Listener } from "../../src/instance/mod.ts";
import { InstanceEntry, MemoryPlatform } from "../../src/store/mod.ts";
import {
  FaultyPlatform,
  type PlatformFaults,
} from "../../src/store/testing/mod.ts";

const MAX_BODY = "2mb";

/** Body of `POST /faults`: the faults to change; others stay as they are. */
const FaultsChange = z.strictObject({
  down: z.boolean(),
  slowMs: z.number().nonnegative(),
  loseAnswers: z.enum(["none", "applied", "dropped"]),
  staleReads: z.boolean(),
  listLagMs: z.number().nonnegative(),
  watches: z.enum(["live", "silent", "repeated"]),
  brokenBodies: z.boolean(),
}).partial();

/** Serves the store on loopback; `faults` may be changed at run time. */
export class StoreServer {
  /** The underlying store, without injected faults. */
  readonly platform: MemoryPlatform;
  readonly #faulty: FaultyPlatform;
  readonly #listener: Listener;

  private constructor(
    platform: MemoryPlatform,
    faulty: FaultyPlatform,
    listener: Listener,
  ) {
    this.platform = platform;
    this.#faulty = faulty;
    this.#listener = listener;
  }

  get url(): string {
    return this.#listener.url;
  }

  /** The faults currently injected. */
  get faults(): PlatformFaults {
    return this.#faulty.faults;
  }

  /** Number of calls so far by method name; a pending watch counts as one. */
  get calls(): ReadonlyMap<string, number> {
    return this.#faulty.calls;
  }

  /** Listens on `port`, or on a free port if it is 0. */
  static async open(port = 0): Promise<StoreServer> {
    const clock = new SystemClock();
    const platform = new MemoryPlatform(clock);
    const faulty = new FaultyPlatform(platform, clock);
    const app = express();
    const opened = await Listener.open({ host: "127.0.0.1", port }, app);
    app.disable("etag");
    app.post("/faults", express.json(), (req, res) => {
      const change = FaultsChange.safeParse(req.body);
      if (!change.success) return void res.status(400).end();
      Object.assign(faulty.faults, change.data);
      res.status(204).end();
    });
    app.get("/calls", (_req, res) => {
      res.json(Object.fromEntries(faulty.calls));
    });
    app.use(express.text({ type: () => true, limit: MAX_BODY }));
    app.get("/objects/*key", (req, res) => get(faulty, req, res));
    app.get("/objects", (req, res) => list(faulty, req, res));
    app.put("/objects/*key", (req, res) => put(faulty, req, res));
    app.get("/instances", (_req, res) => listInstances(faulty, res));
    app.put("/instances/:id", (req, res) => announce(faulty, req, res));
    return new StoreServer(platform, faulty, opened._unsafeUnwrap());
  }

  async close(): Promise<void> {
    await this.platform.close();
    await this.#listener.close();
  }
}

async function get(
  platform: FaultyPlatform,
  req: Request,
  res: Response,
): Promise<void> {
  const key = keyOf(req);
  const seen = unquote(req.headers["if-none-match"]);
  const waitMs = Number(req.query["wait_ms"] ?? 0);
  const found = waitMs > 0
    ? await platform.watch(key, seen || undefined, waitMs)
    : await platform.get(key);
  if (found.isErr()) return sendFailure(res, found.error);
  if (found.value === undefined) return void res.status(404).end();
  const { value, version } = found.value;
  const repeated = platform.faults.watches === "repeated";
  if (version === seen && !repeated) return void res.status(304).end();
  res.setHeader("etag", `"${version}"`).type("text/plain").send(value);
}

async function list(
  platform: FaultyPlatform,
  req: Request,
  res: Response,
): Promise<void> {
  const found = await platform.list(String(req.query["prefix"] ?? ""));
  if (found.isErr()) return sendFailure(res, found.error);
  sendJson(platform, res, found.value);
}

async function put(
  platform: FaultyPlatform,
  req: Request,
  res: Response,
): Promise<void> {
  const match = unquote(req.headers["if-match"]);
  const condition = match ? { ifVersion: match } : { ifAbsent: true } as const;
  const value = typeof req.body === "string" ? req.body : "";
  const written = await platform.put(keyOf(req), value, condition);
  if (written.isErr()) return sendFailure(res, written.error);
  res.setHeader("etag", `"${written.value}"`).status(204).end();
}

async function listInstances(
  platform: FaultyPlatform,
  res: Response,
): Promise<void> {
  const found = await platform.instances();
  if (found.isErr()) return sendFailure(res, found.error);
  sendJson(platform, res, found.value);
}

async function announce(
  platform: FaultyPlatform,
  req: Request,
  res: Response,
): Promise<void> {
  const entry = InstanceEntry.safeParse(JSON.parse(req.body));
  if (!entry.success) return void res.status(400).end();
  const announced = await platform.announce(entry.data);
  if (announced.isErr()) return sendFailure(res, announced.error);
  res.status(204).end();
}

function sendJson(
  platform: FaultyPlatform,
  res: Response,
  value: unknown,
): void {
  const text = JSON.stringify(value);
  const end = platform.faults.brokenBodies
    ? Math.floor(text.length / 2)
    : text.length;
  res.type("application/json").send(text.slice(0, end));
}

function keyOf(req: Request): string {
  const key = req.params["key"] as unknown;
  return Array.isArray(key) ? key.join("/") : String(key);
}

function unquote(tag: string | undefined): string {
  return (tag ?? "").replaceAll('"', "");
}

/** Closes the connection without a response if the outcome is unknown. */
function sendFailure(res: Response, failure: Failure): void {
  if (failure.code === "platform_outcome_unknown") {
    res.destroy();
    return;
  }
  const status = { conflict: 412, value_too_large: 413 } as const;
  res.status(status[failure.code as keyof typeof status] ?? 503).end();
}
