/**
 * Operations that came without a home token; their home is a seat.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { Seat, SeatDirectory, SeatEntry } from "../membership/mod.ts";
import type { OperationForwarder } from "./operation_forwarder.ts";
import { isSameSeat } from "./home_seat.ts";
import type { Replica } from "./home_token.ts";
import type { Ledger, OperationName } from "./ledger.ts";
import type { OperationRequest, RunResult } from "./operations.ts";
import type { OwnedOperations } from "./owned_operations.ts";
import type { ReplicaTable } from "./replica_table.ts";
import type { RecoveryResult, SeatRecovery } from "./seat_recovery.ts";
import type { SeatHome, SeatSetHistory } from "./seat_set_history.ts";
import { resultOf, unavailable, unknown } from "./run_results.ts";

/** Dependencies of the seat home router. */
export interface SeatHomeRouterDeps {
  readonly self: Replica;
  readonly clock: Clock;
  readonly seats: SeatDirectory;
  readonly seatSets: SeatSetHistory;
  readonly ledger: Ledger;
  readonly replicas: ReplicaTable;
  readonly owned: OwnedOperations;
  readonly recovery: SeatRecovery;
  readonly forwarder: OperationForwarder;
}

/** By then every instance has the document with the changed seats. */
const DOCUMENT_PROPAGATION_MS = 15_000;

/** Routes operations to the holder of their home seat. */
export class SeatHomeRouter {
  readonly #deps: SeatHomeRouterDeps;

  constructor(deps: SeatHomeRouterDeps) {
    this.#deps = deps;
  }

  /** Runs the operation at its home, or returns its recorded result. */
  async run(req: OperationRequest): Promise<RunResult> {
    const seat = this.#seatOf(req);
    if (seat === undefined) return unavailable("no seat is known yet");
    const own = this.own(req);
    if (own) return await own;
    const { forwarder, replicas, self } = this.#deps;
    const holder = seat.holder && seat.holder !== self.instance
      ? replicas.byInstance(seat.holder)
      : undefined;
    const forwarded = holder && await forwarder.send(req, holder);
    if (forwarded?.isOk()) return forwarded.value;
    if (forwarded?.isErr() && forwarded.error.outcome === "unknown") {
      return unknown("was sent to its home, which gave no answer");
    }
    return await this.#resultWithoutHolder(req, seat);
  }

  /** Runs the operation if this instance holds its seat; else undefined. */
  own(req: OperationRequest): Promise<RunResult> | undefined {
    const seat = this.#seatOf(req);
    if (seat === undefined || !this.#holdsSeat(seat)) return undefined;
    return this.#deps.forwarder.withCallerTimeout(req, this.#runOwn(req, seat));
  }

  async #runOwn(req: OperationRequest, seat: SeatEntry): Promise<RunResult> {
    const { ledger, owned } = this.#deps;
    const { zone, index, epoch } = seat;
    const name = nameOf(req);
    if (!ledger.has(name)) {
      const found = await this.#queryPreviousHolders(name, seat);
      if (found.kind === "incomplete") return unknown("may have run elsewhere");
      if (found.kind === "known") return resultOf(found.view, req.fingerprint);
      if (this.#isMoving(req)) return unavailable("its home is moving");
    }
    return await owned.attempt(req, {
      name,
      seat: { zone, index, epoch },
      isCurrent: () => this.#holdsSeat(seat),
    });
  }

  /** Queries replicas that may have run the id at its present or past seats. */
  async #queryPreviousHolders(
    name: OperationName,
    seat: SeatEntry,
  ): Promise<RecoveryResult> {
    const { recovery, seatSets } = this.#deps;
    const previous = seatSets.find(name).previousSeats.map((s) =>
      this.#entryOf(s)
    );
    if (recovery.isNeeded(seat)) previous.push(seat);
    for (const entry of previous) {
      if (entry === undefined) return { kind: "incomplete" };
      const found = await recovery.query(name, entry);
      if (found.kind !== "clear") return found;
    }
    return { kind: "clear" };
  }

  /** Instances that still have the old document may use the old home. */
  #isMoving(req: OperationRequest): boolean {
    const home = this.#homeOf(req);
    const since = this.#deps.clock.now() - home.changedAt;
    return home.previousSeats.length > 0 && since < DOCUMENT_PROPAGATION_MS;
  }

  /**
   * This attempt certainly did not run, but an earlier one may have. "Not run"
   * is reported only if every replica that could have a record has none.
   */
  async #resultWithoutHolder(
    req: OperationRequest,
    seat: SeatEntry,
  ): Promise<RunResult> {
    const found = await this.#deps.recovery.query(nameOf(req), seat);
    if (found.kind === "known") return resultOf(found.view, req.fingerprint);
    if (found.kind === "incomplete") {
      return unknown("has an unreachable home");
    }
    return unavailable("its home is unreachable");
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

  #holdsSeat(seat: SeatEntry): boolean {
    return this.#deps.seats.held(this.#deps.clock.now()).some((s) =>
      s.zone === seat.zone && s.index === seat.index && s.epoch === seat.epoch
    );
  }
}

function nameOf(req: OperationRequest): OperationName {
  return { account: req.account, id: req.id, scope: "" };
}
