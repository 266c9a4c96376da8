/**
 * Metrics as text, for whoever fetches them.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { METRIC_TABLE, type Metrics, type Tags } from "../core/mod.ts";

/**
 * Upper bounds of the latency histograms, in milliseconds: from a refusal on
 * the spot to a client's timeout.
 */
const LATENCY_BOUNDS_MS = [
  1,
  5,
  10,
  25,
  50,
  100,
  150,
  200,
  250,
  300,
  400,
  500,
  600,
  800,
  1_000,
  1_500,
  2_500,
  4_000,
  6_000,
];
/** Series a metric may have; further ones are counted under "other". */
const MOST_SERIES = 200;

type Labels = Record<string, string>;
const NO_LABELS: readonly string[] = [];

/** Keeps metrics in memory and writes them as text. */
export class TextMetrics implements Metrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #series = new Map<string, Map<string, Labels>>();

  count(name: string, tags: Tags = {}, by = 1): void {
    const counter = known(
      this.#counters,
      name,
      () => new Counter(this.#describe(name)),
    );
    counter.inc(this.#bounded(name, tags), by);
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    const gauge = known(
      this.#gauges,
      name,
      () => new Gauge(this.#describe(name)),
    );
    gauge.set(this.#bounded(name, tags), value);
  }

  timing(name: string, ms: number, tags: Tags = {}): void {
    const histogram = known(
      this.#histograms,
      name,
      () =>
        new Histogram({ ...this.#describe(name), buckets: LATENCY_BOUNDS_MS }),
    );
    histogram.observe(this.#bounded(name, tags), ms);
  }

  /** All metrics as text. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  get contentType(): string {
    return this.#registry.contentType;
  }

  close(): Promise<void> {
    this.#registry.clear();
    return Promise.resolve();
  }

  #describe(name: string) {
    const entry = METRIC_TABLE[name];
    return {
      name: `magnoliahook_${name.replaceAll(".", "_")}`,
      help: entry?.help ?? name,
      labelNames: [...entry?.tags ?? []],
      registers: [this.#registry],
    };
  }

  /** Labels of a series, or "other" once a metric has too many. */
  #bounded(name: string, tags: Tags): Labels {
    const labels = METRIC_TABLE[name]?.tags ?? NO_LABELS;
    let key = "";
    for (const label of labels) key += `${tags[label] ?? ""} `;
    const series = known(this.#series, name, () => new Map<string, Labels>());
    const found = series.get(key);
    if (found !== undefined) return found;
    const kept = series.size < MOST_SERIES;
    const made = Object.fromEntries(
      labels.map((label) => [label, kept ? tags[label] ?? "" : "other"]),
    );
    if (kept) series.set(key, made);
    return made;
  }
}

function known<T>(map: Map<string, T>, name: string, make: () => T): T {
  const found = map.get(name);
  if (found !== undefined) return found;
  const made = make();
  map.set(name, made);
  return made;
}
