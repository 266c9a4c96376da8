/**
 * Plans a zone's next seat table: renewals, hand-overs, and take-overs of seats
 * whose holders' leases have safely expired.
 *
 * Instances die, pause and are replaced at any time. Without this, two
 * instances could use one seat, which overloads endpoints and lets accounts
 * exceed their rate, or a dead instance's seat would stay unused, which causes
 * refusals at half load.
 *
 * @module
 */
import {
  assignRow,
  type Holder,
  holdersOf,
  releaseRow,
  type RenewalRequest,
  reserveFloor,
  resizeRows,
  sameHolder,
  seatCount,
  type SeatRow,
  type SeatTable,
} from "./seat_table.ts";
import { rendezvousOrder } from "./rendezvous_owner.ts";
import type { SeatObserver } from "./seat_observer.ts";
import type { SeatTiming } from "./seat_timing.ts";

/** Inputs of a plan. */
export interface SeatPlanInput {
  readonly table: SeatTable;
  readonly observer: SeatObserver;
  /** This instance's own renewal request. */
  readonly self: RenewalRequest;
  readonly leaving: boolean;
  /** Renewal requests of live zone peers that are not leaving. */
  readonly zonePeers: readonly RenewalRequest[];
  /** Renewal requests of live zone peers that are leaving. */
  readonly leavingPeers: readonly RenewalRequest[];
  /** Own seats that have been unused for long enough to be handed over. */
  readonly releasable: ReadonlySet<number>;
  /** Whether a promise to `holder` still forbids taking over its seats. */
  readonly isPromised: (holder: Holder) => boolean;
  /** Number of seats in the zone. */
  readonly seats: number;
  /** How long requests may outlast the use of their seat, in milliseconds. */
  readonly maxInFlightMs: number;
  readonly timing: SeatTiming;
  readonly now: number;
}

/** A planned table. */
export interface SeatPlan {
  readonly table: SeatTable;
  /** Whether a holder changes, which should not wait for the next renewal. */
  readonly urgent: boolean;
  /** Whether this instance's own seats change, so that it should write. */
  readonly own: boolean;
  /** Seats taken over from silent holders. */
  readonly taken: readonly number[];
}

/** How long a seat must have gone unrenewed before it may be taken over. */
export function takeoverDelayMs(timing: SeatTiming, settle: number): number {
  return timing.leaseMs + timing.clockDriftMs + settle;
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
  const draft = new SeatTableDraft(
    resizeRows(table.rows, input.seats),
    revision,
  );
  for (const request of [self, ...input.zonePeers, ...input.leavingPeers]) {
    draft.renew(request);
  }
  const ownExpired = expireReservations(draft, input);
  handOverReleased(draft, input);
  const taken = leaving ? [] : takeOverExpired(draft, input);
  assignVacant(draft, input);
  const shape = draft.changed.size > 0 ? revision : table.shape;
  const own = [...draft.changed].some((i) =>
    sameHolder(draft.rows[i] ?? NO_HOLDER, self) ||
    sameHolder(table.rows[i] ?? NO_HOLDER, self)
  );
  return {
    table: { revision, shape, rows: draft.rows },
    urgent: draft.changed.size > 0,
    own: own || ownExpired || taken.length > 0,
    taken,
  };
}

const NO_HOLDER: Holder = { holder: "", incarnation: "" };

class SeatTableDraft {
  readonly rows: SeatRow[];
  readonly revision: number;
  readonly changed = new Set<number>();

  constructor(rows: SeatRow[], revision: number) {
    this.rows = rows;
    this.revision = revision;
  }

  renew(request: RenewalRequest): void {
    this.rows.forEach((row, i) => {
      if (!sameHolder(row, request) || row.renewedMs >= request.askedMs) return;
      this.rows[i] = { ...row, renewedMs: request.askedMs, seen: request.seen };
    });
  }

  assign(index: number, to: RenewalRequest): void {
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
 * Drops reservations that have expired; this instance's own expire as soon as
 * its requests have ended. Returns whether one of its own was dropped.
 */
function expireReservations(
  draft: SeatTableDraft,
  input: SeatPlanInput,
): boolean {
  const { observer, self, now, timing, maxInFlightMs } = input;
  const expiryMs = timing.holdMs + takeoverDelayMs(timing, maxInFlightMs);
  let own = false;
  draft.rows.forEach((row, i) => {
    const reserved = row.reserved.filter((r) => {
      const limit = sameHolder(r, self) ? maxInFlightMs : expiryMs;
      return observer.reservedMs(i, r.epoch, now) < limit;
    });
    if (reserved.length < row.reserved.length) {
      draft.rows[i] = { ...row, reserved };
      own ||= row.reserved.some((r) => sameHolder(r, self));
    }
  });
  return own;
}

/** The candidate with the fewest seats; ties go to the lowest instance name. */
function holderWithFewestSeats(
  draft: SeatTableDraft,
  candidates: readonly RenewalRequest[],
): RenewalRequest | undefined {
  return [...candidates].sort((a, b) =>
    seatCount(draft.rows, a) - seatCount(draft.rows, b) ||
    (a.holder < b.holder ? -1 : 1)
  )[0];
}

function handOverReleased(draft: SeatTableDraft, input: SeatPlanInput): void {
  const { self, zonePeers, releasable, leaving } = input;
  for (const index of releasable) {
    const row = draft.rows[index];
    if (row === undefined || !sameHolder(row, self)) continue;
    const to = holderWithFewestSeats(draft, zonePeers);
    const narrowsGap = to &&
      seatCount(draft.rows, to) + 1 < seatCount(draft.rows, self);
    if (to && (leaving || narrowsGap)) draft.assign(index, to);
    else if (leaving) draft.release(index);
  }
}

/**
 * Takes over seats whose holders can be using no more than the floor.
 *
 * Only a holder that the silent one had seen in the table may do so: the silent
 * holder relies on the promises of the holders it had seen and requested none
 * from others. Once every holder has been silent for `holdMs` and the take-over
 * delay, all leases have expired and any instance may take over.
 */
function takeOverExpired(
  draft: SeatTableDraft,
  input: SeatPlanInput,
): number[] {
  const { table, observer, self, now, timing, maxInFlightMs } = input;
  const delayMs = takeoverDelayMs(timing, maxInFlightMs);
  const allExpired = table.rows.every((r, i) =>
    r.holder === "" ||
    observer.unchangedMs(i, now) >= timing.holdMs + delayMs
  );
  const since = table.rows.find((r) => sameHolder(r, self))?.since;
  const taken: number[] = [];
  table.rows.forEach((row, i) => {
    if (i >= input.seats || row.holder === "" || sameHolder(row, self)) return;
    if (draft.changed.has(i) || input.isPromised(row)) return;
    const seenByHolder = since !== undefined && since <= row.seen;
    if (!seenByHolder && !allExpired) return;
    const waitMs = delayMs + takeoverStaggerMs(input, i);
    if (observer.unchangedMs(i, now) < waitMs) return;
    if (!allExpired) draft.rows[i] = reserveFloor(row, timing.floor);
    draft.assign(
      i,
      holderWithFewestSeats(draft, [self, ...input.zonePeers]) ?? self,
    );
    taken.push(i);
  });
  return taken;
}

/** Staggers take-overs, so that holders do not all write at the same time. */
function takeoverStaggerMs(input: SeatPlanInput, index: number): number {
  const holders = holdersOf(input.table).filter((h) =>
    sameHolder(h, input.self) || input.zonePeers.some((m) => sameHolder(h, m))
  );
  const order = rendezvousOrder(`take ${index}`, holders.map((h) => h.holder));
  const position = Math.max(0, order.indexOf(input.self.holder));
  return position * input.timing.failoverStepMs;
}

/** Assigns vacant seats to instances without any, or any after `vacancyMs`. */
function assignVacant(draft: SeatTableDraft, input: SeatPlanInput): void {
  const { observer, self, zonePeers, now, timing, leaving } = input;
  const candidates = leaving ? [...zonePeers] : [self, ...zonePeers];
  draft.rows.forEach((row, i) => {
    if (row.holder !== "" || draft.changed.has(i)) return;
    const to = holderWithFewestSeats(draft, candidates);
    if (to === undefined) return;
    const overdue = observer.unchangedMs(i, now) >= timing.vacancyMs;
    if (seatCount(draft.rows, to) === 0 || overdue) draft.assign(i, to);
  });
}
