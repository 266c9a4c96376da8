/**
 * One time line for many processes, each with a clock of its own that drifts
 * and goes on while the process is paused.
 *
 * @module
 */
import { setImmediate } from "node:timers/promises";
import type { Clock, Timer } from "../../core/mod.ts";

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Events in order of time; promises settle between two of them. */
export class VirtualTime {
  #now = 0;
  #order = 0;
  readonly #heap: Event[] = [];

  get now(): number {
    return this.#now;
  }

  /** Runs something `ms` milliseconds from now. */
  after(ms: number, run: () => void): Timer {
    const at = this.#now + Math.max(0, ms);
    const event = { at, order: this.#order++, run, cancelled: false };
    push(this.#heap, event);
    return { close: () => event.cancelled = true };
  }

  /** Runs all events up to `ms` from now; `each` looks after every one. */
  async advance(ms: number, each: () => void = () => {}): Promise<void> {
    const end = this.#now + ms;
    await setImmediate();
    for (let e = this.#heap[0]; e && e.at <= end; e = this.#heap[0]) {
      pop(this.#heap);
      if (e.cancelled) continue;
      this.#now = e.at;
      e.run();
      await setImmediate();
      each();
    }
    this.#now = end;
  }
}

/** The clock of one process. */
export class ProcessClock implements Clock {
  readonly #time: VirtualTime;
  readonly #speed: number;
  readonly #offset: number;
  /** Until when, in virtual time, the process stands still. */
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

  /** Runs now, or as soon as the process goes on; never in a dead one. */
  whenRunning(run: () => void): void {
    if (this.dead) return;
    if (!this.paused) return run();
    const left = this.pausedUntil - this.#time.now;
    this.#time.after(left, () => this.whenRunning(run));
  }
}

function before(a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function push(heap: Event[], event: Event): void {
  heap.push(event);
  let i = heap.length - 1;
  while (i > 0) {
    const parent = (i - 1) >> 1;
    if (!before(heap[i]!, heap[parent]!)) return;
    swap(heap, i, parent);
    i = parent;
  }
}

function pop(heap: Event[]): void {
  swap(heap, 0, heap.length - 1);
  heap.pop();
  for (let i = 0;;) {
    let least = i;
    for (const child of [2 * i + 1, 2 * i + 2]) {
      if (child < heap.length && before(heap[child]!, heap[least]!)) {
        least = child;
      }
    }
    if (least === i) return;
    swap(heap, i, least);
    i = least;
  }
}

function swap(heap: Event[], i: number, j: number): void {
  [heap[i], heap[j]] = [heap[j]!, heap[i]!];
}
