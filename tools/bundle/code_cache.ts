/**
 * Creates the daemon's code cache by running it under a small load and saving the
 * code compiled meanwhile.
 *
 * @module
 */
import { existsSync } from "node:fs";
import { InstanceTestBed } from "../standins/instance_test_bed.ts";
import { CODE_CACHE } from "./program.ts";
import { RUNTIME_FLAGS } from "./runtime_flags.ts";

const LOAD_PER_S = 100;
const LOAD_MS = 2_000;
const READY_TIMEOUT_MS = 10_000;
const WRITE_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 50;

/** Writes the cache; resolves to false if it was not written in time. */
export async function makeCodeCache(): Promise<boolean> {
  const world = await InstanceTestBed.open();
  const instance = world.start({
    program: "tools/bundle/code_cache_main.ts",
    nodeFlags: [...RUNTIME_FLAGS, "--import=tsx"],
  });
  try {
    if (!await poll(READY_TIMEOUT_MS, () => instance.ready())) return false;
    await world.load(instance, LOAD_PER_S, LOAD_MS);
    instance.signal("SIGUSR2");
    return await poll(WRITE_TIMEOUT_MS, () => existsSync(CODE_CACHE));
  } finally {
    await instance.close();
    await world.close();
  }
}

async function poll(
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<boolean> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) return true;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return false;
}
