/**
 * Time as a thing handed in, so that a test moves it and a pause shows.
 *
 * @module
 */
import { performance } from "node:perf_hooks";

/** A pending timer; `close` cancels it. */
export interface Timer {
  close(): void;
}

/** Source of time and timers. */
export interface Clock {
  /** Milliseconds on a clock that never goes back; leases are judged by it. */
  now(): number;
  /** Milliseconds since the Unix epoch, for people and logs only. */
  wall(): number;
  /** Calls back once after `ms` milliseconds. */
  after(ms: number, run: () => void): Timer;
}

/** The machine's clock. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wall(): number {
    return Date.now();
  }

  after(ms: number, run: () => void): Timer {
    const timer = setTimeout(run, ms);
    return { close: () => clearTimeout(timer) };
  }
}

interface PendingTimer {
  readonly due: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * A clock that stands still until it is moved; timers run in order of time.
 *
 * @example
 * ```ts
 * const clock = new ManualClock();
 * clock.after(10, () => console.log("due"));
 * clock.advance(10);
 * ```
 */
export class ManualClock implements Clock {
  #now = 0;
  #order = 0;
  #pending: PendingTimer[] = [];

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#now;
  }

  after(ms: number, run: () => void): Timer {
    const timer = { due: this.#now + ms, order: this.#order++, run };
    this.#pending.push(timer);
    return {
      close: () => {
        this.#pending = this.#pending.filter((p) => p !== timer);
      },
    };
  }

  /** Moves time on by `ms` milliseconds, running what falls due. */
  advance(ms: number): void {
    const end = this.#now + ms;
    for (let next = this.#take(end); next; next = this.#take(end)) {
      this.#now = next.due;
      next.run();
    }
    this.#now = end;
  }

  #take(end: number): PendingTimer | undefined {
    const due = this.#pending.filter((p) => p.due <= end)
      .sort((a, b) => a.due - b.due || a.order - b.order)[0];
    if (due) this.#pending = this.#pending.filter((p) => p !== due);
    return due;
  }
}

/** Resolves after `ms` milliseconds of `clock`. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}
