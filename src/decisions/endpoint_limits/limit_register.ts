/**
 * The rates that endpoints in need say they take, as last observed here or at
 * another instance.
 *
 * Load: answers overtake each other between an endpoint and many instances. The
 * newest one decides, and a limit is lifted only by an answer that is clearly
 * newer than all that named it.
 *
 * @module
 */
import type { EndpointId } from "../../core/mod.ts";

/** What one answer of an endpoint said of its limit. */
export interface ObservedLimit {
  /** Requests a second over the whole fleet; undefined if it named no limit. */
  readonly ratePerS: number | undefined;
  /** When the answer came, on this instance's clock. */
  readonly at: number;
}

/**
 * How much newer than the last answer that named a limit one without has to
 * be, in milliseconds: answers take different times on their way here, and what
 * peers report is older by the way from them than it seems.
 */
const LIFT_MARGIN_MS = 250;
/** How long an observation is passed on to peers, in milliseconds. */
const REPORTED_FOR_MS = 10_000;

interface Row {
  named: ObservedLimit | undefined;
  liftedAt: number;
  /** The latest observation of this instance itself. */
  own: ObservedLimit | undefined;
}

/** Limits in force at one instance. */
export class LimitRegister {
  readonly #rows = new Map<EndpointId, Row>();
  /** When endpoints ended whose limits peers may still report. */
  readonly #forgottenAt = new Map<EndpointId, number>();

  /** The rate that an endpoint takes; undefined without a limit. */
  limitOf(id: EndpointId): number | undefined {
    const row = this.#rows.get(id);
    return row === undefined ? undefined : inForce(row);
  }

  /** Takes in an answer that this instance received. */
  observed(id: EndpointId, limit: ObservedLimit): void {
    const row = this.#rowFor(id, limit);
    if (row === undefined) return;
    row.own = limit;
    update(row, limit);
  }

  /** Takes in an answer that another instance received. */
  reported(id: EndpointId, limit: ObservedLimit): void {
    if (limit.at <= (this.#forgottenAt.get(id) ?? -Infinity)) return;
    const row = this.#rowFor(id, limit);
    if (row !== undefined) update(row, limit);
  }

  /** What this instance observed lately, for its peers. */
  report(now: number): Map<EndpointId, ObservedLimit> {
    this.#dropOld(now);
    const own = new Map<EndpointId, ObservedLimit>();
    for (const [id, row] of this.#rows) {
      if (row.own !== undefined && now - row.own.at < REPORTED_FOR_MS) {
        own.set(id, row.own);
      }
    }
    return own;
  }

  /** Forgets an endpoint that ended or started anew. */
  forget(id: EndpointId, now: number): void {
    if (this.#rows.delete(id)) this.#forgottenAt.set(id, now);
  }

  /** An endpoint without a limit has no row until it first names one. */
  #rowFor(id: EndpointId, { ratePerS }: ObservedLimit): Row | undefined {
    const known = this.#rows.get(id);
    if (known !== undefined || ratePerS === undefined) return known;
    const row = { named: undefined, liftedAt: -Infinity, own: undefined };
    this.#rows.set(id, row);
    return row;
  }

  #dropOld(now: number): void {
    for (const [id, row] of this.#rows) {
      const lifted = inForce(row) === undefined;
      if (lifted && now - row.liftedAt > REPORTED_FOR_MS) this.#rows.delete(id);
    }
    for (const [id, at] of this.#forgottenAt) {
      if (now - at > REPORTED_FOR_MS) this.#forgottenAt.delete(id);
    }
  }
}

function update(row: Row, limit: ObservedLimit): void {
  if (limit.ratePerS === undefined) {
    row.liftedAt = Math.max(row.liftedAt, limit.at);
  } else if (limit.at >= (row.named?.at ?? -Infinity)) {
    row.named = limit;
  }
}

function inForce({ named, liftedAt }: Row): number | undefined {
  if (named === undefined) return undefined;
  return liftedAt > named.at + LIFT_MARGIN_MS ? undefined : named.ratePerS;
}
