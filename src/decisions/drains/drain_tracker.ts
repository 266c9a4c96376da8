/**
 * Tracks the progress of the document's drains.
 *
 * Operators wait for a drain before they stop its target. Without a figure they
 * stop it too early and abort requests, or wait far too long; so each instance
 * reports its requests that still run there and how long they took to end.
 *
 * @module
 */
import type { Metrics } from "../../core/mod.ts";
import type { DrainEntry, SteeringDocument } from "../../document/mod.ts";

/** Progress of one drain, as seen from this instance. */
export interface DrainProgress {
  readonly kind: DrainEntry["kind"];
  readonly id: string;
  /** Requests that this instance still has running at the target. */
  readonly running: number;
  /** Milliseconds until the last of them ended; null until then. */
  readonly drain_ms: number | null;
}

/** Dependencies of {@link DrainTracker}. */
export interface DrainTrackerDeps {
  readonly metrics: Metrics;
  /** Number of this instance's requests that run at a drain's target. */
  readonly running: (drain: DrainEntry) => number;
}

interface Tracked {
  readonly drain: DrainEntry;
  readonly since: number;
  endedAt: number | undefined;
}

/**
 * Within this time new work may still arrive: the drain is not yet in force on
 * every instance, and callers reuse older look-ups. Idle does not mean drained.
 */
const PROPAGATION_MS = 2_000;

/** Tracks the drains of the document in force. */
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

  /** Detects drains that have ended, and records their duration. */
  tick(now: number): void {
    for (const tracked of this.#tracked.values()) {
      if (this.#deps.running(tracked.drain) > 0) {
        tracked.endedAt = undefined;
        continue;
      }
      if (tracked.endedAt !== undefined) continue;
      if (isInstance(tracked) && now - tracked.since < PROPAGATION_MS) continue;
      tracked.endedAt = now;
      const { kind, id } = tracked.drain;
      const ms = now - tracked.since;
      this.#deps.metrics.timing("drain.duration", ms, { kind, id });
    }
  }

  /** Progress of every drain of the document. */
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
