/**
 * Logs as JSON lines on standard output.
 *
 * Logging never blocks: lines are buffered, and dropped if the reader is slow.
 * Lines over the rate limit are dropped too; one line reports how many.
 *
 * @module
 */
import pino, { type Logger } from "pino";
import type { Clock, Log, LogFields, Timer } from "../core/mod.ts";

/** Destination of formatted lines. */
export interface LineSink {
  write(line: string): void;
}

/**
 * Maximum lines per second of an instance. A line takes about ten microseconds:
 * 200 take 0.2% of a core and some 60 kB a second.
 */
export const MAX_LINES_PER_S = 200;
/** Buffer size beyond which lines are dropped, in bytes. */
const MAX_BUFFER_BYTES = 1_048_576;
/** Minimum size of a batched write, in bytes. */
const MIN_WRITE_BYTES = 4_096;
/** Window of the rate limit, in milliseconds. */
const RATE_WINDOW_MS = 1_000;
/** `process.stdout` would create another stream, which slows the start. */
const STDOUT_FD = 1;
/** Interval at which buffered lines are flushed, in milliseconds. */
const FLUSH_MS = 1_000;
/** Maximum length of a value, in characters; values come from callers. */
const MAX_VALUE_CHARS = 200;

/** Line counts of the current window, shared by a log and its children. */
interface LineCounts {
  written: number;
  omitted: number;
}

export class JsonLog implements Log {
  readonly #logger: Logger;
  readonly #counts: LineCounts;

  private constructor(logger: Logger, counts: LineCounts) {
    this.#logger = logger;
    this.#counts = counts;
  }

  /**
   * @param dynamicFields Returns the fields of each line that change at run time.
   *
   * @example
   * ```ts
   * const log = JsonLog.to(stdoutSink(), { instance: "i1" }, clock);
   * ```
   */
  static to(
    sink: LineSink,
    base: LogFields,
    clock: Clock,
    dynamicFields: () => LogFields = () => ({}),
  ): JsonLog {
    const logger = pino({
      base,
      mixin: () => ({ ...dynamicFields() }),
      timestamp: () => `,"time":${Math.round(clock.wall())}`,
      formatters: { level: (label) => ({ level: label }) },
      messageKey: "event",
    }, sink);
    return new JsonLog(logger, { written: 0, omitted: 0 });
  }

  event(name: string, fields: LogFields = {}): void {
    const counts = this.#counts;
    if (counts.written >= MAX_LINES_PER_S) {
      counts.omitted++;
      return;
    }
    counts.written++;
    this.#logger.info(truncateFields(fields), name);
  }

  child(namespace: string): JsonLog {
    const part = this.#logger.child({ part: namespace });
    return new JsonLog(part, this.#counts);
  }

  /** Starts a new window, and logs how many lines the last one dropped. */
  tick(): void {
    const { omitted } = this.#counts;
    this.#counts.written = 0;
    this.#counts.omitted = 0;
    if (omitted > 0) this.event("lines_left_out", { lines: omitted });
  }
}

/** Calls a log's `tick` every second until closed. */
export function tickLog(log: JsonLog, clock: Clock): Timer {
  let timer: Timer;
  const schedule = () => {
    timer = clock.after(RATE_WINDOW_MS, () => {
      log.tick();
      schedule();
    });
  };
  schedule();
  return { close: () => timer.close() };
}

/** Non-blocking standard output; drops lines when its buffer is full. */
export function stdoutSink(): LineSink & { flush(): void } {
  const out = pino.destination({
    fd: STDOUT_FD,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFER_BYTES,
    periodicFlush: FLUSH_MS,
  });
  return {
    write: (line) => void out.write(line),
    flush: () => out.flushSync(),
  };
}

/** Truncates long values: they come from callers and could fill a line. */
function truncateFields(fields: LogFields): LogFields {
  for (const value of Object.values(fields)) {
    if (typeof value === "string" && value.length > MAX_VALUE_CHARS) {
      return Object.fromEntries(
        Object.entries(fields).map(([name, v]) => [name, truncateValue(v)]),
      );
    }
  }
  return fields;
}

function truncateValue(value: LogFields[string]): LogFields[string] {
  return typeof value === "string" ? value.slice(0, MAX_VALUE_CHARS) : value;
}
