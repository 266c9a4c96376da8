/**
 * The budgets of one instance and how they meet the rest of it: batches, calls
 * between instances, the document and the ticks.
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
import type { System } from "./tick_loop.ts";

/** Another instance and where its peer listener stands. */
export interface ReachablePeer extends BudgetPeer {
  readonly peerUrl: string;
}

/** What an instance's budgets need. */
export interface FleetBudgetsDeps {
  readonly self: BudgetPeer & InstanceIncarnation;
  readonly clock: Clock;
  readonly seats: SeatDirectory;
  readonly transport: Pick<PeerTransport, "borrow">;
  /** Instances heard of late. */
  readonly peers: () => readonly ReachablePeer[];
  /** Requests in flight at an endpoint from here, at this very moment. */
  readonly inFlight: (endpoint: EndpointId) => number;
  /**
   * Where a share that cannot be accounted for is told. Without it that is an
   * error, as models and tests want it.
   */
  readonly log?: Log;
}

/** How often it is looked whether what was lent has come back, in ms. */
const LENT_CHECK_MS = 20;

/** Rates and slots of one instance. */
export class FleetBudgets implements PeerSubsystem, System, LenderClient {
  readonly name = "budgets";
  readonly limiter: LeasedLimiter;
  readonly slotLimits: LeasedSlotLimits;
  readonly #deps: FleetBudgetsDeps;
  readonly #shares: SeatShares;
  readonly #rates: RateBudgets;
  readonly #slots: SlotBudgets;
  readonly #exchange: BudgetExchange;
  #restMs = 0;

  constructor(deps: FleetBudgetsDeps) {
    const { clock, self, peers, inFlight, log } = deps;
    this.#deps = deps;
    this.#shares = new SeatShares({
      ...self,
      seats: deps.seats,
      holdMs: () => this.#slots.holdMs(),
    });
    const shares = this.#shares;
    const restMs = () => this.#restMs;
    this.#rates = new RateBudgets({
      self,
      shares,
      peers,
      seatVacancyMs: restMs,
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
      seatVacancyMs: restMs,
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

  /** Takes over a newly accepted document, before the dispatcher does. */
  adopt(document: SteeringDocument, generation: number): void {
    this.#restMs = maxInFlightMs(document);
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

  /** Answers another instance's question for part of a budget. */
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

  /** Whether what falls to the seats held here is in use. */
  settled(now: number): boolean {
    return this.#slots.settled(now);
  }

  /** What may be spent here of an account's rate, and its tokens at hand. */
  spendable(account: AccountId, now: number): Spendable {
    return this.#rates.spendable(account, now);
  }

  /**
   * Lends nothing more and waits until what is lent has ended: whoever gets the
   * seats uses their parts at once, beside those that still had them on loan,
   * which shows as an account above its rate. Loans of rates last 0.9 s, those
   * of slots as long as the requests in them.
   */
  async handOver(): Promise<void> {
    const tables = [this.#rates, this.#slots];
    for (const table of tables) table.stopLending();
    const { clock } = this.#deps;
    while (tables.some((table) => table.hasLentLoans(clock.now()))) {
      await sleep(clock, LENT_CHECK_MS);
    }
  }

  /** The longest that `handOver` takes, in milliseconds. */
  handOverLimitMs(): number {
    return this.#slots.holdMs() + LENT_CHECK_MS;
  }

  /** Refuses whatever waits. */
  close(): void {
    this.limiter.close();
  }
}
