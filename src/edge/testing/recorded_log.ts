/**
 * A log that keeps its events, for tests.
 *
 * @module
 */
import type { Log, LogFields } from "../../core/mod.ts";

/** Keeps each event as its name and fields. */
export class RecordedLog implements Log {
  readonly events: { readonly name: string; readonly fields: LogFields }[] = [];

  event(name: string, fields: LogFields = {}): void {
    this.events.push({ name, fields });
  }

  child(): Log {
    return this;
  }

  /** The fields of each event with a name. */
  of(name: string): LogFields[] {
    return this.events.filter((e) => e.name === name).map((e) => e.fields);
  }
}
