/**
 * The order in which an instance ends, so that nothing is cut.
 *
 * Pattern it answers: every instance is replaced at any time, under load. What
 * goes wrong with another order: a listener that closes before callers know
 * cuts requests; seats that move before running work and loans have ended fill
 * slots and spend rates twice; an instance that goes without handing over leaves its seats idle for
 * a lease and its operations' answers unknown.
 *
 * @module
 */
import { type Clock, type Log, sleep } from "../core/mod.ts";
import type { InstanceListeners } from "./instance_listeners.ts";

/** Something that passes on what it holds before the instance ends. */
export interface Heritage {
  readonly name: string;
  /** How long it may take, in milliseconds, where that is not the usual. */
  readonly limitMs?: () => number;
  /** Comes back when the others have it; nothing of it is used afterwards. */
  handOver(): Promise<unknown>;
}

/** What a stop needs. */
export interface StopDeps {
  readonly clock: Clock;
  readonly log: Log;
  readonly listeners: InstanceListeners;
  /** Requests that still run here, those that other instances sent included. */
  readonly running: () => number;
  /** Tells the platform's list and every peer. */
  readonly announce: () => Promise<void>;
  /** Tells every peer what changed last. */
  readonly flush: () => Promise<void>;
  /** In the order in which they hand over. */
  readonly heritage: readonly Heritage[];
  /** How long callers reuse an answer that still names this instance. */
  readonly noticeMs: number;
}

/** An unreachable platform or peer may hold up a step this long, in milliseconds. */
const STEP_LIMIT_MS = 5_000;
/** Longer than any deadline of a document, as a bound for what never ends. */
const RUNNING_LIMIT_MS = 3_600_000;
const CHECK_MS = 20;

/** Runs the sequence; afterwards nothing runs here and nobody counts on it. */
export async function stopInOrder(deps: StopDeps): Promise<void> {
  const { clock, listeners } = deps;
  const notice = sleep(clock, deps.noticeMs);
  listeners.leave();
  await step(deps, "announce", deps.announce);
  await notice;
  await listeners.drain();
  await idle(deps);
  for (const heritage of deps.heritage) {
    const limitMs = heritage.limitMs?.() ?? STEP_LIMIT_MS;
    await step(deps, heritage.name, () => heritage.handOver(), limitMs);
  }
  await step(deps, "flush", deps.flush);
}

async function idle({ clock, running }: StopDeps): Promise<void> {
  const limit = clock.now() + RUNNING_LIMIT_MS;
  while (running() > 0 && clock.now() < limit) await sleep(clock, CHECK_MS);
}

async function step(
  { clock, log }: StopDeps,
  name: string,
  run: () => Promise<unknown>,
  limitMs = STEP_LIMIT_MS,
): Promise<void> {
  const done = await new Promise<boolean>((resolve) => {
    const timer = clock.after(limitMs, () => resolve(false));
    const end = (ok: boolean) => {
      timer.close();
      resolve(ok);
    };
    run().then(() => end(true), () => end(false));
  });
  log.event("stop_step", { step: name, done });
}
