/**
 * Structured logs: one line per event, stable field names, never an API key.
 *
 * @module
 */
import debug from "debug";

/** Fields of a log event. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Receives log events. */
export interface Log {
  event(name: string, fields?: LogFields): void;
  /** A log for one component, under a nested namespace. */
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

/** Discards every event; for tests that do not check logs. */
export class SilentLog implements Log {
  event(): void {}

  child(): Log {
    return this;
  }
}
