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
  #isReading = false;
  #mustReadAgain = false;

  /** @param text The settings that are in force. */
  constructor(text: string, opts: SettingsWatcherOptions<T>) {
    this.#currentText = text;
    this.#opts = opts;
    this.#schedulePoll();
  }

  /** Checks now; unreadable settings leave the previous ones in force. */
  async reload(): Promise<void> {
    // Of two reads at once the older text could be applied last.
    this.#mustReadAgain = this.#isReading;
    if (this.#isReading) return;
    this.#isReading = true;
    do {
      this.#mustReadAgain = false;
      await this.#readOnce();
    } while (this.#mustReadAgain);
    this.#isReading = false;
  }

  async #readOnce(): Promise<void> {
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

/**
 * Passes requests to reload the settings on, and keeps one that arrives before
 * there is a watcher: while the instance starts.
 *
 * @example
 * ```ts
 * const requests = new ReloadRequests();
 * process.on("SIGHUP", () => requests.request());
 * requests.attach(watcher);
 * ```
 */
export class ReloadRequests {
  #watcher: Pick<SettingsWatcher<unknown>, "reload"> | undefined;
  #isPending = false;

  request(): void {
    if (this.#watcher === undefined) this.#isPending = true;
    else void this.#watcher.reload();
  }

  /** Sets the watcher, which checks now if a request is pending. */
  attach(watcher: Pick<SettingsWatcher<unknown>, "reload">): void {
    this.#watcher = watcher;
    if (this.#isPending) void watcher.reload();
    this.#isPending = false;
  }
}
