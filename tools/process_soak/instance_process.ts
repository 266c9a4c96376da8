/**
 * An instance as a child process, restarted when it exits.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import type { CutMode } from "./tcp_proxy.ts";
import { SOAK_ALLOWANCE } from "./repeat_checker.ts";

/** Options of an instance process. */
export interface InstanceProcessOptions {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly zones: Readonly<Record<string, string>>;
  /** A loopback address that no other instance uses. */
  readonly host: string;
  readonly storePort: number;
  readonly program: string;
  readonly dir: string;
  readonly graceS: number;
  /** Memory limit of its settings, in MB; none if undefined. */
  readonly memoryMb?: number | undefined;
  /** Node.js flags, placed before the program. */
  readonly nodeFlags?: readonly string[];
}

const RESTART_MS = 300;
const CALLER_PORT = 18_389;
const READY_PORT = 18_384;
const DIRECTORY_PORT = 18_385;
const INTERNAL_PORT = 17_460;
const MS_PER_S = 1_000;

/** A supervised instance process that tracks when it was last disturbed. */
export class InstanceProcess {
  readonly opts: InstanceProcessOptions;
  readonly logFile: string;
  /** Incarnation number: the count of starts so far. */
  life = 0;
  disturbedAt = 0;
  /** When it was last frozen; the end of the freeze if that is over. */
  frozenAt = -Infinity;
  /** When its last cut from the endpoints ended or will end, and its kind. */
  cutUntil = -Infinity;
  cutMode: CutMode = "reset";
  /** When a graceful stop began; undefined if none, or after kill or freeze. */
  stoppingSince: number | undefined;
  /** Incarnations that ended by a graceful stop. */
  readonly #stoppedLives = new Set<number>();
  #child: ChildProcess | undefined;
  #frozen = false;
  /** Whether the process got SIGKILL; its exit may show much later. */
  #killed = false;
  #closed = false;

  constructor(opts: InstanceProcessOptions) {
    this.opts = opts;
    this.logFile = join(opts.dir, `${opts.id}.log`);
    writeFileSync(join(opts.dir, `${opts.id}.toml`), buildSettings(opts));
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

  /** Starts the process, and restarts it on each exit. */
  start(): void {
    if (this.#closed) return;
    const { id, dir, program } = this.opts;
    this.life++;
    this.stoppingSince = undefined;
    this.#killed = false;
    this.#markDisturbed();
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
      if (this.stoppingSince !== undefined) this.#stoppedLives.add(this.life);
      this.#markDisturbed();
      this.#child = undefined;
      this.#frozen = false;
      setTimeout(() => this.start(), RESTART_MS);
    });
  }

  /**
   * Whether an incarnation stops or stopped gracefully. Callers that read slowly
   * notice its end only after the restart.
   */
  stopsGracefully(life: number): boolean {
    return this.#stoppedLives.has(life) ||
      (life === this.life && this.stoppingSince !== undefined);
  }

  /** Whether its readiness probe succeeds. */
  async ready(): Promise<boolean> {
    try {
      const url = `http://${this.opts.host}:${READY_PORT}/readiness`;
      return (await fetch(url)).status === 200;
    } catch {
      // The listener is not open yet.
      return false;
    }
  }

  /** The addresses that its directory lists for callers of a region. */
  async directory(region: string): Promise<readonly string[]> {
    const query = new URLSearchParams({ Name: "soak.example", Region: region });
    const url = `http://${this.opts.host}:${DIRECTORY_PORT}/resolve?${query}`;
    try {
      const res = await fetch(url, { signal: AbortSignal.timeout(1_000) });
      const body = await res.json() as { readonly Addresses?: string[] };
      return body.Addresses ?? [];
    } catch {
      // It is down or frozen; callers go on with the addresses they have.
      return [];
    }
  }

  /** Sends a signal that neither terminates nor stops the process. */
  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  kill(): void {
    this.#markDisturbed();
    // A graceful stop that ends in SIGKILL gives no guarantee.
    this.stoppingSince = undefined;
    this.#killed = true;
    this.#child?.kill("SIGKILL");
  }

  /**
   * Stops the process gracefully, with SIGKILL after the grace period. A
   * repeated call sends SIGTERM again; a killed process is not stopped.
   */
  stop(): void {
    const child = this.#child;
    if (child === undefined || this.#killed) return;
    this.#markDisturbed();
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
    this.frozenAt = Date.now();
    this.stoppingSince = undefined;
    this.#markDisturbed();
    child.kill("SIGSTOP");
    setTimeout(() => {
      child.kill("SIGCONT");
      if (this.#child === child) this.#frozen = false;
      this.frozenAt = Date.now();
      this.#markDisturbed();
    }, forMs);
  }

  /** Marks the instance as disturbed until a moment. */
  markDisturbedUntil(untilMs: number): void {
    this.disturbedAt = Math.max(this.disturbedAt, untilMs);
  }

  /** Kills the process without a restart. */
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

  #markDisturbed(): void {
    this.markDisturbedUntil(Date.now());
  }
}

function buildSettings(opts: InstanceProcessOptions): string {
  const { id, zone, region, zones, host, storePort, graceS } = opts;
  const { memoryMb } = opts;
  const memory = memoryMb === undefined ? "" : `memory_mb = ${memoryMb}\n`;
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
${memory}
[listen]
caller = "${host}:${CALLER_PORT}"
ready = "${host}:${READY_PORT}"
directory = "${host}:${DIRECTORY_PORT}"
internal_host = "${host}"
internal_port = ${INTERNAL_PORT}

[endpoints]
source_address = "${host}"

[store]
address = "127.0.0.1:${storePort}"

[fleet]
seeds = []

[stop]
grace_s = ${graceS}

[retries]
ratio = ${SOAK_ALLOWANCE.ratio}
slack = ${SOAK_ALLOWANCE.slack}
window_s = ${SOAK_ALLOWANCE.windowMs / MS_PER_S}

[rates]
window_s = 5
overshoot = 0.1
slack = 20
`;
}
