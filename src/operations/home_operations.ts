/**
 * Operations over the whole fleet: each goes to its home, and where the home
 * is out of reach its second place answers.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { err } from "neverthrow";
import type { Clock, Log, Metrics, Random } from "../core/mod.ts";
import {
  type ForwardRequest,
  type ForwardResponse,
  ForwardResponseSchema,
  LedgerPartSchema,
  type SettleRequest,
  type SettleResponse,
} from "../gen/ledger_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { SeatDirectory } from "../membership/mod.ts";
import type {
  LedgerHandler,
  PeerSubsystem,
  PeerTransport,
} from "../peers/mod.ts";
import type { Platform } from "../store/mod.ts";
import { runResultToWire } from "./codec.ts";
import { Forwarder, requestFromWire } from "./forwarder.ts";
import { handOver } from "./handover.ts";
import type { ZoneSeats } from "./home_seat.ts";
import {
  parseHome,
  type PeerCredential,
  type Place,
  publicIncarnation,
} from "./home_token.ts";
import { DEFAULT_LEDGER_LIMITS, Ledger, type LedgerLimits } from "./ledger.ts";
import type {
  OperationRequest,
  OperationRunner,
  Operations,
  RunResult,
} from "./operations.ts";
import { OwnedOperations } from "./owned_operations.ts";
import { PlaceTable, type Vicinity } from "./places.ts";
import { RefusedAttempts } from "./refused_attempts.ts";
import { RegionHistory } from "./region_history.ts";
import { SeatHomes } from "./seat_homes.ts";
import { SeatRecovery } from "./seat_recovery.ts";
import { SeatSets } from "./seat_sets.ts";
import { FleetSecondPlaces, PeerSecondPlaces } from "./second_places.ts";
import { SecondSide } from "./second_side.ts";
import { SettleQueue } from "./settle_queue.ts";
import { StorePlace } from "./store_place.ts";
import { TokenHomes } from "./token_homes.ts";

/** What operations over the fleet need. */
export interface HomeOperationsDeps {
  /** Its incarnation is the one that batches give. */
  readonly self: PeerCredential & Vicinity;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly transport: PeerTransport;
  readonly platform: Platform;
  readonly seats: SeatDirectory;
  readonly runner: OperationRunner;
  readonly limits?: LedgerLimits;
}

const SWEEP_EVERY_MS = 1_000;

/** Runs operations at their homes. */
export class HomeOperations
  implements Operations, PeerSubsystem, LedgerHandler {
  readonly #deps: HomeOperationsDeps;
  readonly #self: Place & Vicinity;
  readonly #ledger: Ledger;
  readonly #places: PlaceTable;
  readonly #history: RegionHistory;
  readonly #queue: SettleQueue;
  readonly #store: StorePlace;
  readonly #owned: OwnedOperations;
  readonly #secondSide: SecondSide;
  readonly #tokens: TokenHomes;
  readonly #seatSets: SeatSets;
  readonly #seats: SeatHomes;
  readonly #recovery: SeatRecovery;
  readonly #forwarder: Forwarder;
  readonly #refusedAttempts = new RefusedAttempts();
  #sweptAt = 0;

  constructor(deps: HomeOperationsDeps) {
    const { clock, transport } = deps;
    const credential = {
      instance: deps.self.instance,
      incarnation: deps.self.incarnation,
    };
    const incarnation = publicIncarnation(deps.self.incarnation);
    const self = { ...deps.self, incarnation };
    const { retentionMs } = deps.limits ?? DEFAULT_LEDGER_LIMITS;
    this.#deps = deps;
    this.#self = self;
    this.#ledger = new Ledger(deps.limits);
    this.#places = new PlaceTable(clock);
    this.#queue = new SettleQueue(transport, credential);
    this.#history = new RegionHistory({ self, clock, retentionMs });
    this.#store = new StorePlace({ ...deps, self, retentionMs });
    this.#forwarder = new Forwarder({ ...deps, credential });
    const parts = {
      ...deps,
      self,
      ledger: this.#ledger,
      places: this.#places,
      queue: this.#queue,
      history: this.#history,
      store: this.#store,
      forwarder: this.#forwarder,
    };
    const seconds = new FleetSecondPlaces(
      new PeerSecondPlaces(parts),
      this.#store,
    );
    this.#owned = new OwnedOperations({ ...parts, seconds });
    this.#secondSide = new SecondSide(parts);
    this.#recovery = new SeatRecovery(parts);
    const owned = this.#owned;
    const secondSide = this.#secondSide;
    this.#tokens = new TokenHomes({ ...parts, owned, secondSide, seconds });
    const recovery = this.#recovery;
    this.#seatSets = new SeatSets({ ...deps, retentionMs });
    const seatSets = this.#seatSets;
    this.#seats = new SeatHomes({ ...parts, owned, recovery, seatSets });
  }

  /** Operations begun here that have not ended. */
  get running(): number {
    return this.#owned.running;
  }

  run(req: OperationRequest): Promise<RunResult> {
    if (req.generated) {
      return this.#forwarder.patiently(req, this.#deps.runner.run(req));
    }
    if (req.home === undefined) return this.#seats.run(req);
    const home = parseHome(req.home);
    if (home.isErr()) return Promise.resolve(err(home.error));
    return this.#tokens.run(req, home.value);
  }

  /** Takes over the zones of a newly accepted document. */
  adopt(zones: readonly ZoneSeats[]): void {
    this.#seatSets.adopt(zones);
  }

  /** The token that look-ups hand out for an instance; undefined if none. */
  homeOf(instance: string): string | undefined {
    if (instance === this.#deps.self.instance) return this.#tokens.ownHome();
    const place = this.#places.named(instance);
    if (place === undefined || !this.#places.usable(place)) return undefined;
    return place.home || undefined;
  }

  /** Forgets what is over its time; to be run each tick. */
  sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_EVERY_MS) return;
    this.#sweptAt = now;
    this.#recovery.sweep(now);
    this.#ledger.expire(now);
    this.#places.sweep(now);
    this.#history.sweep(now);
    this.#store.sweep(now);
    this.#queue.sweep();
    this.#refusedAttempts.expire(now);
    this.#deps.metrics.gauge("operations.records", this.#ledger.size);
    this.#deps.metrics.gauge("operations.answer_bytes", this.#ledger.bytes);
  }

  /**
   * Takes no new operation, lets the running ones end and gives all records to
   * a peer. Whether one took them; the batches that follow name it.
   */
  async handOver(): Promise<boolean> {
    this.#ledger.close();
    await this.#owned.settled();
    const heir = await handOver({
      self: this.#self,
      ledger: this.#ledger,
      places: this.#places,
      queue: this.#queue,
    });
    if (heir) this.#history.inherited(this.#self.incarnation, heir);
    this.#deps.log.event("operations_handed_over", { heir: heir?.instance });
    return heir !== undefined;
  }

  fill(batch: Batch, to: string): void {
    batch.ledger = create(LedgerPartSchema, {
      home: this.#tokens.ownHome() ?? "",
      clockMs: this.#deps.clock.now(),
    });
    this.#history.fill(batch.ledger, to);
  }

  absorb(batch: Batch, from: Sender): void {
    this.#places.absorb(batch, from);
    if (from.region !== this.#deps.self.region) return;
    const place = this.#places.named(from.instance);
    if (place === undefined) return;
    this.#history.heard(place.instance, place.incarnation);
    if (batch.ledger) this.#history.absorb(batch.ledger, place.incarnation);
  }

  settle(req: SettleRequest): SettleResponse {
    return this.#secondSide.settle(req);
  }

  /**
   * Runs an operation that another instance received. A stranger's is not run:
   * the account in it is taken at its word.
   */
  async forward(msg: ForwardRequest): Promise<ForwardResponse> {
    const { incarnation } = this.#self;
    if (!this.#places.recognises(msg.from)) return gone();
    if (msg.incarnation !== "" && msg.incarnation !== incarnation) {
      return gone();
    }
    const before = this.#refusedAttempts.find(msg.attempt);
    if (before) return before;
    const result = await this.#own(requestFromWire(msg));
    if (result === undefined) return gone();
    const answer = runResultToWire(result);
    if (result.isErr() && result.error.outcome === "not-run") {
      this.#refusedAttempts.add(msg.attempt, answer, this.#deps.clock.now());
    }
    return answer;
  }

  /** Runs what is this instance's to run; undefined if it is not. */
  #own(req: OperationRequest): Promise<RunResult> | undefined {
    if (req.home === undefined) return this.#seats.own(req);
    const home = parseHome(req.home);
    if (home.isErr()) return Promise.resolve(err(home.error));
    return this.#tokens.own(req, home.value);
  }
}

function gone(): ForwardResponse {
  return create(ForwardResponseSchema, { gone: true });
}
