/**
 * Runs commands in-process and captures their output.
 *
 * @module
 */
import { readFile, writeFile } from "node:fs/promises";
import { MemoryMetrics, SeededRandom, SystemClock } from "../../core/mod.ts";
import { HttpPlatform, type Platform } from "../../store/mod.ts";
import type { CliContext } from "../context.ts";
import type { ExitCode } from "../exit.ts";
import { run } from "../program.ts";

/** A command's output and exit code. */
export interface CommandResult {
  readonly code: ExitCode;
  readonly out: string;
  readonly err: string;
}

/** Runs commands; `platforms` replaces the platforms at the given URLs. */
export class CommandRunner {
  readonly #platforms: ReadonlyMap<string, Platform>;
  readonly #random = new SeededRandom(7);
  readonly #env: Record<string, string>;
  /** Stops a running `serve`. */
  stop: () => void = () => {};

  constructor(
    platforms: ReadonlyMap<string, Platform> = new Map(),
    env: Record<string, string> = {},
  ) {
    this.#platforms = platforms;
    this.#env = { MAGNOLIAHOOK_AUTHOR: "tester", ...env };
  }

  async run(
    command: string,
    onLine: (line: string) => void = () => {},
  ): Promise<CommandResult> {
    const out: string[] = [];
    const err: string[] = [];
    const print = (line: string) => {
      out.push(line);
      onLine(line);
    };
    const ctx = this.#context(print, (line) => err.push(line));
    const argv = ["node", "magnoliahook", ...command.split(" ")];
    const code = await run(ctx, argv);
    return { code, out: out.join("\n"), err: err.join("\n") };
  }

  #context(
    out: (line: string) => void,
    err: (line: string) => void,
  ): CliContext {
    return {
      out,
      err,
      env: this.#env,
      clock: new SystemClock(),
      random: this.#random,
      openPlatform: ({ url }) =>
        this.#platforms.get(url) ??
          new HttpPlatform({ baseUrl: url, metrics: new MemoryMetrics() }),
      readFile: (file) => readFile(file, "utf8"),
      writeFile: (file, text) => writeFile(file, text),
      stopped: () => new Promise((resolve) => this.stop = resolve),
    };
  }
}
