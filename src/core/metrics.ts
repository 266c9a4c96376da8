/**
 * Metrics interface, kept in memory by tests and sent over StatsD by daemons.
 *
 * @module
 */
import { StatsD as StatsdClient } from "hot-shots";
import type { ClientOptions, StatsD } from "hot-shots";

/** Labels of a metric. */
export type Tags = Readonly<Record<string, string>>;

/** Receives metrics; names and units are listed in docs/METRICS.md. */
export interface Metrics {
  count(name: string, tags?: Tags, by?: number): void;
  gauge(name: string, value: number, tags?: Tags): void;
  /** A duration in milliseconds. */
  timing(name: string, ms: number, tags?: Tags): void;
  close(): Promise<void>;
}

/** Aggregates metrics in memory; for tests and in-process reports. */
export class MemoryMetrics implements Metrics {
  readonly counts: Map<string, number> = new Map();
  readonly gauges: Map<string, number> = new Map();

  count(name: string, _tags: Tags = {}, by = 1): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + by);
  }

  gauge(name: string, value: number): void {
    this.gauges.set(name, value);
  }

  timing(name: string): void {
    this.count(`${name}.samples`);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Sends metrics to a StatsD server over UDP. */
export class StatsdMetrics implements Metrics {
  readonly #client: StatsD;

  constructor(opts: Pick<ClientOptions, "host" | "port" | "globalTags">) {
    this.#client = new StatsdClient({
      ...opts,
      prefix: "magnoliahook.",
      errorHandler: () => {},
    });
  }

  count(name: string, tags: Tags = {}, by = 1): void {
    this.#client.increment(name, by, { ...tags });
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    this.#client.gauge(name, value, { ...tags });
  }

  timing(name: string, ms: number, tags: Tags = {}): void {
    this.#client.timing(name, ms, { ...tags });
  }

  close(): Promise<void> {
    return new Promise((resolve) => this.#client.close(() => resolve()));
  }
}
