/**
 * Reserves and releases slots at the endpoints of one service.
 *
 * Handles abandoned requests. After a caller disconnects or a deadline passes,
 * the endpoint may go on running the request; reusing its slot at once would
 * run more requests there than it has slots. So such a slot stays reserved
 * until the endpoint has had time to stop.
 *
 * @module
 */
import type { Clock, EndpointId, Random } from "../../core/mod.ts";
import type { Slot, SteeringRequest, WorkResult } from "./dispatcher.ts";
import { chooseEndpoint } from "./endpoint_choice.ts";
import { recordResult } from "./outlier_detection.ts";
import {
  applyStatement,
  concurrencyLimit,
  type EndpointRow,
  freeSlots,
  recordLatencyRatio,
} from "./endpoint_row.ts";
import type { SlotLimits } from "./slot_limits.ts";
import type { DurationEstimator } from "./duration_estimator.ts";

export interface SlotTableDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly limits: SlotLimits;
  readonly durations: DurationEstimator;
  /** Called after a slot was freed. */
  readonly onFree: (now: number) => void;
  /** Called when the last request at a draining endpoint has ended. */
  readonly onDrained: (endpoint: EndpointId, ms: number) => void;
}

/**
 * An endpoint sees the closed connection within a round trip, but a busy one
 * reacts late: with an event loop lag of 640 ms and a hold of 250 ms, one
 * request too many ran.
 */
export const ABANDONED_SLOT_HOLD_MS = 1_000;

/** Results after which the endpoint may still be running the request. */
const MAY_STILL_RUN: ReadonlySet<WorkResult> = new Set([
  "failed",
  "timeout",
  "cancelled",
]);

/** The slots at the endpoints of one service. */
export class SlotTable {
  readonly #deps: SlotTableDeps;
  rows: readonly EndpointRow[] = [];

  constructor(deps: SlotTableDeps) {
    this.#deps = deps;
  }

  /** Slots that may be in use at once, by the limits as last read. */
  capacity(now: number): number {
    return this.rows.reduce((n, row) => n + concurrencyLimit(row, now), 0);
  }

  /** Slots free now. */
  free(now: number): number {
    return this.rows.reduce((n, row) => n + freeSlots(row, now), 0);
  }

  get inFlight(): number {
    return this.rows.reduce((n, row) => n + row.inFlight, 0);
  }

  /** When the first blocked endpoint is unblocked; Infinity without one. */
  unblockedAt(now: number): number {
    const blocked = this.rows.filter((r) =>
      r.slotLimit > 0 && r.blockedUntil > now && r.drainingSince === undefined
    );
    return Math.min(...blocked.map((r) => r.blockedUntil));
  }

  /** Reads the limits again and reports the slots in use and wanted. */
  refresh(now: number, waiting: number): void {
    const open = this.rows.filter((r) => r.drainingSince === undefined);
    const wanted = Math.ceil(waiting / Math.max(1, open.length));
    for (const row of this.rows) {
      row.slotLimit = this.#deps.limits.limit(row.id, now);
      const { inFlight, drainingSince } = row;
      this.#deps.limits.report(row.id, {
        inFlight,
        wanted: drainingSince === undefined ? wanted : 0,
      });
    }
  }

  /** Reserves a slot; undefined if all endpoints are full. */
  take(req: SteeringRequest, now: number): Slot | undefined {
    const criteria = { exclude: req.exclude, now };
    for (let i = 0; i <= this.rows.length; i++) {
      const row = chooseEndpoint(this.rows, criteria, this.#deps.random);
      if (row === undefined) return undefined;
      // The limit may have fallen since the last tick, as after a pause of the
      // process; the old one would overload the endpoint with the new holder.
      row.slotLimit = this.#deps.limits.limit(row.id, now);
      if (freeSlots(row, now) > 0) return this.#slot(row, req, now);
    }
    return undefined;
  }

  #slot(row: EndpointRow, req: SteeringRequest, startedAt: number): Slot {
    row.inFlight += 1;
    let held = true;
    let answeredAt: number | undefined;
    return {
      endpoint: row.id,
      url: row.entry.url,
      zone: row.entry.zone,
      answered: (now) => answeredAt ??= now,
      stated: (statement, now) => applyStatement(row, statement, now),
      release: (result, now) => {
        if (!held) return;
        held = false;
        if (result === "ok") {
          this.#recordLatency(row, req, {
            ms: (answeredAt ?? now) - startedAt,
            now,
          });
        }
        this.#finish(row, result, now);
      },
    };
  }

  #recordLatency(
    row: EndpointRow,
    req: SteeringRequest,
    { ms, now }: { ms: number; now: number },
  ): void {
    const { durations } = this.#deps;
    const latencyRatio = durations.record(req.account, req.work ?? "", {
      ms,
      now,
    });
    if (latencyRatio !== undefined) recordLatencyRatio(row, latencyRatio, now);
  }

  #finish(row: EndpointRow, result: WorkResult, now: number): void {
    recordResult(this.rows, row, { result, now, random: this.#deps.random });
    if (!MAY_STILL_RUN.has(result)) return this.#releaseSlot(row, now);
    const { clock } = this.#deps;
    clock.after(
      ABANDONED_SLOT_HOLD_MS,
      () => this.#releaseSlot(row, clock.now()),
    );
  }

  #releaseSlot(row: EndpointRow, now: number): void {
    row.inFlight -= 1;
    if (row.inFlight === 0 && row.drainingSince !== undefined) {
      this.#deps.onDrained(row.id, now - row.drainingSince);
    }
    this.#deps.onFree(now);
  }
}
