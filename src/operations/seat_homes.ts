/**
 * Operations that came without a home token; a seat is their home.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { SeatDirectory, SeatEntry } from "../membership/mod.ts";
import type { Forwarder } from "./forwarder.ts";
import { homeSeat } from "./home_seat.ts";
import type { Place } from "./home_token.ts";
import type { Ledger, OperationName } from "./ledger.ts";
import type { OperationRequest, RunResult } from "./operations.ts";
import type { OwnedOperations } from "./owned_operations.ts";
import type { PlaceTable } from "./places.ts";
import type { SeatRecovery } from "./seat_recovery.ts";
import { notNow, unknown, verdictOf } from "./verdict.ts";

/** What seat homes need. */
export interface SeatHomesDeps {
  readonly self: Place;
  readonly clock: Clock;
  readonly seats: SeatDirectory;
  readonly ledger: Ledger;
  readonly places: PlaceTable;
  readonly owned: OwnedOperations;
  readonly recovery: SeatRecovery;
  readonly forwarder: Forwarder;
}

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
    const { ledger, owned, recovery } = this.#deps;
    const { zone, index, epoch } = seat;
    const name = nameOf(req);
    if (!ledger.knows(name) && recovery.needed(seat)) {
      const found = await recovery.ask(name, seat);
      if (found.kind === "incomplete") return unknown("may be known elsewhere");
      if (found.kind === "known") return verdictOf(found.view, req.fingerprint);
    }
    return await owned.attempt(req, {
      name,
      seat: { zone, index, epoch },
      holds: () => this.#holds(seat),
    });
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
    return homeSeat(this.#deps.seats.entries(), req);
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
