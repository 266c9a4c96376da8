/**
 * Logs as JSON lines on standard output.
 *
 * Nothing waits for a line: lines are buffered, and dropped where the reader is
 * slow. Under load only so many lines a second are written; how many were left
 * out is said in a line of its own.
 *
 * @module
 */
import pino, { type Logger } from "pino";
import type { Clock, Log, LogFields, Timer } from "../core/mod.ts";

/** Where finished lines go. */
export interface LineSink {
  write(line: string): void;
}

/**
 * Lines a second that an instance writes at most. A line takes about ten
 * microseconds: 200 take 0.2% of a core and some 60 kB a second.
 */
export const MOST_LINES_PER_S = 200;
/** How much waits for a slow reader before lines are dropped, in bytes. */
const BUFFER_BYTES = 1_048_576;
/** Lines are written together once there are so many bytes. */
const WRITE_BYTES = 4_096;
/** The second over which lines are counted, in milliseconds. */
const COUNTED_MS = 1_000;
/** `process.stdout` would open a stream of its own, which a start pays for. */
const STDOUT_FD = 1;
/** How often what is buffered is written, in milliseconds. */
const FLUSH_MS = 1_000;
/** Longer values are cut, in characters: they come from callers. */
const MOST_VALUE = 200;

/** Counts that are shared by a log and its children. */
interface Volume {
  written: number;
  leftOut: number;
}

/** A log that writes JSON lines. */
export class JsonLog implements Log {
  readonly #logger: Logger;
  readonly #volume: Volume;

  private constructor(logger: Logger, volume: Volume) {
    this.#logger = logger;
    this.#volume = volume;
  }

  /**
   * @param inForce Fields of every line that change while the process runs.
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
    inForce: () => LogFields = () => ({}),
  ): JsonLog {
    const logger = pino({
      base,
      mixin: () => ({ ...inForce() }),
      timestamp: () => `,"time":${Math.round(clock.wall())}`,
      formatters: { level: (label) => ({ level: label }) },
      messageKey: "event",
    }, sink);
    return new JsonLog(logger, { written: 0, leftOut: 0 });
  }

  event(name: string, fields: LogFields = {}): void {
    const volume = this.#volume;
    if (volume.written >= MOST_LINES_PER_S) {
      volume.leftOut++;
      return;
    }
    volume.written++;
    this.#logger.info(cut(fields), name);
  }

  child(namespace: string): JsonLog {
    const part = this.#logger.child({ part: namespace });
    return new JsonLog(part, this.#volume);
  }

  /** Begins a new second, and says what the last one left out. */
  tick(): void {
    const { leftOut } = this.#volume;
    this.#volume.written = 0;
    this.#volume.leftOut = 0;
    if (leftOut > 0) this.event("lines_left_out", { lines: leftOut });
  }
}

/** Runs a log's `tick` each second until closed. */
export function tickLog(log: JsonLog, clock: Clock): Timer {
  let timer: Timer;
  const next = () => {
    timer = clock.after(COUNTED_MS, () => {
      log.tick();
      next();
    });
  };
  next();
  return { close: () => timer.close() };
}

/** Standard output, written without waiting and dropped when it is full. */
export function stdoutSink(): LineSink & { flush(): void } {
  const out = pino.destination({
    fd: STDOUT_FD,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: BUFFER_BYTES,
    periodicFlush: FLUSH_MS,
  });
  return {
    write: (line) => void out.write(line),
    flush: () => out.flushSync(),
  };
}

/** Cuts long values; they come from callers and could fill a line. */
function cut(fields: LogFields): LogFields {
  for (const value of Object.values(fields)) {
    if (typeof value === "string" && value.length > MOST_VALUE) {
      return Object.fromEntries(
        Object.entries(fields).map(([name, v]) => [name, shortened(v)]),
      );
    }
  }
  return fields;
}

function shortened(value: LogFields[string]): LogFields[string] {
  return typeof value === "string" ? value.slice(0, MOST_VALUE) : value;
}
