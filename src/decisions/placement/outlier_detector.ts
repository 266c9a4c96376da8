/**
 * Ejects endpoints that fail or stay silent, by the outcomes of requests.
 *
 * The load it answers: an endpoint that fails part of its requests while its
 * health check is good, or that went dark without a word. Its own objects go to
 * it again and again, so a caller of such an object sees nothing but failures
 * until the registry notices, which takes several seconds. Requests tell it
 * within a few answers, at no cost.
 *
 * Probes are not used: they wait for a slot like a request, and lie about
 * endpoints that fail only part of their work.
 *
 * @module
 */
import type { EndpointId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";

/** What one request says of its endpoint. */
export type Evidence = "good" | "failed" | "unreachable" | "shed";

/** Part of a new result in the moving mean: about the last eight count. */
const SAMPLE_PART = 0.12;
/**
 * Above this mean of failures an endpoint is set aside. Sound endpoints fail
 * one in 250; three failures in a row, or a third of the last eight, are no
 * accident, while a single failure (0.12) is.
 */
const FAILING = 0.3;
/** How long it is set aside at first and at most, in milliseconds. */
const FIRST_ASIDE_MS = 1_000;
const MOST_ASIDE_MS = 8_000;
/**
 * The longest that a request may be out with no sign of life from its endpoint
 * before the endpoint counts as silent, in milliseconds. Most work takes less.
 */
const SILENT_MS = 1_500;
/** Part of a service's endpoints that may be set aside. */
const MOST_ASIDE_PART = 0.5;

interface Verdict {
  failing: number;
  asideUntil: number;
  asideMs: number;
  /** When the oldest request without an answer was sent; undefined if none. */
  waitingSince: number | undefined;
}

/** Verdicts of one instance. */
export class OutlierDetector {
  readonly #verdicts = new Map<EndpointId, Verdict>();

  /** Notes that a request goes out. */
  sent(row: EndpointRow, now: number): void {
    this.#of(row.id).waitingSince ??= now;
  }

  /** Records the outcome of a request. */
  heard(row: EndpointRow, evidence: Evidence, now: number): void {
    const verdict = this.#of(row.id);
    if (evidence !== "unreachable") {
      verdict.waitingSince = row.inFlight > 0 ? now : undefined;
    }
    if (evidence === "unreachable") return this.#setAside(verdict, now);
    // It is full, or says so: it lives, and another may take what it shed. Set
    // aside, all its objects would be visited anew elsewhere.
    if (evidence === "shed") return;
    const sample = evidence === "good" ? 0 : 1;
    verdict.failing += (sample - verdict.failing) * SAMPLE_PART;
    if (verdict.failing > FAILING) this.#setAside(verdict, now);
    else if (evidence === "good") verdict.asideMs = FIRST_ASIDE_MS;
  }

  /**
   * Whether so many of a service's endpoints are set aside that all are used:
   * the fault is likelier here or in the requests, and the rest could not take
   * the load.
   */
  ejectionLimitReached(rows: readonly EndpointRow[], now: number): boolean {
    let aside = 0;
    for (const row of rows) if (this.isEjected(row, now)) aside++;
    return aside > rows.length * MOST_ASIDE_PART;
  }

  isEjected(row: EndpointRow, now: number): boolean {
    const verdict = this.#verdicts.get(row.id);
    if (verdict === undefined) return false;
    if (now < verdict.asideUntil) return true;
    return verdict.waitingSince !== undefined &&
      now - verdict.waitingSince > SILENT_MS && row.inFlight > 0;
  }

  forget(id: EndpointId): void {
    this.#verdicts.delete(id);
  }

  /** Sets aside for twice as long each time, and forgets what led to it. */
  #setAside(verdict: Verdict, now: number): void {
    if (now < verdict.asideUntil) return;
    verdict.asideUntil = now + verdict.asideMs;
    verdict.asideMs = Math.min(MOST_ASIDE_MS, verdict.asideMs * 2);
    verdict.failing = 0;
  }

  #of(id: EndpointId): Verdict {
    const known = this.#verdicts.get(id);
    if (known !== undefined) return known;
    const fresh: Verdict = {
      failing: 0,
      asideUntil: -Infinity,
      asideMs: FIRST_ASIDE_MS,
      waitingSince: undefined,
    };
    this.#verdicts.set(id, fresh);
    return fresh;
  }
}
