/**
 * An injectable clock: tests advance it, and process pauses can be detected.
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
  /** Monotonic time in milliseconds; leases are checked against it. */
  now(): number;
  /** Milliseconds since the Unix epoch, for display and logs only. */
  wall(): number;
  /** Calls `run` once after `ms` milliseconds. */
  after(ms: number, run: () => void): Timer;
}

/** The system clock. */
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
 * A clock that only moves when advanced; timers run in order of due time.
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

  /** Advances time by `ms` milliseconds and runs the timers that become due. */
  advance(ms: number): void {
    const end = this.#now + ms;
    for (let next = this.#takeDue(end); next; next = this.#takeDue(end)) {
      this.#now = next.due;
      next.run();
    }
    this.#now = end;
  }

  #takeDue(end: number): PendingTimer | undefined {
    const due = this.#pending.filter((p) => p.due <= end)
      .sort((a, b) => a.due - b.due || a.order - b.order)[0];
    if (due) this.#pending = this.#pending.filter((p) => p !== due);
    return due;
  }
}

/** Resolves after `ms` milliseconds on `clock`. */
export function sleep(clock: Clock, ms: number): Promise<void> {
  return new Promise((resolve) => clock.after(ms, resolve));
}
