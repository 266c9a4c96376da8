/**
 * What a zone's next table of seats should be: renewals, hand-overs, and seats
 * of holders that surely no longer use them.
 *
 * Pattern it answers: instances die, pause and are replaced at any time. What
 * goes wrong without it: two instances use one seat, which shows as more
 * requests at an endpoint than it has slots and accounts above their rate; or
 * a dead instance's seat stays unused, which shows as refusals at half load.
 *
 * @module
 */
import {
  type Ask,
  assignRow,
  type Holder,
  holdersOf,
  releaseRow,
  reserveFloor,
  resizeRows,
  sameHolder,
  seatCount,
  type SeatRow,
  type SeatTable,
} from "./seat_table.ts";
import { rankFor } from "./duty.ts";
import type { SeatObserver } from "./seat_observer.ts";
import type { SeatTiming } from "./seat_timing.ts";

/** All that a plan depends on. */
export interface SeatPlanInput {
  readonly table: SeatTable;
  readonly observer: SeatObserver;
  /** This instance's own request for renewal. */
  readonly self: Ask;
  readonly leaving: boolean;
  /** Requests of zone-mates heard lately that are not leaving. */
  readonly mates: readonly Ask[];
  /** Requests of zone-mates heard lately that are leaving. */
  readonly departing: readonly Ask[];
  /** Seats that this instance stopped using long enough ago to give them away. */
  readonly givable: ReadonlySet<number>;
  /** Rows of others that this instance may not take: it promised. */
  readonly promised: (holder: Holder) => boolean;
  /** How many seats the zone has. */
  readonly seats: number;
  /** How long work begun on a seat may outlast its use, in milliseconds. */
  readonly settleMs: number;
  readonly timing: SeatTiming;
  readonly now: number;
}

/** A planned table. */
export interface SeatPlan {
  readonly table: SeatTable;
  /** Whether a holder changes, which is not to wait for the next renewal. */
  readonly urgent: boolean;
  /** Whether this instance's own seats change, so that it writes itself. */
  readonly own: boolean;
  /** Seats taken from holders that fell silent. */
  readonly taken: readonly number[];
}

/** How long a lease must have stood before its seat may be taken. */
export function quietMs(timing: SeatTiming, settle: number): number {
  return timing.leaseMs + timing.marginMs + settle;
}

/**
 * Plans the table that follows `input.table`.
 *
 * @example
 * ```ts
 * const plan = planSeats(input);
 * if (plan.urgent) await write(plan.table);
 * ```
 */
export function planSeats(input: SeatPlanInput): SeatPlan {
  const { table, self, leaving } = input;
  const revision = table.revision + 1;
  const draft = new Draft(resizeRows(table.rows, input.seats), revision);
  for (const ask of [self, ...input.mates, ...input.departing]) {
    draft.renew(ask);
  }
  const gaveUp = dropReservations(draft, input);
  giveAway(draft, input);
  const taken = leaving ? [] : takeOver(draft, input);
  fillEmpty(draft, input);
  const shape = draft.changed.size > 0 ? revision : table.shape;
  const own = [...draft.changed].some((i) =>
    sameHolder(draft.rows[i] ?? NOBODY, self) ||
    sameHolder(table.rows[i] ?? NOBODY, self)
  );
  return {
    table: { revision, shape, rows: draft.rows },
    urgent: draft.changed.size > 0,
    own: own || gaveUp || taken.length > 0,
    taken,
  };
}

const NOBODY: Holder = { holder: "", incarnation: "" };

class Draft {
  readonly rows: SeatRow[];
  readonly revision: number;
  readonly changed = new Set<number>();

  constructor(rows: SeatRow[], revision: number) {
    this.rows = rows;
    this.revision = revision;
  }

  renew(ask: Ask): void {
    this.rows.forEach((row, i) => {
      if (!sameHolder(row, ask) || row.renewedMs >= ask.askedMs) return;
      this.rows[i] = { ...row, renewedMs: ask.askedMs, seen: ask.seen };
    });
  }

  assign(index: number, to: Ask): void {
    const { revision } = this;
    this.rows[index] = assignRow(this.rows, index, { to, revision });
    this.changed.add(index);
  }

  release(index: number): void {
    const row = this.rows[index];
    if (row === undefined) return;
    this.rows[index] = releaseRow(row);
    this.changed.add(index);
  }
}

/**
 * Reservations end when their holder gave them up or their time is over; says
 * whether one of this instance's own did.
 */
function dropReservations(draft: Draft, input: SeatPlanInput): boolean {
  const { observer, self, now, timing, settleMs } = input;
  const over = timing.holdMs + quietMs(timing, settleMs);
  let own = false;
  draft.rows.forEach((row, i) => {
    const reserved = row.reserved.filter((r) => {
      const limit = sameHolder(r, self) ? settleMs : over;
      return observer.reservedMs(i, r.epoch, now) < limit;
    });
    if (reserved.length < row.reserved.length) {
      draft.rows[i] = { ...row, reserved };
      own ||= row.reserved.some((r) => sameHolder(r, self));
    }
  });
  return own;
}

/** Whoever can use a seat, the one with fewest first. */
function neediest(
  draft: Draft,
  candidates: readonly Ask[],
): Ask | undefined {
  return [...candidates].sort((a, b) =>
    seatCount(draft.rows, a) - seatCount(draft.rows, b) ||
    (a.holder < b.holder ? -1 : 1)
  )[0];
}

function giveAway(draft: Draft, input: SeatPlanInput): void {
  const { self, mates, givable, leaving } = input;
  for (const index of givable) {
    const row = draft.rows[index];
    if (row === undefined || !sameHolder(row, self)) continue;
    const to = neediest(draft, mates);
    const worthwhile = to &&
      seatCount(draft.rows, to) + 1 < seatCount(draft.rows, self);
    if (to && (leaving || worthwhile)) draft.assign(index, to);
    else if (leaving) draft.release(index);
  }
}

/**
 * Takes seats of holders that surely stopped using all but the floor.
 *
 * Only a holder that the silent one knew of may: the silent one counts on the
 * promises of those it knew, and nobody else's promise was asked for. When all
 * holders have been silent for the hold time, none of them uses anything.
 */
function takeOver(draft: Draft, input: SeatPlanInput): number[] {
  const { table, observer, self, now, timing, settleMs } = input;
  const quiet = quietMs(timing, settleMs);
  const abandoned = table.rows.every((r, i) =>
    r.holder === "" ||
    observer.unchangedMs(i, now) >= timing.holdMs + quiet
  );
  const since = table.rows.find((r) => sameHolder(r, self))?.since;
  const taken: number[] = [];
  table.rows.forEach((row, i) => {
    if (i >= input.seats || row.holder === "" || sameHolder(row, self)) return;
    if (draft.changed.has(i) || input.promised(row)) return;
    const known = since !== undefined && since <= row.seen;
    if (!known && !abandoned) return;
    const wait = quiet + standInDelay(input, i);
    if (observer.unchangedMs(i, now) < wait) return;
    if (!abandoned) draft.rows[i] = reserveFloor(row, timing.floor);
    draft.assign(i, neediest(draft, [self, ...input.mates]) ?? self);
    taken.push(i);
  });
  return taken;
}

/** Holders take turns, so that they do not all write at the same moment. */
function standInDelay(input: SeatPlanInput, index: number): number {
  const holders = holdersOf(input.table).filter((h) =>
    sameHolder(h, input.self) || input.mates.some((m) => sameHolder(h, m))
  );
  const rank = rankFor(`take ${index}`, holders.map((h) => h.holder));
  const turn = Math.max(0, rank.indexOf(input.self.holder));
  return turn * input.timing.standInMs;
}

/** Empty seats go to instances without any, then, after a while, to others. */
function fillEmpty(draft: Draft, input: SeatPlanInput): void {
  const { observer, self, mates, now, timing, leaving } = input;
  const candidates = leaving ? [...mates] : [self, ...mates];
  draft.rows.forEach((row, i) => {
    if (row.holder !== "" || draft.changed.has(i)) return;
    const to = neediest(draft, candidates);
    if (to === undefined) return;
    const waited = observer.unchangedMs(i, now) >= timing.emptyMs;
    if (seatCount(draft.rows, to) === 0 || waited) draft.assign(i, to);
  });
}
