/**
 * Operations over the whole fleet: each goes to its home, and where the home
 * is out of reach its second place answers.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { err, ok, type Result } from "neverthrow";
import {
  type AccountId,
  type Clock,
  fail,
  type Failure,
  type Log,
  type Metrics,
  type OperationId,
  type Random,
  type ServiceId,
} from "../core/mod.ts";
import {
  type ForwardRequest,
  ForwardRequestSchema,
  type ForwardResponse,
  ForwardResponseSchema,
  LedgerPartSchema,
  type SettleRequest,
  type SettleResponse,
} from "../gen/ledger_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { SeatDirectory, SeatEntry } from "../membership/mod.ts";
import type {
  LedgerHandler,
  PeerSubsystem,
  PeerTransport,
} from "../peers/mod.ts";
import type { Platform } from "../platform/mod.ts";
import {
  fenceEntry,
  resultFromWire,
  runResultFromWire,
  runResultToWire,
} from "./codec.ts";
import { homeSeat } from "./home_seat.ts";
import {
  formatHome,
  type HomeToken,
  parseHome,
  type Place,
  scopeOf,
  TOKEN_LIFE_MS,
} from "./home_token.ts";
import { Ledger, type LedgerLimits, type OperationName } from "./ledger.ts";
import type {
  OperationRequest,
  OperationRunner,
  Operations,
  RunResult,
} from "./operations.ts";
import { OwnedOperations } from "./owned_operations.ts";
import { type KnownPlace, PlaceTable, type Vicinity } from "./places.ts";
import { RefusedAttempts } from "./refused_attempts.ts";
import { PeerSecondPlaces, type SecondPlaces } from "./second_places.ts";
import { SecondSide } from "./second_side.ts";
import { SettleQueue } from "./settle_queue.ts";
import { notNow, refused, unknown, verdictOf } from "./verdict.ts";

/** What operations over the fleet need. */
export interface HomeOperationsDeps {
  readonly self: Place & Vicinity;
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

const ATTEMPT_BYTES = 8;
const FORWARD_GRACE_MS = 50;
const SWEEP_EVERY_MS = 1_000;

/** Runs operations at their homes. */
export class HomeOperations
  implements Operations, PeerSubsystem, LedgerHandler {
  readonly #deps: HomeOperationsDeps;
  readonly #ledger: Ledger;
  readonly #places: PlaceTable;
  readonly #queue: SettleQueue;
  readonly #seconds: SecondPlaces;
  readonly #owned: OwnedOperations;
  readonly #secondSide: SecondSide;
  readonly #refusedAttempts = new RefusedAttempts();
  /** Tokens handed out up to here start nothing: some were refused for good. */
  #refusedUpToMs = -1;
  #sweptAt = 0;

  constructor(deps: HomeOperationsDeps) {
    const { self, clock, transport } = deps;
    this.#deps = deps;
    this.#ledger = new Ledger(deps.limits);
    this.#places = new PlaceTable(clock);
    this.#queue = new SettleQueue(transport);
    const shared = { self, clock, places: this.#places, ledger: this.#ledger };
    this.#seconds = new PeerSecondPlaces({ ...shared, queue: this.#queue });
    this.#owned = new OwnedOperations({
      ...shared,
      seconds: this.#seconds,
      runner: deps.runner,
      metrics: deps.metrics,
    });
    this.#secondSide = new SecondSide(shared);
  }

  /** Operations begun here that have not ended. */
  get running(): number {
    return this.#owned.running;
  }

  run(req: OperationRequest): Promise<RunResult> {
    if (req.generated) return this.#patiently(req, this.#deps.runner.run(req));
    if (req.home === undefined) return this.#atSeat(req);
    const home = parseHome(req.home);
    if (home.isErr()) return Promise.resolve(err(home.error));
    return this.#atHome(req, home.value);
  }

  /** The token that look-ups hand out for an instance; undefined if none. */
  homeOf(instance: string): string | undefined {
    if (instance === this.#deps.self.instance) return this.#ownHome();
    const place = this.#places.named(instance);
    if (place === undefined || !this.#places.usable(place)) return undefined;
    return place.home || undefined;
  }

  /** Forgets what is over its time; to be run each tick. */
  sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_EVERY_MS) return;
    this.#sweptAt = now;
    this.#ledger.expire(now);
    this.#places.sweep(now);
    this.#queue.sweep();
    this.#refusedAttempts.expire(now);
    this.#deps.metrics.gauge("operations.records", this.#ledger.size);
    this.#deps.metrics.gauge("operations.answer_bytes", this.#ledger.bytes);
  }

  fill(batch: Batch): void {
    batch.ledger = create(LedgerPartSchema, {
      home: this.#ownHome() ?? "",
      clockMs: this.#deps.clock.now(),
    });
  }

  absorb(batch: Batch, from: Sender): void {
    this.#places.absorb(batch, from);
  }

  settle(req: SettleRequest): SettleResponse {
    return this.#secondSide.settle(req);
  }

  /** Runs an operation that another instance received. */
  async forward(msg: ForwardRequest): Promise<ForwardResponse> {
    const { incarnation } = this.#deps.self;
    if (msg.incarnation !== "" && msg.incarnation !== incarnation) {
      return gone();
    }
    const before = this.#refusedAttempts.find(msg.attempt);
    if (before) return before;
    const req = requestFromWire(msg);
    const result = await this.#own(req);
    if (result === undefined) return gone();
    const answer = runResultToWire(result);
    if (result.isErr() && result.error.outcome === "not-run") {
      this.#refusedAttempts.add(msg.attempt, answer, this.#deps.clock.now());
    }
    return answer;
  }

  #ownHome(): string | undefined {
    if (this.#ledger.full || this.#ledger.closed) return undefined;
    const second = this.#seconds.current();
    if (second === undefined) return undefined;
    const { self, clock } = this.#deps;
    return formatHome({ owner: self, second, issuedMs: clock.now(), round: 0 });
  }

  /** Runs what is this instance's to run; undefined if it is not. */
  #own(req: OperationRequest): Promise<RunResult> | undefined {
    if (req.home === undefined) {
      const seat = this.#homeSeat(req);
      return seat && this.#holds(seat) ? this.#ownSeat(req, seat) : undefined;
    }
    const home = parseHome(req.home);
    if (home.isErr()) return Promise.resolve(err(home.error));
    return this.#isSelf(home.value.owner)
      ? this.#ownHomeRun(req, home.value)
      : undefined;
  }

  async #atHome(req: OperationRequest, home: HomeToken): Promise<RunResult> {
    if (this.#isSelf(home.owner)) return await this.#ownHomeRun(req, home);
    const until = this.#deps.clock.now() + req.patienceMs;
    const owner = this.#places.find(home.owner);
    const forwarded = owner && await this.#forward(req, owner);
    if (forwarded?.isOk()) return forwarded.value;
    if (this.#deps.clock.now() >= until) return outOfTime();
    return await this.#inStead(req, home);
  }

  /** The owner is out of reach; its second place says what is known. */
  async #inStead(req: OperationRequest, home: HomeToken): Promise<RunResult> {
    const name = nameOf(req, scopeOf(home));
    this.#deps.metrics.count("operations.owner_lost");
    if (this.#isSelf(home.second)) {
      const decision = this.#secondSide.fence(name, home.issuedMs);
      return verdictOf(decision, req.fingerprint);
    }
    const second = this.#places.find(home.second);
    if (second === undefined) return unknown("has lost both its records");
    const entry = fenceEntry(name, { issuedMs: home.issuedMs });
    const settled = await this.#queue.send(second, entry);
    if (settled.isErr()) return unknown("has both its records out of reach");
    return verdictOf(resultFromWire(settled.value.result), req.fingerprint);
  }

  #ownHomeRun(req: OperationRequest, home: HomeToken): Promise<RunResult> {
    const name = nameOf(req, scopeOf(home));
    const closed = this.#ledger.knows(name) ? undefined : this.#closedFor(home);
    if (closed) return Promise.resolve(closed);
    const ground = { name, second: home.second, holds: () => true };
    return this.#patiently(req, this.#owned.attempt(req, ground));
  }

  /**
   * Why a token starts nothing new. When the ledger is full there is no room
   * to remember each refusal, so all tokens handed out so far end together: a
   * late copy of a refused attempt must not run once there is room again.
   */
  #closedFor(home: HomeToken): RunResult | undefined {
    const now = this.#deps.clock.now();
    if (now - home.issuedMs > TOKEN_LIFE_MS) {
      return unknown("came with a home that is too old");
    }
    if (this.#ledger.full || this.#ledger.closed) {
      this.#refusedUpToMs = Math.floor(now);
    }
    if (home.issuedMs > this.#refusedUpToMs) return undefined;
    return refused("no more operations can be remembered at this home");
  }

  async #atSeat(req: OperationRequest): Promise<RunResult> {
    const seat = this.#homeSeat(req);
    if (seat?.holder === undefined) return notNow("its home seat is empty");
    if (seat.holder === this.#deps.self.instance) {
      if (this.#holds(seat)) return await this.#ownSeat(req, seat);
      return notNow("this instance does not surely hold the home seat");
    }
    const holder = this.#places.named(seat.holder);
    if (holder === undefined) return notNow("its home is out of reach");
    const forwarded = await this.#forward(req, holder);
    if (forwarded.isOk()) return forwarded.value;
    if (forwarded.error.outcome === "not-run") {
      return notNow("its home is out of reach");
    }
    return unknown("was sent to its home, which gave no answer");
  }

  #ownSeat(req: OperationRequest, seat: SeatEntry): Promise<RunResult> {
    const { zone, index, epoch } = seat;
    const ground = {
      name: nameOf(req, ""),
      seat: { zone, index, epoch },
      holds: () => this.#holds(seat),
    };
    return this.#patiently(req, this.#owned.attempt(req, ground));
  }

  #homeSeat(req: OperationRequest): SeatEntry | undefined {
    return homeSeat(this.#deps.seats.entries(), req);
  }

  #holds(seat: SeatEntry): boolean {
    return this.#deps.seats.held(this.#deps.clock.now()).some((s) =>
      s.zone === seat.zone && s.index === seat.index && s.epoch === seat.epoch
    );
  }

  #isSelf(place: Place): boolean {
    return place.incarnation === this.#deps.self.incarnation;
  }

  /** Fails with `not-run` where the message did not arrive, else `unknown`. */
  async #forward(
    req: OperationRequest,
    to: KnownPlace,
  ): Promise<Result<RunResult, Failure>> {
    const { random, transport, metrics } = this.#deps;
    const msg = create(ForwardRequestSchema, {
      incarnation: to.incarnation,
      account: req.account,
      id: req.id,
      fingerprint: req.fingerprint,
      home: req.home ?? "",
      service: req.service,
      method: req.method,
      path: req.path,
      headers: { ...req.headers },
      body: req.body,
      remainingMs: req.patienceMs,
      attempt: random.hex(ATTEMPT_BYTES),
    });
    metrics.count("operations.forwarded");
    const patience = Math.ceil(req.patienceMs) + FORWARD_GRACE_MS;
    const res = await transport.forward(to.peerUrl, msg, patience);
    if (res.isErr()) return err(res.error);
    if (!res.value.gone) return ok(runResultFromWire(res.value));
    return fail("not_found", "the home has moved", { outcome: "not-run" });
  }

  /** Waits no longer than the caller does; the run itself goes on. */
  #patiently(
    req: OperationRequest,
    running: Promise<RunResult>,
  ): Promise<RunResult> {
    return new Promise((resolve, reject) => {
      const timer = this.#deps.clock.after(
        req.patienceMs,
        () => resolve(outOfTime()),
      );
      running.then(resolve, reject).finally(() => timer.close());
    });
  }
}

function gone(): ForwardResponse {
  return create(ForwardResponseSchema, { gone: true });
}

function outOfTime(): RunResult {
  return fail("deadline_exceeded", "the operation may still be running", {
    outcome: "unknown",
  });
}

function nameOf(req: OperationRequest, scope: string): OperationName {
  return { account: req.account, id: req.id, scope };
}

/** Peers are trusted: they checked the key and the ids. */
function requestFromWire(msg: ForwardRequest): OperationRequest {
  return {
    account: msg.account as AccountId,
    id: msg.id as OperationId,
    fingerprint: msg.fingerprint,
    generated: false,
    service: msg.service as ServiceId,
    method: msg.method,
    path: msg.path,
    headers: msg.headers,
    body: msg.body,
    patienceMs: msg.remainingMs,
    ...(msg.home === "" ? {} : { home: msg.home }),
  };
}
