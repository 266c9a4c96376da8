/**
 * Reloads the settings when they change.
 *
 * The file may be replaced without a signal, so it is polled as well.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Clock, Failure, Log, Timer } from "../core/mod.ts";

/** Poll interval in the absence of a signal, in milliseconds. */
const POLL_INTERVAL_MS = 5_000;

/** Dependencies of a settings watcher. */
export interface SettingsWatcherOptions<T> {
  /** Reads the settings as text. */
  readonly read: () => Promise<Result<string, Failure>>;
  readonly parse: (text: string) => Result<T, Failure>;
  /** Called with settings that differ from the previous ones. */
  readonly onChange: (settings: T) => void;
  readonly clock: Clock;
  readonly log: Log;
}

/** Polls the settings until closed. */
export class SettingsWatcher<T> {
  readonly #opts: SettingsWatcherOptions<T>;
  #currentText: string;
  #timer: Timer | undefined;

  /** @param text The settings that are in force. */
  constructor(text: string, opts: SettingsWatcherOptions<T>) {
    this.#currentText = text;
    this.#opts = opts;
    this.#schedulePoll();
  }

  /** Checks now; unreadable settings leave the previous ones in force. */
  async reload(): Promise<void> {
    const { read, parse, onChange, log } = this.#opts;
    const text = await read();
    if (text.isOk() && text.value === this.#currentText) return;
    const settings = text.andThen(parse);
    if (settings.isErr()) {
      log.event("settings_unreadable", { reason: settings.error.message });
      return;
    }
    if (text.isOk()) this.#currentText = text.value;
    onChange(settings.value);
  }

  close(): void {
    this.#timer?.close();
  }

  #schedulePoll(): void {
    this.#timer = this.#opts.clock.after(POLL_INTERVAL_MS, () => {
      this.#schedulePoll();
      void this.reload();
    });
  }
}
