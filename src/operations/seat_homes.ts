/**
 * Operations that came without a home token; a seat is their home.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { Seat, SeatDirectory, SeatEntry } from "../membership/mod.ts";
import type { Forwarder } from "./forwarder.ts";
import { isSameSeat } from "./home_seat.ts";
import type { Place } from "./home_token.ts";
import type { Ledger, OperationName } from "./ledger.ts";
import type { OperationRequest, RunResult } from "./operations.ts";
import type { OwnedOperations } from "./owned_operations.ts";
import type { PlaceTable } from "./places.ts";
import type { Recovered, SeatRecovery } from "./seat_recovery.ts";
import type { SeatHome, SeatSets } from "./seat_sets.ts";
import { notNow, unknown, verdictOf } from "./verdict.ts";

/** What seat homes need. */
export interface SeatHomesDeps {
  readonly self: Place;
  readonly clock: Clock;
  readonly seats: SeatDirectory;
  readonly seatSets: SeatSets;
  readonly ledger: Ledger;
  readonly places: PlaceTable;
  readonly owned: OwnedOperations;
  readonly recovery: SeatRecovery;
  readonly forwarder: Forwarder;
}

/** After a change of seats every instance has the document by then. */
const SEATS_SETTLE_MS = 15_000;

/** Runs operations at the holder of their home seat. */
export class SeatHomes {
  readonly #deps: SeatHomesDeps;

  constructor(deps: SeatHomesDeps) {
    this.#deps = deps;
  }

  /** Runs the operation at its home, or says what is known of it. */
  async run(req: OperationRequest): Promise<RunResult> {
    const seat = this.#seatOf(req);
    if (seat === undefined) return notNow("no seat is known yet");
    const own = this.own(req);
    if (own) return await own;
    const { forwarder, places, self } = this.#deps;
    const holder = seat.holder && seat.holder !== self.instance
      ? places.named(seat.holder)
      : undefined;
    const forwarded = holder && await forwarder.send(req, holder);
    if (forwarded?.isOk()) return forwarded.value;
    if (forwarded?.isErr() && forwarded.error.outcome === "unknown") {
      return unknown("was sent to its home, which gave no answer");
    }
    return await this.#withoutHome(req, seat);
  }

  /** Runs the operation if its seat is surely held here; else undefined. */
  own(req: OperationRequest): Promise<RunResult> | undefined {
    const seat = this.#seatOf(req);
    if (seat === undefined || !this.#holds(seat)) return undefined;
    return this.#deps.forwarder.patiently(req, this.#runOwn(req, seat));
  }

  async #runOwn(req: OperationRequest, seat: SeatEntry): Promise<RunResult> {
    const { ledger, owned } = this.#deps;
    const { zone, index, epoch } = seat;
    const name = nameOf(req);
    if (!ledger.knows(name)) {
      const found = await this.#askOthers(name, seat);
      if (found.kind === "incomplete") return unknown("may be known elsewhere");
      if (found.kind === "known") return verdictOf(found.view, req.fingerprint);
      if (this.#isMoving(req)) return notNow("its home is moving");
    }
    return await owned.attempt(req, {
      name,
      seat: { zone, index, epoch },
      holds: () => this.#holds(seat),
    });
  }

  /** Asks whoever may have run the id at this seat, or where it was before. */
  async #askOthers(name: OperationName, seat: SeatEntry): Promise<Recovered> {
    const { recovery, seatSets } = this.#deps;
    const earlier = seatSets.find(name).moved.map((s) => this.#entryOf(s));
    if (recovery.needed(seat)) earlier.push(seat);
    for (const entry of earlier) {
      if (entry === undefined) return { kind: "incomplete" };
      const found = await recovery.ask(name, entry);
      if (found.kind !== "clear") return found;
    }
    return { kind: "clear" };
  }

  /** While others have the old document, they may still use the old home. */
  #isMoving(req: OperationRequest): boolean {
    const home = this.#homeOf(req);
    const since = this.#deps.clock.now() - home.changedAt;
    return home.moved.length > 0 && since < SEATS_SETTLE_MS;
  }

  /**
   * This attempt surely did not run, but an earlier one may have: only where
   * everybody who could know it says no is "not run" the truth to a caller.
   */
  async #withoutHome(
    req: OperationRequest,
    seat: SeatEntry,
  ): Promise<RunResult> {
    const found = await this.#deps.recovery.ask(nameOf(req), seat);
    if (found.kind === "known") return verdictOf(found.view, req.fingerprint);
    if (found.kind === "incomplete") {
      return unknown("has its home out of reach");
    }
    return notNow("its home is out of reach");
  }

  #seatOf(req: OperationRequest): SeatEntry | undefined {
    const { seat } = this.#homeOf(req);
    return seat && this.#entryOf(seat);
  }

  #homeOf(req: OperationRequest): SeatHome {
    return this.#deps.seatSets.find(req);
  }

  #entryOf(seat: Seat): SeatEntry | undefined {
    return this.#deps.seats.entries().find((e) => isSameSeat(e, seat));
  }

  #holds(seat: SeatEntry): boolean {
    return this.#deps.seats.held(this.#deps.clock.now()).some((s) =>
      s.zone === seat.zone && s.index === seat.index && s.epoch === seat.epoch
    );
  }
}

function nameOf(req: OperationRequest): OperationName {
  return { account: req.account, id: req.id, scope: "" };
}
