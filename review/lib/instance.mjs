// Starts the program of the deploy file as a process of its own.
import { spawn } from "node:child_process";
import {
  createWriteStream,
  existsSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { connect, createServer } from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** The repository's root. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** The command of the deploy file, split at spaces. */
function command() {
  const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
}

/** A loopback address on which the ports of an instance are free. */
export async function freeHost() {
  for (let i = 0; i < 200; i++) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const host = `127.${part()}.${part()}.${part()}`;
    if (await isFree(host, 9464) && await isFree(host, 18389)) return host;
  }
  throw new Error("no free loopback address");
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer().once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** An instance of the program; not restarted unless `start` is called again. */
export class Instance {
  exits = [];
  #opts;
  #child;

  constructor(opts) {
    this.#opts = opts;
    if (!existsSync(join(ROOT, command()[command().length - 1]))) {
      throw new Error("the program is not built: npm run bundle");
    }
  }

  get id() {
    return this.#opts.id;
  }

  get caller() {
    return { host: this.#opts.host, port: 18389 };
  }

  get pid() {
    return this.#child?.pid;
  }

  start({ firstStart = false } = {}) {
    const { id, dir } = this.#opts;
    const settings = join(dir, `${id}.toml`);
    writeFileSync(settings, settingsOf(this.#opts, firstStart));
    const [program, ...args] = command();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        MAGNOLIAHOOK_SETTINGS: settings,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(dir, `${id}.log`), { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.startedAt = Date.now();
    this.#child = child;
    this.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        this.exits.push({ at: Date.now(), code, signal });
        if (this.#child === child) this.#child = undefined;
        resolve({ code, signal });
      })
    );
  }

  signal(name) {
    this.#child?.kill(name);
  }

  /** Waits until its readiness probe answers 200. */
  async whenReady(timeoutMs = 15_000) {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      try {
        const url = `http://${this.#opts.host}:18384/readiness`;
        if ((await fetch(url)).status === 200) return;
      } catch {
        // It does not listen yet.
      }
      await sleep(50);
    }
    throw new Error(`${this.#opts.id} is not ready`);
  }

  /** Asks its directory for the addresses that clients of a region may use. */
  async resolve(region) {
    const query = new URLSearchParams({ Name: "shop.example", Region: region });
    const url = `http://${this.#opts.host}:18385/resolve?${query}`;
    return await (await fetch(url)).json();
  }

  async close() {
    if (this.#child === undefined) return;
    this.#child.kill("SIGCONT");
    this.#child.kill("SIGKILL");
    await this.exited;
  }
}

export function sleep(ms) {
  return new Promise((done) => setTimeout(done, ms));
}

/** Whether something accepts connections there. */
export function accepts({ host, port }) {
  return new Promise((resolve) => {
    const socket = connect(port, host, () => {
      socket.destroy();
      resolve(true);
    });
    socket.once("error", () => resolve(false));
  });
}

/** The settings of a small deployment, as the template lays them out. */
function settingsOf(opts, firstStart) {
  const { id, zone, region, zones, host, store } = opts;
  const lines = Object.entries(zones).map(([z, r]) => `"${z}" = "${r}"`);
  return `[instance]
id = "${id}"
zone = "${zone}"
region = "${region}"

[zones]
${lines.join("\n")}

[machine]
cpu_share = 0.54
cores = 1

[listen]
caller = "${host}:18389"
ready = "${host}:18384"
directory = "${host}:18385"
internal_host = "${host}"
internal_port = 17460

[store]
address = "${store}"

[fleet]
seeds = []
first_start = ${firstStart}

[stop]
grace_s = 6

[retries]
ratio = 0.2
slack = 64
window_s = 10

[rates]
window_s = 5
overshoot = 0.1
slack = 20
`;
}
