/**
 * Runs the periodic tasks of an instance.
 *
 * @module
 */
import type { Clock, Log, Timer } from "../core/mod.ts";

/** A task that runs each tick. */
export interface TickTask {
  readonly name: string;
  run(now: number): void;
}

/** Runs tasks in order, once per tick. */
export class TickLoop {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #tickMs: number;
  readonly #tasks: TickTask[] = [];
  #timer: Timer | undefined;

  constructor(clock: Clock, log: Log, tickMs: number) {
    this.#clock = clock;
    this.#log = log;
    this.#tickMs = tickMs;
  }

  /** Adds a task that runs after those already added. */
  add(task: TickTask): void {
    this.#tasks.push(task);
  }

  start(): void {
    this.#timer = this.#clock.after(this.#tickMs, () => this.#tick());
  }

  close(): void {
    this.#timer?.close();
    this.#timer = undefined;
  }

  /** Logs a task that throws and runs the remaining ones. */
  #tick(): void {
    const now = this.#clock.now();
    for (const task of this.#tasks) {
      try {
        task.run(now);
      } catch (cause) {
        this.#log.event("system_failed", {
          system: task.name,
          cause: String(cause),
        });
      }
    }
    this.start();
  }
}
