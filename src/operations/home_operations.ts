/**
 * At-most-once operations across the fleet: each is routed to its home, and its
 * backup replica answers if the home is unreachable.
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
import { OperationForwarder, requestFromWire } from "./operation_forwarder.ts";
import { handOver } from "./handover.ts";
import type { ZoneSeats } from "./home_seat.ts";
import {
  parseHomeToken,
  type PeerCredential,
  publicIncarnation,
  type Replica,
} from "./home_token.ts";
import { DEFAULT_LEDGER_LIMITS, Ledger, type LedgerLimits } from "./ledger.ts";
import type {
  OperationRequest,
  OperationRunner,
  Operations,
  RunResult,
} from "./operations.ts";
import { OwnedOperations } from "./owned_operations.ts";
import { type Locality, ReplicaTable } from "./replica_table.ts";
import { RefusedAttempts } from "./refused_attempts.ts";
import { DepartureHistory } from "./departure_history.ts";
import { SeatHomeRouter } from "./seat_home_router.ts";
import { SeatRecovery } from "./seat_recovery.ts";
import { SeatSetHistory } from "./seat_set_history.ts";
import { FallbackBackupWriter, PeerBackupWriter } from "./backup_writer.ts";
import { SettleHandler } from "./settle_handler.ts";
import { SettleQueue } from "./settle_queue.ts";
import { StoreBackup } from "./store_backup.ts";
import { TokenHomeRouter } from "./token_home_router.ts";

/** Dependencies of fleet-wide operations. */
export interface HomeOperationsDeps {
  /** The incarnation is the one sent in gossip batches. */
  readonly self: PeerCredential & Locality;
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

/** Routes operations to their homes and runs those of this instance. */
export class HomeOperations
  implements Operations, PeerSubsystem, LedgerHandler {
  readonly #deps: HomeOperationsDeps;
  readonly #self: Replica & Locality;
  readonly #ledger: Ledger;
  readonly #replicas: ReplicaTable;
  readonly #history: DepartureHistory;
  readonly #queue: SettleQueue;
  readonly #store: StoreBackup;
  readonly #owned: OwnedOperations;
  readonly #settleHandler: SettleHandler;
  readonly #tokens: TokenHomeRouter;
  readonly #seatSets: SeatSetHistory;
  readonly #seats: SeatHomeRouter;
  readonly #recovery: SeatRecovery;
  readonly #forwarder: OperationForwarder;
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
    this.#replicas = new ReplicaTable(clock);
    this.#queue = new SettleQueue(transport, credential);
    this.#history = new DepartureHistory({ self, clock, retentionMs });
    this.#store = new StoreBackup({ ...deps, self, retentionMs });
    this.#forwarder = new OperationForwarder({ ...deps, credential });
    const shared = {
      ...deps,
      self,
      ledger: this.#ledger,
      replicas: this.#replicas,
      queue: this.#queue,
      history: this.#history,
      store: this.#store,
      forwarder: this.#forwarder,
    };
    const seconds = new FallbackBackupWriter(
      new PeerBackupWriter(shared),
      this.#store,
    );
    this.#owned = new OwnedOperations({ ...shared, seconds });
    this.#settleHandler = new SettleHandler(shared);
    this.#recovery = new SeatRecovery(shared);
    const owned = this.#owned;
    const settleHandler = this.#settleHandler;
    this.#tokens = new TokenHomeRouter({
      ...shared,
      owned,
      settleHandler,
      seconds,
    });
    const recovery = this.#recovery;
    this.#seatSets = new SeatSetHistory({ ...deps, retentionMs });
    const seatSets = this.#seatSets;
    this.#seats = new SeatHomeRouter({ ...shared, owned, recovery, seatSets });
  }

  /** The number of operations started here that have not ended. */
  get running(): number {
    return this.#owned.running;
  }

  run(req: OperationRequest): Promise<RunResult> {
    if (req.hasGeneratedId) {
      return this.#forwarder.withCallerTimeout(req, this.#deps.runner.run(req));
    }
    if (req.home === undefined) return this.#seats.run(req);
    const home = parseHomeToken(req.home);
    if (home.isErr()) return Promise.resolve(err(home.error));
    return this.#tokens.run(req, home.value);
  }

  /** Applies the zones of a newly accepted document. */
  adopt(zones: readonly ZoneSeats[]): void {
    this.#seatSets.adopt(zones);
  }

  /** The home token that lookups return for an instance; undefined if none. */
  homeTokenOf(instance: string): string | undefined {
    if (instance === this.#deps.self.instance) return this.#tokens.ownToken();
    const peer = this.#replicas.byInstance(instance);
    if (peer === undefined || !this.#replicas.usable(peer)) return undefined;
    return peer.home || undefined;
  }

  /** Removes expired state; to be called on each tick. */
  sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_EVERY_MS) return;
    this.#sweptAt = now;
    this.#recovery.sweep(now);
    this.#ledger.expire(now);
    this.#replicas.sweep(now);
    this.#history.sweep(now);
    this.#store.sweep(now);
    this.#queue.sweep();
    this.#refusedAttempts.expire(now);
    this.#deps.metrics.gauge("operations.records", this.#ledger.size);
    this.#deps.metrics.gauge("operations.answer_bytes", this.#ledger.bytes);
  }

  /**
   * Rejects new operations, waits for the running ones and copies all records
   * to a peer. Returns whether one accepted them; later batches name it.
   */
  async handOver(): Promise<boolean> {
    this.#ledger.close();
    await this.#owned.settled();
    const peer = await handOver({
      self: this.#self,
      ledger: this.#ledger,
      replicas: this.#replicas,
      queue: this.#queue,
    });
    if (peer) this.#history.setSuccessor(this.#self.incarnation, peer);
    this.#deps.log.event("operations_handed_over", { heir: peer?.instance });
    return peer !== undefined;
  }

  fill(batch: Batch, to: string): void {
    batch.ledger = create(LedgerPartSchema, {
      home: this.#tokens.ownToken() ?? "",
      clockMs: this.#deps.clock.now(),
    });
    this.#history.fill(batch.ledger, to);
  }

  receive(batch: Batch, from: Sender): void {
    this.#replicas.recordSender(batch, from);
    if (from.region !== this.#deps.self.region) return;
    const replica = this.#replicas.byInstance(from.instance);
    if (replica === undefined) return;
    this.#history.heard(replica.instance, replica.incarnation);
    if (batch.ledger) this.#history.merge(batch.ledger, replica.incarnation);
  }

  settle(req: SettleRequest): SettleResponse {
    return this.#settleHandler.settle(req);
  }

  /**
   * Runs an operation that another instance received. A sender that is not a
   * known peer is rejected, since the account in the message is trusted.
   */
  async forward(msg: ForwardRequest): Promise<ForwardResponse> {
    const { incarnation } = this.#self;
    if (!this.#replicas.authenticates(msg.from)) return gone();
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

  /** Runs the operation if its home is here; else returns undefined. */
  #own(req: OperationRequest): Promise<RunResult> | undefined {
    if (req.home === undefined) return this.#seats.own(req);
    const home = parseHomeToken(req.home);
    if (home.isErr()) return Promise.resolve(err(home.error));
    return this.#tokens.own(req, home.value);
  }
}

function gone(): ForwardResponse {
  return create(ForwardResponseSchema, { gone: true });
}
