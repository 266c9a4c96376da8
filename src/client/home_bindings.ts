/**
 * The home that each operation id of a client is bound to.
 *
 * The home is the token that names the instance which runs and records the
 * operation. A retry with another home would be a new operation and could run a
 * second time, so an id keeps its home until the system has reported that the
 * operation did not run there and never will.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";

/** An operation's home and what is known of its earlier attempts. */
export interface HomeBinding {
  /** Undefined if no look-up has returned a home. */
  readonly home: string | undefined;
  /** Number of times a new home was chosen. */
  readonly round: number;
  /** Whether an attempt with this home may have run. */
  readonly mayHaveRun: boolean;
}

interface BindingEntry {
  readonly binding: HomeBinding;
  readonly until: number;
}

/** Equals the time for which the system keeps operation records. */
const BINDING_TTL_MS = 600_000;
const MAX_BINDINGS = 10_000;

/** Value of the `x-magnoliahook-home` header; undefined without a home. */
export function homeHeader({ home, round }: HomeBinding): string | undefined {
  if (home === undefined || round === 0) return home;
  return `${home}~${round}`;
}

/** Bindings of operation ids that the application supplied and may retry. */
export class HomeBindings {
  readonly #clock: Clock;
  readonly #entries = new Map<string, BindingEntry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get(operationId: string): HomeBinding | undefined {
    const entry = this.#entries.get(operationId);
    return entry && entry.until > this.#clock.now() ? entry.binding : undefined;
  }

  set(operationId: string, binding: HomeBinding): void {
    const now = this.#clock.now();
    for (const [id, entry] of this.#entries) {
      if (entry.until > now && this.#entries.size < MAX_BINDINGS) break;
      this.#entries.delete(id);
    }
    this.#entries.delete(operationId);
    this.#entries.set(operationId, {
      binding,
      until: now + BINDING_TTL_MS,
    });
  }
}
