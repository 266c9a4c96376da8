/**
 * Makes the code cache of the daemon: runs it under a small load and keeps what
 * was compiled.
 *
 * @module
 */
import { existsSync } from "node:fs";
import { StandInWorld } from "../standins/stand_in_world.ts";
import { CODE_CACHE } from "./program.ts";
import { RUNTIME_FLAGS } from "./runtime_flags.ts";

const LOAD_PER_S = 100;
const LOAD_MS = 2_000;
const READY_MS = 10_000;
const WRITTEN_MS = 5_000;
const STEP_MS = 50;

/** Writes the cache; gives whether it could be made. */
export async function makeCodeCache(): Promise<boolean> {
  const world = await StandInWorld.open();
  const instance = world.start({
    program: "tools/bundle/code_cache_main.ts",
    nodeFlags: [...RUNTIME_FLAGS, "--import=tsx"],
  });
  try {
    if (!await within(READY_MS, () => instance.ready())) return false;
    await world.load(instance, LOAD_PER_S, LOAD_MS);
    instance.signal("SIGUSR2");
    return await within(WRITTEN_MS, () => existsSync(CODE_CACHE));
  } finally {
    await instance.close();
    await world.close();
  }
}

async function within(
  ms: number,
  holds: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const until = performance.now() + ms;
  while (performance.now() < until) {
    if (await holds()) return true;
    await new Promise((resolve) => setTimeout(resolve, STEP_MS));
  }
  return false;
}
