/**
 * Metrics in the Prometheus text format, for scraping.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { METRIC_TABLE, type Metrics, type Tags } from "../core/mod.ts";

/**
 * Upper bounds of the latency histograms, in milliseconds: from an
 * immediate rejection to a client's timeout.
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
/** Maximum series of a metric; further ones are counted under "other". */
const MAX_SERIES = 200;

type Labels = Record<string, string>;
const NO_LABELS: readonly string[] = [];

/** Holds metrics in memory and renders them as text. */
export class TextMetrics implements Metrics {
  readonly #registry = new Registry();
  readonly #counters = new Map<string, Counter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, Histogram>();
  readonly #series = new Map<string, Map<string, Labels>>();

  count(name: string, tags: Tags = {}, by = 1): void {
    const counter = getOrCreate(
      this.#counters,
      name,
      () => new Counter(this.#describe(name)),
    );
    counter.inc(this.#limitedLabels(name, tags), by);
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    const gauge = getOrCreate(
      this.#gauges,
      name,
      () => new Gauge(this.#describe(name)),
    );
    gauge.set(this.#limitedLabels(name, tags), value);
  }

  timing(name: string, ms: number, tags: Tags = {}): void {
    const histogram = getOrCreate(
      this.#histograms,
      name,
      () =>
        new Histogram({ ...this.#describe(name), buckets: LATENCY_BOUNDS_MS }),
    );
    histogram.observe(this.#limitedLabels(name, tags), ms);
  }

  /** Renders all metrics. */
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

  /** Labels of a series; each is "other" once the metric has too many series. */
  #limitedLabels(name: string, tags: Tags): Labels {
    const labels = METRIC_TABLE[name]?.tags ?? NO_LABELS;
    let key = "";
    for (const label of labels) key += `${tags[label] ?? ""} `;
    const series = getOrCreate(
      this.#series,
      name,
      () => new Map<string, Labels>(),
    );
    const found = series.get(key);
    if (found !== undefined) return found;
    const withinLimit = series.size < MAX_SERIES;
    const created = Object.fromEntries(
      labels.map((label) => [label, withinLimit ? tags[label] ?? "" : "other"]),
    );
    if (withinLimit) series.set(key, created);
    return created;
  }
}

function getOrCreate<T>(map: Map<string, T>, name: string, make: () => T): T {
  const found = map.get(name);
  if (found !== undefined) return found;
  const created = make();
  map.set(name, created);
  return created;
}
