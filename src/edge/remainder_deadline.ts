/**
 * A deadline for the part of a response that is streamed.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { BodyRemainder, BodySink } from "./endpoint_sender.ts";

/** What the sink gets as the reason. */
const DEADLINE_PASSED = "deadline";
/** Part of the time spent waiting for the caller that makes it the cause. */
const MAX_UNREAD_SHARE = 0.5;

/** How the streamed part of a response ended, unless it was cancelled. */
export type StreamEnd =
  | "complete"
  /** The endpoint truncated it. */
  | "failed"
  /** The deadline passed before the endpoint had sent all. */
  | "late"
  /** The deadline passed while the caller did not read, or read slowly. */
  | "unread";

/** Options of a deadline. */
export interface DeadlineOptions {
  readonly leftMs: number;
  readonly clock: Clock;
  /** Called once, unless the remainder is cancelled. */
  readonly onEnd: (end: StreamEnd) => void;
}

/**
 * A remainder that fails once its deadline has passed, also while the endpoint
 * sends nothing or the caller does not read: both would otherwise keep a
 * connection and a slot of the endpoint without limit.
 *
 * @example
 * ```ts
 * withDeadline(remainder, { leftMs: 900, clock, onEnd: (end) => count(end) });
 * ```
 */
export function withDeadline(
  remainder: BodyRemainder,
  opts: DeadlineOptions,
): BodyRemainder {
  return new LimitedRemainder(remainder, opts);
}

class LimitedRemainder implements BodyRemainder {
  readonly #remainder: BodyRemainder;
  readonly #opts: DeadlineOptions;
  readonly #timer: { close(): void };
  #sink: BodySink | undefined;
  #isOver = false;
  #isExpired = false;
  /** Since when the caller has been waited for; undefined if it reads. */
  #unreadSince: number | undefined;
  #unreadMs = 0;

  constructor(remainder: BodyRemainder, opts: DeadlineOptions) {
    this.#remainder = remainder;
    this.#opts = opts;
    const { clock, leftMs } = opts;
    this.#unreadSince = clock.now();
    this.#timer = clock.after(Math.max(0, leftMs), () => this.#expire());
  }

  pipe(sink: BodySink): void {
    this.#sink = sink;
    if (this.#isExpired) return sink.fail(DEADLINE_PASSED);
    this.#callerReads();
    this.#remainder.pipe({
      data: (chunk) => {
        if (this.#isExpired) return true;
        const goesOn = sink.data(chunk);
        if (!goesOn) this.#unreadSince ??= this.#opts.clock.now();
        return goesOn;
      },
      end: () => {
        if (this.#end("complete")) sink.end();
      },
      fail: (reason) => {
        if (this.#end("failed")) sink.fail(reason);
      },
    });
  }

  resume(): void {
    this.#callerReads();
    this.#remainder.resume();
  }

  cancel(): void {
    this.#isOver = true;
    this.#timer.close();
    this.#remainder.cancel();
  }

  #expire(): void {
    this.#isExpired = true;
    this.#callerReads();
    const isUnread = this.#unreadMs > this.#opts.leftMs * MAX_UNREAD_SHARE;
    this.#end(isUnread ? "unread" : "late");
    this.#remainder.cancel();
    this.#sink?.fail(DEADLINE_PASSED);
  }

  /** Ends the wait for the caller, if it was waited for. */
  #callerReads(): void {
    if (this.#unreadSince === undefined) return;
    this.#unreadMs += this.#opts.clock.now() - this.#unreadSince;
    this.#unreadSince = undefined;
  }

  /** Reports the end; returns false if the remainder had ended before. */
  #end(end: StreamEnd): boolean {
    if (this.#isOver) return false;
    this.#isOver = true;
    this.#timer.close();
    this.#opts.onEnd(end);
    return true;
  }
}
