/**
 * Notices that the settings have changed.
 *
 * A signal says so, but not always: the file may be replaced without one, so it
 * is looked at now and then as well.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Clock, Failure, Log, Timer } from "../core/mod.ts";

/** How often the settings are looked at without a signal, in milliseconds. */
const LOOK_EVERY_MS = 5_000;

/** What a watch works with. */
export interface SettingsWatchOptions<T> {
  /** The settings as text. */
  readonly read: () => Promise<Result<string, Failure>>;
  readonly parse: (text: string) => Result<T, Failure>;
  /** Told of settings that differ from the ones before. */
  readonly changed: (settings: T) => void;
  readonly clock: Clock;
  readonly log: Log;
}

/** Looks at the settings until closed. */
export class SettingsWatch<T> {
  readonly #opts: SettingsWatchOptions<T>;
  #text: string;
  #timer: Timer | undefined;

  /** @param text The settings that are in force. */
  constructor(text: string, opts: SettingsWatchOptions<T>) {
    this.#text = text;
    this.#opts = opts;
    this.#schedule();
  }

  /** Looks now; settings that cannot be read leave the last ones in force. */
  async look(): Promise<void> {
    const { read, parse, changed, log } = this.#opts;
    const text = await read();
    if (text.isOk() && text.value === this.#text) return;
    const settings = text.andThen(parse);
    if (settings.isErr()) {
      log.event("settings_unreadable", { reason: settings.error.message });
      return;
    }
    if (text.isOk()) this.#text = text.value;
    changed(settings.value);
  }

  close(): void {
    this.#timer?.close();
  }

  #schedule(): void {
    this.#timer = this.#opts.clock.after(LOOK_EVERY_MS, () => {
      this.#schedule();
      void this.look();
    });
  }
}
