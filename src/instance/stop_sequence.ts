/**
 * Graceful shutdown of an instance that is replaced under load.
 *
 * The order matters. A listener that closes before callers know of it cuts
 * requests. Seats that move before running requests and loans have ended fill
 * slots and spend rates twice. Without a hand-over, seats stay idle for a lease
 * and the results of operations are unknown.
 *
 * @module
 */
import { type Clock, type Log, sleep } from "../core/mod.ts";
import type { InstanceListeners } from "./instance_listeners.ts";

/** A shutdown step that transfers state to other instances. */
export interface HandOverStep {
  readonly name: string;
  /** Overrides the default time-out of a step, in milliseconds. */
  readonly timeoutMs?: () => number;
  /** Resolves when the state is transferred; it is not used here afterwards. */
  handOver(): Promise<unknown>;
}

/** Dependencies of {@link runStopSequence}. */
export interface StopDeps {
  readonly clock: Clock;
  readonly log: Log;
  readonly listeners: InstanceListeners;
  /** Requests in flight here, including those forwarded by other instances. */
  readonly running: () => number;
  /** Announces the leaving to the platform's list and to every peer. */
  readonly announce: () => Promise<void>;
  /** Sends the last changes to every peer. */
  readonly flush: () => Promise<void>;
  /** Hand-over steps, in order. */
  readonly handOverSteps: readonly HandOverStep[];
  /** How long callers may reuse a look-up answer that names this instance, in milliseconds. */
  readonly leaveNoticeMs: number;
}

/** Bounds a step when the platform or a peer is unreachable. */
const STEP_TIMEOUT_MS = 5_000;
/** Longer than any deadline in a document; bounds requests that never end. */
const DRAIN_TIMEOUT_MS = 3_600_000;
const POLL_MS = 20;

/** Drains the instance and hands over its state; it can be closed afterwards. */
export async function runStopSequence(deps: StopDeps): Promise<void> {
  const { clock, listeners } = deps;
  const notice = sleep(clock, deps.leaveNoticeMs);
  listeners.leave();
  await runStep(deps, "announce", deps.announce);
  await notice;
  await listeners.drain();
  await waitUntilIdle(deps);
  for (const step of deps.handOverSteps) {
    const timeoutMs = step.timeoutMs?.() ?? STEP_TIMEOUT_MS;
    await runStep(deps, step.name, () => step.handOver(), timeoutMs);
  }
  await runStep(deps, "flush", deps.flush);
}

async function waitUntilIdle({ clock, running }: StopDeps): Promise<void> {
  const deadline = clock.now() + DRAIN_TIMEOUT_MS;
  while (running() > 0 && clock.now() < deadline) await sleep(clock, POLL_MS);
}

async function runStep(
  { clock, log }: StopDeps,
  name: string,
  run: () => Promise<unknown>,
  timeoutMs = STEP_TIMEOUT_MS,
): Promise<void> {
  const cause = await new Promise<string | undefined>((resolve) => {
    const timer = clock.after(timeoutMs, () => resolve("timed out"));
    const end = (cause?: string) => {
      timer.close();
      resolve(cause);
    };
    run().then(() => end(), (cause) => end(String(cause)));
  });
  log.event("stop_step", { step: name, done: cause === undefined, cause });
}
