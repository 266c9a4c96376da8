/**
 * One instance as a process of its own, started again when it ends.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

/** What an instance is started with. */
export interface InstanceProcessOptions {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly zones: Readonly<Record<string, string>>;
  /** An address of loopback that no other instance has. */
  readonly host: string;
  readonly storePort: number;
  readonly program: string;
  readonly dir: string;
  readonly graceS: number;
  /** Flags of the runtime, before the program. */
  readonly nodeFlags?: readonly string[];
}

const RESTART_MS = 300;
const CALLER_PORT = 18_389;
const READY_PORT = 18_384;
const DIRECTORY_PORT = 18_385;
const INTERNAL_PORT = 17_460;
const MS_PER_S = 1_000;

/** A process, and when it was last disturbed. */
export class InstanceProcess {
  readonly opts: InstanceProcessOptions;
  readonly logFile: string;
  /** Names this start of the process. */
  life = 0;
  disturbedAt = 0;
  /** When SIGTERM was last sent to this start; undefined if not. */
  stoppingSince: number | undefined;
  #child: ChildProcess | undefined;
  #frozen = false;
  #closed = false;

  constructor(opts: InstanceProcessOptions) {
    this.opts = opts;
    this.logFile = join(opts.dir, `${opts.id}.log`);
    writeFileSync(join(opts.dir, `${opts.id}.toml`), settingsOf(opts));
  }

  get callerAddress(): string {
    return `${this.opts.host}:${CALLER_PORT}`;
  }

  /** The process id; undefined while it is down. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get running(): boolean {
    return this.#child !== undefined && !this.#frozen;
  }

  /** Starts it, and again each time that it ends. */
  start(): void {
    if (this.#closed) return;
    const { id, dir, program } = this.opts;
    this.life++;
    this.stoppingSince = undefined;
    this.#touch();
    const flags = this.opts.nodeFlags ?? [];
    const child = spawn(process.execPath, [...flags, program], {
      env: { ...process.env, MAGNOLIAHOOK_SETTINGS: join(dir, `${id}.toml`) },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(this.logFile, { flags: "a" });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    this.#child = child;
    child.once("exit", () => {
      this.#touch();
      this.#child = undefined;
      this.#frozen = false;
      setTimeout(() => this.start(), RESTART_MS);
    });
  }

  /** Whether it says that it takes callers. */
  async ready(): Promise<boolean> {
    try {
      const url = `http://${this.opts.host}:${READY_PORT}/readiness`;
      return (await fetch(url)).status === 200;
    } catch {
      // It is not up yet.
      return false;
    }
  }

  /** Sends the process a signal that neither ends nor stops it. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  kill(): void {
    this.#touch();
    // A stop that ends in a kill promises nothing.
    this.stoppingSince = undefined;
    this.#child?.kill("SIGKILL");
  }

  /**
   * Stops it in good order, and by force once its time is over. Told again, it
   * is sent the signal again.
   */
  stop(): void {
    const child = this.#child;
    if (child === undefined) return;
    this.#touch();
    if (this.stoppingSince !== undefined) return void child.kill("SIGTERM");
    this.stoppingSince = Date.now();
    child.kill("SIGTERM");
    const graceMs = this.opts.graceS * MS_PER_S;
    setTimeout(() => {
      if (this.#child === child) this.kill();
    }, graceMs);
  }

  freeze(forMs: number): void {
    const child = this.#child;
    if (child === undefined || this.#frozen) return;
    this.#frozen = true;
    this.stoppingSince = undefined;
    this.#touch();
    child.kill("SIGSTOP");
    setTimeout(() => {
      child.kill("SIGCONT");
      if (this.#child === child) this.#frozen = false;
      this.#touch();
    }, forMs);
  }

  /** Its links are disturbed until then. */
  disturbed(untilMs: number): void {
    this.disturbedAt = Math.max(this.disturbedAt, untilMs);
  }

  /** Ends it for good. */
  close(): Promise<void> {
    this.#closed = true;
    const child = this.#child;
    if (child === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      child.once("exit", () => resolve());
      child.kill("SIGKILL");
      child.kill("SIGCONT");
    });
  }

  #touch(): void {
    this.disturbed(Date.now());
  }
}

function settingsOf(opts: InstanceProcessOptions): string {
  const { id, zone, region, zones, host, storePort, graceS } = opts;
  const lines = Object.entries(zones).map(([z, r]) => `"${z}" = "${r}"`);
  return `
[instance]
id = "${id}"
zone = "${zone}"
region = "${region}"

[zones]
${lines.join("\n")}

[machine]
cpu_share = 1
cores = 1

[listen]
caller = "${host}:${CALLER_PORT}"
ready = "${host}:${READY_PORT}"
directory = "${host}:${DIRECTORY_PORT}"
internal_host = "${host}"
internal_port = ${INTERNAL_PORT}

[store]
address = "127.0.0.1:${storePort}"

[fleet]
seeds = []

[stop]
grace_s = ${graceS}

[retries]
ratio = 0.2
slack = 20
window_s = 10

[rates]
window_s = 5
overshoot = 0.1
slack = 20
`;
}
