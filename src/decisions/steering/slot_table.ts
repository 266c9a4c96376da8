/**
 * Slots in use at the endpoints of one service: hands them out and takes them
 * back.
 *
 * Answers abandoned requests. When a caller goes away or a deadline passes,
 * the endpoint may go on for a while; handing its slot out at once would run
 * more requests there than it has slots, which shows as its own count passing
 * its limit. So such a slot stays held until the endpoint has surely stopped.
 *
 * @module
 */
import type { Clock, EndpointId, Random } from "../../core/mod.ts";
import type { Slot, SteeringRequest, WorkResult } from "./dispatcher.ts";
import { chooseEndpoint } from "./endpoint_choice.ts";
import { judge } from "./endpoint_health.ts";
import {
  allowance,
  type EndpointRow,
  learnLatency,
  room,
} from "./endpoint_row.ts";
import type { SlotLimits } from "./slot_limits.ts";
import type { WorkTimes } from "./work_times.ts";

/** What a slot table needs. */
export interface SlotTableDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly limits: SlotLimits;
  readonly times: WorkTimes;
  /** Called after slots became free. */
  readonly onFree: (now: number) => void;
  /** Called when a draining endpoint's last request has ended. */
  readonly onDrained: (endpoint: EndpointId, ms: number) => void;
}

/**
 * After its connection was closed an endpoint learns of the abandonment
 * within a round trip and stops, but a busy one looks late: one whose event
 * loop lagged by 640 ms ran one request too many with a margin of 250 ms.
 */
export const ABANDON_MARGIN_MS = 1_000;

/** Results after which the endpoint may still be running the request. */
const MAY_STILL_RUN: ReadonlySet<WorkResult> = new Set([
  "failed",
  "timeout",
  "cancelled",
]);

/** The endpoints of one service with their slots. */
export class SlotTable {
  readonly #deps: SlotTableDeps;
  rows: readonly EndpointRow[] = [];

  constructor(deps: SlotTableDeps) {
    this.#deps = deps;
  }

  /** Slots that may be in use at once, by what was last asked of the limits. */
  capacity(now: number): number {
    return this.rows.reduce((n, row) => n + allowance(row, now), 0);
  }

  /** Slots free now. */
  free(now: number): number {
    return this.rows.reduce((n, row) => n + room(row, now), 0);
  }

  get inFlight(): number {
    return this.rows.reduce((n, row) => n + row.inFlight, 0);
  }

  /** When the first endpoint that backs off takes work again; Infinity if none. */
  unblockedAt(now: number): number {
    const blocked = this.rows.filter((r) =>
      r.slotLimit > 0 && r.blockedUntil > now && r.drainingSince === undefined
    );
    return Math.min(...blocked.map((r) => r.blockedUntil));
  }

  /** Asks the limits again; tells them what is in use and what is wanted. */
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

  /** Takes a slot at the better of two endpoints; undefined if all are full. */
  take(req: SteeringRequest, now: number): Slot | undefined {
    const question = { exclude: req.exclude, now };
    for (let i = 0; i <= this.rows.length; i++) {
      const row = chooseEndpoint(this.rows, question, this.#deps.random);
      if (row === undefined) return undefined;
      // A part may have shrunk since the last tick, as after a pause: using the
      // old figure would overfill the endpoint together with the new holder.
      row.slotLimit = this.#deps.limits.limit(row.id, now);
      if (room(row, now) > 0) return this.#slot(row, req, now);
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
      release: (result, now) => {
        if (!held) return;
        held = false;
        if (result === "ok") {
          this.#learn(row, req, { ms: (answeredAt ?? now) - startedAt, now });
        }
        this.#end(row, result, now);
      },
    };
  }

  #learn(
    row: EndpointRow,
    req: SteeringRequest,
    { ms, now }: { ms: number; now: number },
  ): void {
    const { times } = this.#deps;
    const stretch = times.learn(req.account, req.work ?? "", { ms, now });
    if (stretch !== undefined) learnLatency(row, stretch, now);
  }

  #end(row: EndpointRow, result: WorkResult, now: number): void {
    judge(this.rows, row, { result, now, random: this.#deps.random });
    if (!MAY_STILL_RUN.has(result)) return this.#free(row, now);
    const { clock } = this.#deps;
    clock.after(ABANDON_MARGIN_MS, () => this.#free(row, clock.now()));
  }

  #free(row: EndpointRow, now: number): void {
    row.inFlight -= 1;
    if (row.inFlight === 0 && row.drainingSince !== undefined) {
      this.#deps.onDrained(row.id, now - row.drainingSince);
    }
    this.#deps.onFree(now);
  }
}
