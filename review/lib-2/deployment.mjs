/**
 * A small deployment on loopback: the program of the deploy file as processes,
 * the platform's store, targets and clients as stand-ins.
 *
 * Only Node.js's own modules are used, so nothing has to be compiled.
 */
import { spawn } from "node:child_process";
import { createServer as createHttpServer } from "node:http";
import { createServer, Socket } from "node:net";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const METRICS_PORT = 9464;
const START_TIMEOUT_MS = 20_000;

/** Whether an address can be bound. */
function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A /24 of loopback addresses on which the program's ports are free. */
async function freeBlock(instances) {
  for (let tries = 0; tries < 50; tries++) {
    const a = 64 + Math.floor(Math.random() * 150);
    const b = 1 + Math.floor(Math.random() * 250);
    const hosts = Array.from(
      { length: instances },
      (_, i) => `127.${a}.${b}.${i + 10}`,
    );
    const ports = [METRICS_PORT, 8389, 8384, 8383, 8385, 7460, 7461, 7462];
    const free = await Promise.all(
      hosts.flatMap((host) => ports.map((port) => isFree(host, port))),
    );
    if (free.every((f) => f)) return `127.${a}.${b}`;
  }
  throw new Error("no block of loopback addresses is free");
}

/** The store of the platform: objects by kind and name, lists and watches. */
export class Store {
  revision = 1;
  #objects = new Map();
  #history = [];
  #waiting = new Set();
  /** When each instance last announced itself, by name. */
  announcedAt = new Map();

  async listen(host) {
    this.server = createHttpServer((req, res) => this.#serve(req, res));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Writes as an operator or a target does. */
  put(kind, name, { Spec, Status }) {
    const old = this.#objects.get(`${kind}/${name}`);
    const object = {
      Metadata: {
        Name: name,
        Revision: ++this.revision,
        CreatedRev: old?.Metadata.CreatedRev ?? this.revision,
        Finalizers: [],
        Deleting: false,
      },
      Spec,
      Status: Status ?? old?.Status,
    };
    this.#objects.set(`${kind}/${name}`, object);
    this.#changed(kind, object, false);
    return object;
  }

  /** Removes an object, as the end of a registration does. */
  remove(kind, name) {
    const old = this.#objects.get(`${kind}/${name}`);
    if (old === undefined) return;
    this.revision++;
    this.#objects.delete(`${kind}/${name}`);
    this.#changed(kind, old, true);
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  #changed(kind, object, deleted) {
    this.#history.push({
      kind,
      revision: this.revision,
      event: { Object: object, Deleted: deleted },
    });
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const url = new URL(req.url, "http://store");
    const [, , kind, rawName] = url.pathname.split("/");
    const name = rawName === undefined
      ? undefined
      : decodeURIComponent(rawName);
    const send = (status, body) => {
      res.writeHead(status, { "content-type": "application/json" });
      res.end(JSON.stringify(body ?? {}));
    };
    if (req.method === "GET") {
      if (name !== undefined) {
        const found = this.#objects.get(`${kind}/${name}`);
        return send(found === undefined ? 404 : 200, found);
      }
      const since = url.searchParams.get("Watch");
      if (since === null) return send(200, this.#list(kind, url));
      return await this.#watch(kind, url, Number(since), send);
    }
    const body = text === "" ? {} : JSON.parse(text);
    const id = name ?? body.Metadata?.Name;
    const old = this.#objects.get(`${kind}/${id}`);
    if (req.method === "POST") {
      this.announcedAt.set(id, Date.now());
      return old === undefined
        ? send(200, this.put(kind, id, body))
        : send(409, old);
    }
    if (old === undefined) return send(404);
    if (req.method === "DELETE") {
      this.remove(kind, id);
      return send(200, old);
    }
    return send(
      200,
      this.put(kind, id, { Spec: body.Spec, Status: old.Status }),
    );
  }

  #list(kind, url) {
    const after = url.searchParams.get("after") ?? "";
    const items = [...this.#objects.entries()]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({ Metadata }) => Metadata.Name > after)
      .sort((a, b) => a.Metadata.Name < b.Metadata.Name ? -1 : 1);
    return { items, More: false, CurrentRev: this.revision };
  }

  async #watch(kind, url, since, send) {
    const events = () =>
      this.#history.filter((c) => c.kind === kind && c.revision > since)
        .map((c) => c.event);
    const waitMs = Number(url.searchParams.get("WaitMs") ?? 0);
    const until = Date.now() + waitMs;
    while (events().length === 0 && Date.now() < until) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - Date.now());
        this.#waiting.add(wake);
      });
    }
    send(200, { events: events(), CurrentRev: this.revision });
  }
}

/** Renders the template of the settings, as DEPLOY.md says. */
export function render(template, fields) {
  const lookUp = (path, scopes) => {
    if (path === ".") return scopes[0].value;
    if (path === "@") return scopes[0].key;
    for (const { value } of scopes) {
      const found = path.split(".").reduce(
        (at, part) => at === null || at === undefined ? undefined : at[part],
        value,
      );
      if (found !== undefined) return found;
    }
    return undefined;
  };
  const text = (part, scopes) => {
    const section = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
    let rest = part;
    let out = "";
    for (;;) {
      const match = section.exec(rest);
      if (match === null) return out + values(rest, scopes);
      const [whole, sign, path, inner] = match;
      out += values(rest.slice(0, match.index), scopes);
      rest = rest.slice(match.index + whole.length);
      const value = lookUp(path, scopes);
      const isThere = value !== undefined && value !== null && value !== false;
      if (sign === "^") {
        if (!isThere) out += text(inner, scopes);
      } else if (isThere && typeof value === "object") {
        const entries = Object.entries(value);
        for (const [i, [key, entry]] of entries.entries()) {
          const comma = i < entries.length - 1 ? "," : "";
          const body = inner.replaceAll("{{,}}", comma);
          out += text(body, [{ value: entry, key }, ...scopes]);
        }
      } else if (isThere) out += text(inner, scopes);
    }
  };
  const values = (part, scopes) =>
    part.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = lookUp(path, scopes);
      return json ? JSON.stringify(value ?? null) : String(value ?? "");
    });
  return text(template, [{ value: fields, key: "" }]);
}

/** One process of the deploy file's role. */
export class Instance {
  constructor(deployment, name, zone, host) {
    Object.assign(this, { deployment, name, zone, host });
    this.front = { host, port: 8389 };
  }

  /** Writes its settings and starts it with the command of the deploy file. */
  start(firstStart) {
    const { dir, fieldsOf, record } = this.deployment;
    const file = join(dir, `${this.name}.toml`);
    const template = readFileSync("deploy/settings.toml.template", "utf8");
    writeFileSync(file, render(template, fieldsOf(this, firstStart)));
    const deploy = readFileSync("deploy/system.toml", "utf8");
    const [command, ...args] = /^run = "([^"]+)"/m.exec(deploy)[1].split(" ");
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, MAGNOLIAHOOK_SETTINGS: file };
    this.child = spawn(command, args, {
      env,
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.log = [];
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream.on("data", (bytes) => this.log.push(String(bytes)));
    }
    this.child.once("exit", (code, signal) => {
      this.ended = true;
      record(`${this.name} ended: ${signal ?? `code ${code}`}`);
    });
    this.ended = false;
  }

  signal(name) {
    this.deployment.record(`${name} to ${this.name}`);
    this.child.kill(name);
  }

  async isReady() {
    try {
      const url = `http://${this.host}:8384/readiness`;
      const res = await fetch(url, { signal: AbortSignal.timeout(500) });
      await res.arrayBuffer();
      return res.status === 200;
    } catch {
      return false;
    }
  }
}

/** The processes of a deployment and what was seen of them. */
export class Deployment {
  lines = [];
  instances = [];
  targets = [];
  store = new Store();
  #began = performance.now();

  /** @param folder Where `record.txt` is written. */
  constructor(folder, { zones, perZone, bounds = {} }) {
    this.folder = folder;
    this.zones = zones;
    this.perZone = perZone;
    this.bounds = {
      GraceS: 6,
      RetryBudgetRatio: 0.2,
      RetryBudgetSlack: 64,
      BudgetWindowS: 10,
      QuotaWindowS: 5,
      QuotaOvershoot: 0.1,
      QuotaSlack: 20,
      ...bounds,
    };
    this.record = (line) => {
      const ms = Math.round(performance.now() - this.#began);
      this.lines.push(`${String(ms).padStart(6)} ms  ${line}`);
    };
    this.fieldsOf = (instance, firstStart) => ({
      NodeName: instance.name,
      Ip: instance.host,
      Zone: instance.zone,
      Region: zones[instance.zone],
      Zones: zones,
      Listen: {
        Front: `${instance.host}:8389`,
        Ready: `${instance.host}:8384`,
        Control: `${instance.host}:8383`,
        Directory: `${instance.host}:8385`,
      },
      InternalPortRange: [7460, 7475],
      Seeds: this.instances.slice(0, 3).map(({ host }) => `${host}:8383`),
      FirstStart: firstStart,
      Limits: { CpuShare: 0.54, Cores: 1, MemoryMb: 350, LinkMbps: 1000 },
      Bounds: this.bounds,
      Provider: { Address: this.storeAddressOf(instance) },
    });
  }

  /** The address under which an instance finds the store. */
  storeAddressOf(_instance) {
    return this.store.address;
  }

  /** Opens the store; targets may be registered from then on. */
  async open() {
    this.dir = mkdtempSync(join(tmpdir(), "review-case-"));
    const names = Object.keys(this.zones);
    const total = names.length * this.perZone;
    this.block = await freeBlock(total);
    let n = 10;
    for (const zone of names) {
      for (let i = 1; i <= this.perZone; i++) {
        const host = `${this.block}.${n++}`;
        this.instances.push(
          new Instance(this, `edge-${zone}-${i}`, zone, host),
        );
      }
    }
    await this.store.listen(`${this.block}.1`);
  }

  /** Starts all instances and waits until they are ready. */
  async start() {
    for (const instance of this.instances) instance.start(true);
    const until = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const ready = await Promise.all(this.instances.map((i) => i.isReady()));
      if (ready.every((r) => r)) break;
      if (Date.now() > until) throw new Error("the instances are not ready");
      await sleep(100);
    }
    this.record(`${this.instances.length} instances are ready`);
    // Longer than StabilityWindowS, so that the start counts for nothing.
    await sleep(5_000);
  }

  /** Writes the manifest. */
  putManifest(version, { routes, services, tenants = [], limits = {} }) {
    const entry = (EntryKind, Name, Spec) => ({
      EntryKind,
      Metadata: { Name },
      Spec,
    });
    const Resources = [
      ...routes.map((r, i) =>
        entry("Routes", `r-${i}`, {
          AimS: 0.4,
          Priority: 1,
          MaxAttempts: 2,
          Public: false,
          SessionAffinity: true,
          AllowedRegions: [],
          ...r,
        })
      ),
      ...services.map((name) =>
        entry("Services", name, {
          HealthPath: "/health",
          MaxConnections: 390,
          Protocol: "h1",
          Tls: false,
          ColdStartS: 3,
          ColdPerS: 15,
        })
      ),
      ...tenants.map(({ Name, ...spec }) =>
        entry("Tenants", Name, {
          Priority: 1,
          RatePerS: 0,
          Burst: 0,
          AllowedRegions: [],
          ...spec,
        })
      ),
      {
        EntryKind: "Limits",
        Metadata: {},
        Spec: {
          MaxHeaderBytes: 16384,
          MaxBodyBytes: 67108864,
          HeaderTimeoutS: 3,
          IdleTimeoutS: 15,
          ...limits,
        },
      },
    ];
    const Version = version.toString(16).padStart(8, "0");
    this.store.put("config", "main", { Spec: { Version, Resources } });
  }

  /** Registers a target, or its state. */
  register(target, state = "ready") {
    const { id, service, zone, slots, address, born } = target;
    this.store.put("servers", id, {
      Spec: {
        Address: address,
        Info: { Service: service, Version: "v1", Zone: zone, Slots: slots },
        born,
      },
      Status: { State: state, Seq: 1, ColdRemainingS: 0 },
    });
  }

  /** Ends all processes and stand-ins, and writes the record. */
  async close() {
    for (const { child, ended } of this.instances) {
      if (child === undefined || ended) continue;
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    const until = Date.now() + 3_000;
    while (
      this.instances.some((i) => i.child && !i.ended) && Date.now() < until
    ) await sleep(20);
    for (const target of this.targets) target.close();
    this.store.close();
    writeFileSync(
      join(this.folder, "record.txt"),
      this.lines.join("\n") + "\n",
    );
    rmSync(this.dir, { recursive: true, force: true });
  }
}

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the
 * case could not run.
 */
export async function runCase(deployment, run) {
  let code = 2;
  let verdict = "the case could not run";
  try {
    await deployment.open();
    const broken = await run(deployment);
    for (const line of broken) deployment.record(`BROKEN ${line}`);
    verdict = broken.length === 0 ? "the rule held" : "the rule was broken";
    deployment.record(verdict);
    code = broken.length === 0 ? 0 : 1;
  } catch (cause) {
    deployment.record(`the case could not run: ${cause?.stack ?? cause}`);
  }
  await deployment.close();
  console.log(verdict);
  process.exit(code);
}

export { sleep, Socket };
