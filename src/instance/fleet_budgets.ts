/**
 * Rate and slot budgets of one instance, connected to peer batches, borrow
 * calls, the document and the tick loop.
 *
 * @module
 */
import {
  type AccountId,
  type Clock,
  type EndpointId,
  type Log,
  sleep,
} from "../core/mod.ts";
import {
  BudgetExchange,
  type BudgetPeer,
  type InstanceIncarnation,
  RateBudgets,
  SeatShares,
  SlotBudgets,
  type Spendable,
} from "../decisions/budgets/mod.ts";
import {
  BorrowRounds,
  LeasedLimiter,
  type LenderClient,
} from "../decisions/limits/mod.ts";
import { LeasedSlotLimits } from "../decisions/steering/mod.ts";
import type { SteeringDocument } from "../document/mod.ts";
import type { BorrowAnswer, BorrowCall } from "../gen/budget_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import { maxInFlightMs, type SeatDirectory } from "../membership/mod.ts";
import type { PeerSubsystem, PeerTransport } from "../peers/mod.ts";
import type { TickTask } from "./tick_loop.ts";

/** Another instance and the URL of its peer listener. */
export interface ReachablePeer extends BudgetPeer {
  readonly peerUrl: string;
}

/** Dependencies of {@link FleetBudgets}. */
export interface FleetBudgetsDeps {
  readonly self: BudgetPeer & InstanceIncarnation;
  readonly clock: Clock;
  readonly seats: SeatDirectory;
  readonly transport: Pick<PeerTransport, "borrow">;
  /** Instances that sent a batch recently. */
  readonly peers: () => readonly ReachablePeer[];
  /** Requests from this instance currently in flight at an endpoint. */
  readonly inFlight: (endpoint: EndpointId) => number;
  /**
   * Receives an event for an account whose shares are overallocated. Without
   * it that throws, as models and tests require.
   */
  readonly log?: Log;
}

/** How often a hand-over checks for outstanding loans. */
const LOAN_POLL_MS = 20;

/** Rates and slots of one instance. */
export class FleetBudgets implements PeerSubsystem, TickTask, LenderClient {
  readonly name = "budgets";
  readonly limiter: LeasedLimiter;
  readonly slotLimits: LeasedSlotLimits;
  readonly #deps: FleetBudgetsDeps;
  readonly #shares: SeatShares;
  readonly #rates: RateBudgets;
  readonly #slots: SlotBudgets;
  readonly #exchange: BudgetExchange;
  #seatVacancyMs = 0;

  constructor(deps: FleetBudgetsDeps) {
    const { clock, self, peers, inFlight, log } = deps;
    this.#deps = deps;
    this.#shares = new SeatShares({
      ...self,
      seats: deps.seats,
      holdMs: () => this.#slots.holdMs(),
    });
    const shares = this.#shares;
    const seatVacancyMs = () => this.#seatVacancyMs;
    this.#rates = new RateBudgets({
      self,
      shares,
      peers,
      seatVacancyMs,
      onShareGrown: (account) => this.limiter.serveWaiting(account),
      ...(log === undefined ? {} : {
        onOverallocated: (account, reason) =>
          log.event("budget_suspended", { account, reason }),
      }),
    });
    this.#slots = new SlotBudgets({
      self,
      shares,
      peers,
      inFlight,
      seatVacancyMs,
    });
    this.#exchange = new BudgetExchange({ self, clock, shares });
    this.#exchange.register(this.#rates);
    this.#exchange.register(this.#slots);
    const budgets = this.#rates;
    this.limiter = new LeasedLimiter({
      clock,
      budgets,
      rounds: (onEnd) =>
        new BorrowRounds({
          clock,
          self,
          budgets,
          lenders: this,
          peers,
          onEnd,
        }),
    });
    this.slotLimits = new LeasedSlotLimits(this.#slots);
  }

  /** Adopts a newly accepted document; must run before the dispatcher adopts it. */
  adopt(document: SteeringDocument, generation: number): void {
    this.#seatVacancyMs = maxInFlightMs(document);
    this.#shares.adopt(document, generation, this.#deps.clock.now());
    this.limiter.adopt(document);
  }

  run(now: number): void {
    this.#shares.run(now);
    this.#rates.run(now);
    this.#slots.run(now);
  }

  fill(batch: Batch, to: string): void {
    this.#exchange.fill(batch, to);
  }

  receive(batch: Batch, from: Sender): void {
    this.#exchange.absorb(batch, from);
  }

  /** Answers another instance's request to borrow budget. */
  answer(call: BorrowCall): BorrowAnswer {
    return this.#exchange.answer(call);
  }

  borrow(
    lender: BudgetPeer,
    ask: Parameters<LenderClient["borrow"]>[1],
    done: () => void,
  ): void {
    const { instance } = lender;
    const peer = this.#deps.peers().find((p) => p.instance === instance);
    if (peer === undefined) return done();
    const call = this.#exchange.call(instance, ask);
    void this.#deps.transport.borrow(peer.peerUrl, call).then((answer) => {
      if (answer.isOk()) this.#exchange.answered(answer.value, instance);
      done();
    });
  }

  /** Whether this instance holds seats and may use all their slots. */
  settled(now: number): boolean {
    return this.#slots.settled(now);
  }

  /** Spendable part of an account's rate here, and the available tokens. */
  spendable(account: AccountId, now: number): Spendable {
    return this.#rates.spendable(account, now);
  }

  /**
   * Stops lending and waits until all loans have ended. The next holder uses the
   * seats' shares at once; with loans outstanding, an account would exceed its
   * rate. Rate loans last 0.9 s, slot loans as long as the requests using them.
   */
  async handOver(): Promise<void> {
    const tables = [this.#rates, this.#slots];
    for (const table of tables) table.stopLending();
    const { clock } = this.#deps;
    while (tables.some((table) => table.hasLentLoans(clock.now()))) {
      await sleep(clock, LOAN_POLL_MS);
    }
  }

  /** Upper bound on the duration of `handOver`, in milliseconds. */
  maxHandOverMs(): number {
    return this.#slots.holdMs() + LOAN_POLL_MS;
  }

  /** Refuses all waiting requests. */
  close(): void {
    this.limiter.close();
  }
}
