/**
 * Rate limits that overloaded endpoints announce in their responses, as last
 * observed by this instance or reported by a peer.
 *
 * Load: responses from an endpoint to many instances arrive out of order. The
 * newest one applies, and a limit is lifted only by a response that is newer by
 * a margin than all that announced it.
 *
 * @module
 */
import type { EndpointId } from "../../core/mod.ts";

/** The limit in one response of an endpoint. */
export interface ObservedLimit {
  /** Requests a second over the whole fleet; undefined without a limit. */
  readonly ratePerS: number | undefined;
  /** When the response arrived, on this instance's clock. */
  readonly at: number;
}

/**
 * Minimum age difference between the last response with a limit and one that
 * lifts it: response latencies differ, and observations that peers report are
 * older than they seem by the latency of gossip.
 */
const LIFT_MARGIN_MS = 250;
/** How long an observation is reported to peers. */
const REPORT_FOR_MS = 10_000;

interface Row {
  /** The latest response with a limit, and when one without it last came. */
  latest: ObservedLimit | undefined;
  liftedAt: number;
  /** The latest observation by this instance itself. */
  own: ObservedLimit | undefined;
}

/** Limits in effect at one instance. */
export class LimitTable {
  readonly #rows = new Map<EndpointId, Row>();
  /** When endpoints were removed whose limits peers may still report. */
  readonly #removedAt = new Map<EndpointId, number>();

  /** An endpoint's limit in requests a second; undefined without one. */
  limitOf(id: EndpointId): number | undefined {
    const row = this.#rows.get(id);
    return row === undefined ? undefined : effectiveLimit(row);
  }

  /** Records a response that this instance received. */
  observe(id: EndpointId, limit: ObservedLimit): void {
    const row = this.#rowFor(id, limit);
    if (row === undefined) return;
    row.own = limit;
    update(row, limit);
  }

  /** Records a response that another instance received. */
  applyReport(id: EndpointId, limit: ObservedLimit): void {
    if (limit.at <= (this.#removedAt.get(id) ?? -Infinity)) return;
    const row = this.#rowFor(id, limit);
    if (row !== undefined) update(row, limit);
  }

  /** This instance's recent observations, for its peers. */
  report(now: number): Map<EndpointId, ObservedLimit> {
    this.#evictExpired(now);
    const own = new Map<EndpointId, ObservedLimit>();
    for (const [id, row] of this.#rows) {
      if (row.own !== undefined && now - row.own.at < REPORT_FOR_MS) {
        own.set(id, row.own);
      }
    }
    return own;
  }

  /** Removes an endpoint that ended or restarted. */
  remove(id: EndpointId, now: number): void {
    if (this.#rows.delete(id)) this.#removedAt.set(id, now);
  }

  /** Creates a row only once an endpoint announces a limit. */
  #rowFor(id: EndpointId, { ratePerS }: ObservedLimit): Row | undefined {
    const known = this.#rows.get(id);
    if (known !== undefined || ratePerS === undefined) return known;
    const row = { latest: undefined, liftedAt: -Infinity, own: undefined };
    this.#rows.set(id, row);
    return row;
  }

  #evictExpired(now: number): void {
    for (const [id, row] of this.#rows) {
      const lifted = effectiveLimit(row) === undefined;
      if (lifted && now - row.liftedAt > REPORT_FOR_MS) this.#rows.delete(id);
    }
    for (const [id, at] of this.#removedAt) {
      if (now - at > REPORT_FOR_MS) this.#removedAt.delete(id);
    }
  }
}

function update(row: Row, limit: ObservedLimit): void {
  if (limit.ratePerS === undefined) {
    row.liftedAt = Math.max(row.liftedAt, limit.at);
  } else if (limit.at >= (row.latest?.at ?? -Infinity)) {
    row.latest = limit;
  }
}

function effectiveLimit({ latest, liftedAt }: Row): number | undefined {
  if (latest === undefined) return undefined;
  return liftedAt > latest.at + LIFT_MARGIN_MS ? undefined : latest.ratePerS;
}
