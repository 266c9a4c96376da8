/**
 * Virtual time for many simulated processes, each with its own clock that
 * drifts and keeps running while the process is paused.
 *
 * @module
 */
import { setImmediate } from "node:timers/promises";
import type { Clock, Timer } from "../../core/mod.ts";

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Runs events in order of time; promises settle between events. */
export class VirtualTime {
  #now = 0;
  #order = 0;
  readonly #heap: ScheduledEvent[] = [];

  get now(): number {
    return this.#now;
  }

  /** Schedules `run` in `ms` milliseconds. */
  after(ms: number, run: () => void): Timer {
    const at = this.#now + Math.max(0, ms);
    const event = { at, order: this.#order++, run, cancelled: false };
    push(this.#heap, event);
    return { close: () => event.cancelled = true };
  }

  /** Runs all events of the next `ms` milliseconds, and `afterEach` after each. */
  async advance(ms: number, afterEach: () => void = () => {}): Promise<void> {
    const end = this.#now + ms;
    await setImmediate();
    for (let e = this.#heap[0]; e && e.at <= end; e = this.#heap[0]) {
      pop(this.#heap);
      if (e.cancelled) continue;
      this.#now = e.at;
      e.run();
      await setImmediate();
      afterEach();
    }
    this.#now = end;
  }
}

/** The clock of one process. */
export class ProcessClock implements Clock {
  readonly #time: VirtualTime;
  readonly #speed: number;
  readonly #offset: number;
  /** End of the process's pause, in virtual time. */
  pausedUntil = 0;
  dead = false;

  constructor(time: VirtualTime, { speed = 1, offset = 0 }: {
    speed?: number;
    offset?: number;
  } = {}) {
    this.#time = time;
    this.#speed = speed;
    this.#offset = offset - time.now * speed;
  }

  get paused(): boolean {
    return this.#time.now < this.pausedUntil;
  }

  now(): number {
    return this.#offset + this.#time.now * this.#speed;
  }

  wall(): number {
    return this.now();
  }

  after(ms: number, run: () => void): Timer {
    return this.#time.after(ms / this.#speed, () => this.whenRunning(run));
  }

  /** Runs now, or when the process resumes; never in a dead process. */
  whenRunning(run: () => void): void {
    if (this.dead) return;
    if (!this.paused) return run();
    const left = this.pausedUntil - this.#time.now;
    this.#time.after(left, () => this.whenRunning(run));
  }
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function push(heap: ScheduledEvent[], event: ScheduledEvent): void {
  heap.push(event);
  let i = heap.length - 1;
  while (i > 0) {
    const parent = (i - 1) >> 1;
    if (!isBefore(heap[i]!, heap[parent]!)) return;
    swap(heap, i, parent);
    i = parent;
  }
}

function pop(heap: ScheduledEvent[]): void {
  swap(heap, 0, heap.length - 1);
  heap.pop();
  for (let i = 0;;) {
    let least = i;
    for (const child of [2 * i + 1, 2 * i + 2]) {
      if (child < heap.length && isBefore(heap[child]!, heap[least]!)) {
        least = child;
      }
    }
    if (least === i) return;
    swap(heap, i, least);
    i = least;
  }
}

function swap(heap: ScheduledEvent[], i: number, j: number): void {
  [heap[i], heap[j]] = [heap[j]!, heap[i]!];
}
