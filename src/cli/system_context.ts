/**
 * The context of commands that are run from a shell.
 *
 * @module
 */
import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import {
  MemoryMetrics,
  stopSignal,
  SystemClock,
  SystemRandom,
} from "../core/mod.ts";
import { HttpPlatform } from "../store/mod.ts";
import type { CliContext } from "./context.ts";

/** Uses the machine's files, environment and network. */
export function systemContext(): CliContext {
  return {
    out: (line) => console.log(line),
    err: (line) => console.error(line),
    env: process.env,
    clock: new SystemClock(),
    random: new SystemRandom(),
    openPlatform: ({ url, token, timeoutMs }) =>
      new HttpPlatform({
        baseUrl: url,
        token,
        metrics: new MemoryMetrics(),
        ...(timeoutMs === undefined ? {} : { timeoutMs }),
      }),
    readFile: (file) => readFile(file, "utf8"),
    writeFile: (file, text) => writeFile(file, text),
    stopped: stopSignal,
  };
}
