/**
 * How far the document's drains are.
 *
 * Answers operators who wait to stop something. Without a figure they stop it
 * too early and cut requests, or wait far too long; so each instance says what
 * it still has running there and how long its part of the drain took.
 *
 * @module
 */
import type { Metrics } from "../../core/mod.ts";
import type { DrainEntry, SteeringDocument } from "../../document/mod.ts";

/** One drain as this instance sees it. */
export interface DrainProgress {
  readonly kind: DrainEntry["kind"];
  readonly id: string;
  /** Requests from here that still run there. */
  readonly running: number;
  /** Milliseconds until the last one ended; null while any runs. */
  readonly drain_ms: number | null;
}

/** What tracking needs. */
export interface DrainTrackerDeps {
  readonly metrics: Metrics;
  /** Requests from here that run at what is drained. */
  readonly running: (drain: DrainEntry) => number;
}

interface Tracked {
  readonly drain: DrainEntry;
  readonly since: number;
  endedAt: number | undefined;
}

/**
 * Until a drain is in force everywhere and callers hold no older look-up, new
 * work may still come; an idle moment before that is not the end.
 */
const NOTICE_MS = 2_000;

/** Tracks drains of the document in force. */
export class DrainTracker {
  readonly #deps: DrainTrackerDeps;
  #tracked = new Map<string, Tracked>();

  constructor(deps: DrainTrackerDeps) {
    this.#deps = deps;
  }

  adopt(document: SteeringDocument, now: number): void {
    const before = this.#tracked;
    this.#tracked = new Map(document.drains.map((drain) => {
      const key = `${drain.kind} ${drain.id}`;
      const known = before.get(key);
      return [key, known ?? { drain, since: now, endedAt: undefined }];
    }));
  }

  /** Looks which drains have ended; each is timed once. */
  tick(now: number): void {
    for (const tracked of this.#tracked.values()) {
      if (this.#deps.running(tracked.drain) > 0) {
        tracked.endedAt = undefined;
        continue;
      }
      if (tracked.endedAt !== undefined) continue;
      if (isInstance(tracked) && now - tracked.since < NOTICE_MS) continue;
      tracked.endedAt = now;
      const { kind, id } = tracked.drain;
      const ms = now - tracked.since;
      this.#deps.metrics.timing("drain.duration", ms, { kind, id });
    }
  }

  /** Every drain of the document. */
  progress(): DrainProgress[] {
    return [...this.#tracked.values()].map(({ drain, since, endedAt }) => ({
      kind: drain.kind,
      id: drain.id,
      running: this.#deps.running(drain),
      drain_ms: endedAt === undefined ? null : Math.round(endedAt - since),
    }));
  }
}

function isInstance({ drain }: Tracked): boolean {
  return drain.kind === "instance";
}
