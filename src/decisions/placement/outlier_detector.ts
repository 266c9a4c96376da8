/**
 * Ejects endpoints that fail or stop responding, by the outcomes of requests.
 *
 * Load: an endpoint fails part of its requests while its health check passes, or
 * disappears without notice. Without ejection every request of its affinity keys
 * fails until the registry notices, several seconds later.
 *
 * Probes are not used: they wait for a slot like a request, and pass at
 * endpoints that fail only part of their work.
 *
 * @module
 */
import type { EndpointId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";

/** The outcome of a request, as it counts for the endpoint's health. */
export type RequestOutcome = "good" | "failed" | "unreachable" | "shed";

/** Weight of a new result in the EWMA: about the last eight count. */
const EWMA_WEIGHT = 0.12;
/**
 * Failure rate above which an endpoint is ejected. Healthy endpoints fail
 * one in 250; three failures in a row, or a third of the last eight, are no
 * accident, while a single failure (0.12) is.
 */
const FAILURE_THRESHOLD = 0.3;
/** Duration of the first and of the longest ejection, in milliseconds. */
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;
/**
 * An endpoint without any response for this long, while requests are in flight
 * there, counts as unresponsive, in milliseconds. Most work takes less.
 */
const UNRESPONSIVE_AFTER_MS = 1_500;
/** Maximum ejected part of a service's endpoints. */
const MAX_EJECTED_SHARE = 0.5;

interface EndpointStats {
  failureRate: number;
  ejectedUntil: number;
  ejectionMs: number;
  /** When the oldest request without an answer was sent; undefined if none. */
  waitingSince: number | undefined;
}

/** Outlier detection of one instance. */
export class OutlierDetector {
  readonly #stats = new Map<EndpointId, EndpointStats>();

  /** Records that a request is being sent. */
  sent(row: EndpointRow, now: number): void {
    this.#statsOf(row.id).waitingSince ??= now;
  }

  /** Records that a request was not sent after all. */
  withheld(row: EndpointRow): void {
    if (row.inFlight === 0) this.#statsOf(row.id).waitingSince = undefined;
  }

  /** Records that a response began, whose outcome is not known yet. */
  responded(row: EndpointRow, now: number): void {
    this.#statsOf(row.id).waitingSince = row.inFlight > 0 ? now : undefined;
  }

  /** Records the outcome of a request. */
  record(row: EndpointRow, outcome: RequestOutcome, now: number): void {
    if (outcome === "unreachable") {
      return this.#eject(this.#statsOf(row.id), now);
    }
    this.responded(row, now);
    // It is alive and full. Ejected, all its affinity keys would be cache misses
    // elsewhere.
    if (outcome === "shed") return;
    this.recordStream(row, outcome, now);
  }

  /** Records the outcome of a response that had begun before. */
  recordStream(
    row: EndpointRow,
    outcome: "good" | "failed",
    now: number,
  ): void {
    const stats = this.#statsOf(row.id);
    const sample = outcome === "good" ? 0 : 1;
    stats.failureRate += (sample - stats.failureRate) * EWMA_WEIGHT;
    if (stats.failureRate > FAILURE_THRESHOLD) this.#eject(stats, now);
    else if (outcome === "good") stats.ejectionMs = BASE_EJECTION_MS;
  }

  /**
   * Whether so many of a service's endpoints are ejected that ejections are
   * ignored: the fault is more likely in this instance or in the requests, and
   * the remaining endpoints could not take the load.
   */
  ejectionLimitReached(rows: readonly EndpointRow[], now: number): boolean {
    let ejected = 0;
    for (const row of rows) if (this.isEjected(row, now)) ejected++;
    return ejected > rows.length * MAX_EJECTED_SHARE;
  }

  isEjected(row: EndpointRow, now: number): boolean {
    const stats = this.#stats.get(row.id);
    if (stats === undefined) return false;
    if (now < stats.ejectedUntil) return true;
    return stats.waitingSince !== undefined &&
      now - stats.waitingSince > UNRESPONSIVE_AFTER_MS && row.inFlight > 0;
  }

  /** Forgets all outcomes, which were not the endpoints' fault. */
  reset(): void {
    this.#stats.clear();
  }

  forget(id: EndpointId): void {
    this.#stats.delete(id);
  }

  /** Ejects for twice as long each time, and resets the failure rate. */
  #eject(stats: EndpointStats, now: number): void {
    if (now < stats.ejectedUntil) return;
    stats.ejectedUntil = now + stats.ejectionMs;
    stats.ejectionMs = Math.min(MAX_EJECTION_MS, stats.ejectionMs * 2);
    stats.failureRate = 0;
  }

  #statsOf(id: EndpointId): EndpointStats {
    const known = this.#stats.get(id);
    if (known !== undefined) return known;
    const fresh: EndpointStats = {
      failureRate: 0,
      ejectedUntil: -Infinity,
      ejectionMs: BASE_EJECTION_MS,
      waitingSince: undefined,
    };
    this.#stats.set(id, fresh);
    return fresh;
  }
}
