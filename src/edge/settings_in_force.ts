/**
 * Reports which settings are in force in logs and metrics.
 *
 * @module
 */
import type { LogFields, Metrics } from "../core/mod.ts";

/**
 * The digest of the settings in force.
 *
 * @example
 * ```ts
 * const inForce = new SettingsInForce(settings.digest, metrics);
 * inForce.replace(changed.digest);
 * ```
 */
export class SettingsInForce {
  readonly #metrics: Metrics;
  #digest: string;

  constructor(digest: string, metrics: Metrics) {
    this.#metrics = metrics;
    this.#digest = digest;
    this.#publish(1);
  }

  /** Fields that are added to every log line. */
  get fields(): LogFields {
    return { settings: this.#digest };
  }

  /** Replaces the settings in force. */
  replace(digest: string): void {
    this.#publish(0);
    this.#digest = digest;
    this.#publish(1);
  }

  #publish(value: number): void {
    this.#metrics.gauge("settings.in_force", value, { digest: this.#digest });
  }
}
