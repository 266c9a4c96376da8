/**
 * The clock of one simulated process: it has its own offset, and a pause defers
 * its timers while the world's time advances.
 *
 * @module
 */
import type { Clock, Timer } from "../../src/core/mod.ts";

/** A clock that can be paused, or ended to simulate a killed process. */
export class SoakClock implements Clock {
  readonly #world: Clock;
  readonly #offset: number;
  #state: "running" | "paused" | "ended" = "running";
  #deferred: (() => void)[] = [];

  constructor(world: Clock, offset: number) {
    this.#world = world;
    this.#offset = offset;
  }

  get paused(): boolean {
    return this.#state === "paused";
  }

  get ended(): boolean {
    return this.#state === "ended";
  }

  now(): number {
    return this.#world.now() + this.#offset;
  }

  wall(): number {
    return this.#world.now();
  }

  after(ms: number, run: () => void): Timer {
    let open = true;
    const timer = this.#world.after(ms, () => {
      this.#runOrDefer(() => {
        if (open) run();
      });
    });
    return {
      close: () => {
        open = false;
        timer.close();
      },
    };
  }

  /** Resolves at once, after a pause ends, or never if the process was killed. */
  untilRunning(): Promise<void> {
    return new Promise((resolve) => this.#runOrDefer(resolve));
  }

  pause(): void {
    if (this.#state === "running") this.#state = "paused";
  }

  /** Ends a pause; calls `beforeTimers` before the deferred timers run. */
  resume(beforeTimers: () => void = () => {}): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    beforeTimers();
    for (const run of this.#deferred.splice(0)) run();
  }

  end(): void {
    this.#state = "ended";
    this.#deferred = [];
  }

  #runOrDefer(run: () => void): void {
    if (this.#state === "running") run();
    else if (this.#state === "paused") this.#deferred.push(run);
  }
}
