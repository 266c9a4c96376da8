/**
 * How long a kept connection may rest before it is used again.
 *
 * The load it answers: endpoints, or what lies before them, that forget idle
 * connections sooner than they say. What is sent on one is reset, and nobody
 * knows whether it ran, so a request that may run once is lost to its caller.
 * Without kept connections, though, each request would wait for a new one and
 * cost the endpoint a handshake.
 *
 * A connection that breaks on its first request after a rest tells that the
 * rest was too long; half of it is allowed from then on, and a little more with
 * each rest that did no harm.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";

/** Where the endpoint does not say, in milliseconds. */
const UNTOLD_MS = 4_000;
/**
 * How much sooner than the endpoint says a connection is not used any more, in
 * milliseconds: its close may be on the way, over a link and a late timer.
 */
const MARGIN_MS = 1_500;
/** Longer rests gain little: few objects' requests come so seldom, in ms. */
const LONGEST_MS = 8_500;
/** Shorter ones are not told from a connection that was lost by accident. */
const SHORTEST_MS = 50;
const AFTER_LOSS = 0.5;
const AFTER_USE = 1.1;

interface Limit {
  toldMs: number;
  /** What losses have left of it. */
  learnedMs: number;
}

/** Limits of one instance, by endpoint. */
export class IdleLimits {
  readonly #limits = new WeakMap<EndpointRow, Limit>();

  /** The longest rest after which a connection is used, in milliseconds. */
  of(row: EndpointRow): number {
    const { toldMs, learnedMs } = this.#of(row);
    return Math.min(toldMs, learnedMs);
  }

  /** The endpoint said how long it keeps idle connections, in milliseconds. */
  told(row: EndpointRow, keepAliveMs: number): void {
    const most = Math.min(LONGEST_MS, keepAliveMs - MARGIN_MS);
    this.#of(row).toldMs = Math.max(0, most);
  }

  /** A connection that had rested so long broke on its first request. */
  lost(row: EndpointRow, restedMs: number): void {
    const limit = this.#of(row);
    const less = Math.min(limit.learnedMs, restedMs * AFTER_LOSS);
    limit.learnedMs = Math.max(SHORTEST_MS, less);
  }

  /** A connection that had rested served a request. */
  used(row: EndpointRow): void {
    const limit = this.#of(row);
    limit.learnedMs = Math.min(LONGEST_MS, limit.learnedMs * AFTER_USE);
  }

  #of(row: EndpointRow): Limit {
    const known = this.#limits.get(row);
    if (known !== undefined) return known;
    const fresh = { toldMs: UNTOLD_MS, learnedMs: LONGEST_MS };
    this.#limits.set(row, fresh);
    return fresh;
  }
}
