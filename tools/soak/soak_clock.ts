/**
 * A process's clock in the soak: it differs from the others', and a pause
 * holds its timers up while time goes on.
 *
 * @module
 */
import type { Clock, Timer } from "../../src/core/mod.ts";

/** A clock that can be paused, and ended as a killed process is. */
export class SoakClock implements Clock {
  readonly #world: Clock;
  readonly #offset: number;
  #state: "running" | "paused" | "ended" = "running";
  #held: (() => void)[] = [];

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
      this.#pass(() => {
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

  /** Passes while the process runs; never again once it was killed. */
  gate(): Promise<void> {
    return new Promise((resolve) => this.#pass(resolve));
  }

  pause(): void {
    if (this.#state === "running") this.#state = "paused";
  }

  /** Goes on; `awake` looks at it before it has read anything. */
  resume(awake: () => void = () => {}): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    awake();
    for (const run of this.#held.splice(0)) run();
  }

  end(): void {
    this.#state = "ended";
    this.#held = [];
  }

  #pass(run: () => void): void {
    if (this.#state === "running") run();
    else if (this.#state === "paused") this.#held.push(run);
  }
}
