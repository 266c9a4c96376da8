/**
 * Which home each operation of a caller is bound to.
 *
 * A retry under another home would be a new operation to the system, and
 * would run a second time; so an id keeps its home until the system said that
 * the operation was not run and never will be there.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";

/** Where an operation stands. */
export interface HomeBinding {
  /** Undefined while no look-up gave a home. */
  readonly home: string | undefined;
  /** Rises with each new home. */
  readonly round: number;
  /** Whether an attempt under this home may have run. */
  readonly uncertain: boolean;
}

interface Kept {
  readonly binding: HomeBinding;
  readonly until: number;
}

/** As long as the system keeps records, in milliseconds. */
const KEPT_MS = 600_000;
const MAX_KEPT = 10_000;

/** The value of the home header; undefined where there is no home. */
export function homeHeader({ home, round }: HomeBinding): string | undefined {
  if (home === undefined || round === 0) return home;
  return `${home}~${round}`;
}

/** Bindings of operation ids that the application chose and may repeat. */
export class HomeBindings {
  readonly #clock: Clock;
  readonly #kept = new Map<string, Kept>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  find(operationId: string): HomeBinding | undefined {
    const kept = this.#kept.get(operationId);
    return kept && kept.until > this.#clock.now() ? kept.binding : undefined;
  }

  keep(operationId: string, binding: HomeBinding): void {
    const now = this.#clock.now();
    for (const [id, kept] of this.#kept) {
      if (kept.until > now && this.#kept.size < MAX_KEPT) break;
      this.#kept.delete(id);
    }
    this.#kept.delete(operationId);
    this.#kept.set(operationId, { binding, until: now + KEPT_MS });
  }
}
