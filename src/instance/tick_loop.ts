/**
 * Runs systems over the tables each tick.
 *
 * @module
 */
import type { Clock, Log, Timer } from "../core/mod.ts";

/** Something that looks at tables each tick and acts. */
export interface System {
  readonly name: string;
  run(now: number): void;
}

/** Runs systems in order, one tick after another. */
export class TickLoop {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #tickMs: number;
  readonly #systems: System[] = [];
  #timer: Timer | undefined;

  constructor(clock: Clock, log: Log, tickMs: number) {
    this.#clock = clock;
    this.#log = log;
    this.#tickMs = tickMs;
  }

  /** Adds a system, run after those already there. */
  add(system: System): void {
    this.#systems.push(system);
  }

  start(): void {
    this.#timer = this.#clock.after(this.#tickMs, () => this.#tick());
  }

  close(): void {
    this.#timer?.close();
    this.#timer = undefined;
  }

  /** A system that throws is logged and does not keep the others from running. */
  #tick(): void {
    const now = this.#clock.now();
    for (const system of this.#systems) {
      try {
        system.run(now);
      } catch (cause) {
        this.#log.event("system_failed", {
          system: system.name,
          cause: String(cause),
        });
      }
    }
    this.start();
  }
}
