/**
 * Logs: one line an event, with stable field names. Keys never go in.
 *
 * @module
 */
import debug from "debug";

/** Values a log line may hold. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Receives events. */
export interface Log {
  event(name: string, fields?: LogFields): void;
  /** A log for a part of the program, under its own namespace. */
  child(namespace: string): Log;
}

/** Writes through `debug`, so that `DEBUG=magnoliahook:*` shows events. */
export class DebugLog implements Log {
  readonly #namespace: string;
  readonly #write: debug.Debugger;

  constructor(namespace = "magnoliahook") {
    this.#namespace = namespace;
    this.#write = debug(namespace);
  }

  event(name: string, fields: LogFields = {}): void {
    if (!this.#write.enabled) return;
    this.#write("%s %s", name, JSON.stringify(fields));
  }

  child(namespace: string): Log {
    return new DebugLog(`${this.#namespace}:${namespace}`);
  }
}

/** Drops every event; for tests that look elsewhere. */
export class SilentLog implements Log {
  event(): void {}

  child(): Log {
    return this;
  }
}
