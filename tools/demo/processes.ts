/**
 * Starts and ends the demo's child processes, each of which prints one line of
 * JSON when it is ready.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

/** A started process and the JSON it printed when ready. */
export interface Started<T> {
  readonly child: ChildProcess;
  readonly ready: T;
}

/** Starts `node ARGS` and waits for its first line. */
export function start<T>(args: readonly string[]): Promise<Started<T>> {
  const child = spawn(process.execPath, args, {
    stdio: ["ignore", "pipe", "inherit"],
  });
  return new Promise((resolve, reject) => {
    child.once("exit", (code) => reject(new StartError(args, code)));
    createInterface(child.stdout).once("line", (line) => {
      resolve({ child, ready: JSON.parse(line) as T });
    });
  });
}

/** Signals a process and waits until it has exited. */
export function end(
  child: ChildProcess,
  signal: NodeJS.Signals,
): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill(signal);
  });
}

/** A process exited before it was ready. */
export class StartError extends Error {
  constructor(args: readonly string[], code: number | null) {
    super(`node ${args.join(" ")} exited with ${code} before it was ready`);
    this.name = "StartError";
  }
}
