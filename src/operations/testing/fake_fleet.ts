/**
 * Operations of several instances in one process, with a fake network, an
 * endpoint that counts dispatches, and a manual clock.
 *
 * @module
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { setImmediate } from "node:timers/promises";
import { ok, type Result } from "neverthrow";
import {
  type AccountId,
  type Clock,
  fail,
  type Failure,
  type InstanceId,
  ManualClock,
  MemoryMetrics,
  type OperationId,
  SeededRandom,
  type ServiceId,
  SilentLog,
  sleep,
  type Timer,
  type ZoneId,
} from "../../core/mod.ts";
import {
  EntryKind,
  type ForwardRequest,
  ForwardRequestSchema,
  type ForwardResponse,
  ForwardResponseSchema,
  type SettleRequest,
  SettleRequestSchema,
  type SettleResponse,
  SettleResponseSchema,
} from "../../gen/ledger_pb.ts";
import { BatchSchema, type Sender, SenderSchema } from "../../gen/peer_pb.ts";
import type { HeldSeat, SeatEntry } from "../../membership/mod.ts";
import type { PeerTransport } from "../../peers/mod.ts";
import { MemoryPlatform, type Platform } from "../../store/mod.ts";
import { HomeOperations } from "../home_operations.ts";
import type { ZoneSeats } from "../home_seat.ts";
import { DEFAULT_LEDGER_LIMITS, type LedgerLimits } from "../ledger.ts";
import type { OperationRequest, RunResult } from "../operations.ts";

/** A message in transit. */
export interface FakeMessage {
  readonly from: string;
  readonly to: string;
  readonly kind: "settle" | "forward";
  readonly stage: "request" | "answer";
  readonly entries: readonly EntryKind[];
}

/** How the network treats a message. */
export type Delivery = "deliver" | "lose" | "repeat" | "late";

/** One attempt of a caller, and its result. */
export interface Attempt {
  readonly number: number;
  readonly id: string;
  readonly home: string | undefined;
  result: RunResult | undefined;
}

/** A dispatch received by the endpoint. */
export interface Dispatch {
  readonly attempt: number;
  readonly id: string;
  readonly by: string;
}

/** Options of a fleet. */
export interface FakeFleetOptions {
  readonly seed?: number;
  readonly limits?: Partial<LedgerLimits>;
  readonly zones?: readonly (readonly [region: string, zone: string])[];
  readonly perZone?: number;
}

const GOSSIP_INTERVAL_MS = 100;
const STEP_MS = 10;
const LATE_DELAY_MS = 3_000;
const FLUSH_TURNS = 12;
const MAX_RUN_MS = 2_000;
const MAX_OFFSET_MS = 10_000_000;

/** A clock with its own zero, as each process has. */
class OffsetClock implements Clock {
  readonly #base: Clock;
  readonly #offsetMs: number;

  constructor(base: Clock, offsetMs: number) {
    this.#base = base;
    this.#offsetMs = offsetMs;
  }

  now(): number {
    return this.#base.now() + this.#offsetMs;
  }

  wall(): number {
    return this.#base.wall();
  }

  after(ms: number, run: () => void): Timer {
    return this.#base.after(ms, run);
  }
}

/** One instance of the fake fleet. */
export class FakeNode {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly incarnation: string;
  readonly operations: HomeOperations;
  alive = true;
  leaving = false;
  readonly #clock: Clock;
  #paused: Promise<void> | undefined;
  #resume: (() => void) | undefined;

  constructor(
    fleet: FakeFleet,
    identity: {
      name: string;
      zone: string;
      region: string;
      incarnation: string;
    },
    limits: LedgerLimits,
  ) {
    this.name = identity.name;
    this.zone = identity.zone;
    this.region = identity.region;
    this.incarnation = identity.incarnation;
    const offsetMs = fleet.random.below(MAX_OFFSET_MS);
    this.#clock = new OffsetClock(fleet.clock, offsetMs);
    this.operations = new HomeOperations({
      self: { ...identity, instance: identity.name },
      clock: this.#clock,
      random: fleet.random,
      metrics: new MemoryMetrics(),
      log: new SilentLog(),
      transport: fleet.transport(this),
      platform: fleet.platformFor(this),
      seats: {
        entries: () => fleet.seats,
        held: () => fleet.held(this),
      },
      runner: {
        maxRunMs: () => MAX_RUN_MS,
        run: (req) => fleet.dispatch(this, req),
      },
      limits,
    });
  }

  /** Resolves while the process runs; never for a killed process. */
  async waitUntilRunning(): Promise<void> {
    await this.#paused;
    if (!this.alive) await new Promise(() => {});
  }

  pause(): void {
    this.#paused ??= new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  get paused(): boolean {
    return this.#paused !== undefined;
  }

  resume(): void {
    this.#resume?.();
    this.#paused = undefined;
  }

  sweep(): void {
    this.operations.sweep(this.#clock.now());
  }

  sender(): Sender {
    return create(SenderSchema, {
      instance: this.name,
      zone: this.zone,
      region: this.region,
      incarnation: this.incarnation,
      peerUrl: this.name,
      leaving: this.leaving,
    });
  }
}

/** A fleet of fake nodes. */
export class FakeFleet {
  readonly clock = new ManualClock();
  readonly random: SeededRandom;
  readonly platform: MemoryPlatform;
  readonly nodes = new Map<string, FakeNode>();
  readonly attempts: Attempt[] = [];
  readonly dispatches: Dispatch[] = [];
  platformDown = false;
  seats: SeatEntry[] = [];
  zones: readonly ZoneSeats[] = [];
  /** Called for each message; decides how it is delivered. */
  onMessage: (msg: FakeMessage) => Delivery = () => "deliver";
  /** Called when the endpoint receives a request; returns its answer. */
  onDispatch: (dispatch: Dispatch) => Promise<RunResult> = (d) =>
    Promise.resolve(answerOf(d.attempt));
  /** Pairs of nodes that cannot reach each other. */
  readonly cuts = new Set<string>();
  readonly #limits: LedgerLimits;
  #nextGossipAt = 0;

  constructor(opts: FakeFleetOptions = {}) {
    this.random = new SeededRandom(opts.seed ?? 1);
    this.platform = new MemoryPlatform(this.clock);
    this.#limits = { ...DEFAULT_LEDGER_LIMITS, ...opts.limits };
    const zones = opts.zones ?? [["r1", "r1-a"], ["r1", "r1-b"]];
    const instances = opts.perZone ?? 2;
    this.zones = zones.map(([, zone]) => ({ zone: zone as ZoneId, instances }));
    for (const [region, zone] of zones) {
      for (let i = 0; i < instances; i++) {
        const name = `${zone}-${i + 1}`;
        this.start(name, { zone, region });
        this.seats.push({
          zone: zone as ZoneId,
          index: i,
          holder: name as InstanceId,
          incarnation: this.node(name).incarnation,
          epoch: 1,
        });
      }
    }
  }

  node(name: string): FakeNode {
    const node = this.nodes.get(name);
    if (node === undefined) throw new RangeError(`no node ${name}`);
    return node;
  }

  /** Starts an instance, replacing any earlier one of that name. */
  start(name: string, at: { zone: string; region: string }): FakeNode {
    const incarnation = this.random.hex(4);
    const identity = { name, ...at, incarnation };
    const node = new FakeNode(this, identity, this.#limits);
    node.operations.adopt(this.zones);
    this.nodes.set(name, node);
    return node;
  }

  /** Applies a document with other seats at every node. */
  adopt(zones: readonly ZoneSeats[]): void {
    this.zones = zones;
    for (const node of this.nodes.values()) node.operations.adopt(zones);
  }

  kill(name: string): void {
    this.node(name).alive = false;
  }

  /** Moves all seats of one holder to another, in a new epoch. */
  moveSeats(from: string, to: string): void {
    this.seats = this.seats.map((s) =>
      s.holder !== from ? s : {
        ...s,
        holder: to as InstanceId,
        incarnation: this.node(to).incarnation,
        epoch: s.epoch + 1,
      }
    );
  }

  /** Partitions two nodes from each other, or reconnects them. */
  cut(a: string, b: string, isCut = true): void {
    for (const pair of [`${a} ${b}`, `${b} ${a}`]) {
      if (isCut) this.cuts.add(pair);
      else this.cuts.delete(pair);
    }
  }

  /** Sends an attempt to a node; its result is stored in the attempt. */
  send(
    node: string,
    opts: {
      id: string;
      home?: string | undefined;
      maxWaitMs?: number;
      body?: string;
    },
  ): Attempt {
    const number = this.attempts.length;
    const { id, home } = opts;
    const attempt: Attempt = { number, id, home, result: undefined };
    this.attempts.push(attempt);
    void this.#send(this.node(node), attempt, opts);
    return attempt;
  }

  /** Advances the clock, with gossip exchanged as in a running fleet. */
  async advance(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= STEP_MS) {
      await this.flush();
      if (this.clock.now() >= this.#nextGossipAt) this.#exchangeGossip();
      this.clock.advance(STEP_MS);
    }
    await this.flush();
  }

  /** Runs all pending work that needs no time to pass. */
  async flush(): Promise<void> {
    for (let i = 0; i < FLUSH_TURNS; i++) await setImmediate();
  }

  /** Violations of the at-most-once guarantee; empty if there are none. */
  violations(): string[] {
    const found: string[] = [];
    const runs = new Map<string, number>();
    for (const { id } of this.dispatches) {
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
    for (const [id, n] of runs) if (n > 1) found.push(`${id} ran ${n} times`);
    const ran = new Set(this.dispatches.map((d) => d.attempt));
    for (const { number, id, home, result } of this.attempts) {
      if (result?.isErr() && result.error.outcome === "not-run") {
        if (ran.has(number)) {
          found.push(`${id}: attempt ${number} ran, reported not-run`);
        }
      }
      if (result?.isErr() && result.error.code === "operation_refused") {
        const underHome = this.dispatches.some((d) =>
          d.id === id && this.attempts[d.attempt]?.home === home
        );
        if (underHome) found.push(`${id}: ran at a home that refused it`);
      }
      if (result?.isOk() && !runs.has(id)) found.push(`${id}: answer, no run`);
    }
    return found;
  }

  /** The network as seen by one node. */
  transport(node: FakeNode): PeerTransport {
    return {
      exchange: () => Promise.resolve(fail("peer_unavailable", "unused")),
      settle: (url, req, timeoutMs) =>
        this.#settle(node, { url, req, timeoutMs }),
      forward: (url, req, timeoutMs) =>
        this.#forward(node, { url, req, timeoutMs }),
      borrow: () => Promise.resolve(fail("peer_unavailable", "unused")),
      close: () => Promise.resolve(),
    };
  }

  /** The store as seen by one node. */
  platformFor(node: FakeNode): Platform {
    const down = async () => {
      await node.waitUntilRunning();
      return this.platformDown;
    };
    const failed = () => fail("platform_unavailable", "down");
    const store = this.platform;
    return {
      get: async (key) => await down() ? failed() : await store.get(key),
      list: async (key) => await down() ? failed() : await store.list(key),
      put: async (key, value, condition) =>
        await down() ? failed() : await store.put(key, value, condition),
      watch: () => Promise.resolve(failed()),
      instances: () => Promise.resolve(failed()),
      announce: () => Promise.resolve(failed()),
      close: () => Promise.resolve(),
    };
  }

  held(node: FakeNode): HeldSeat[] {
    return this.seats.filter((s) => s.holder === node.name).map((s) => ({
      zone: s.zone,
      index: s.index,
      epoch: s.epoch,
      part: 1,
      until: Infinity,
    }));
  }

  async dispatch(node: FakeNode, req: OperationRequest): Promise<RunResult> {
    await node.waitUntilRunning();
    const attempt = Number(req.headers["x-attempt"]);
    const dispatch = { attempt, id: req.id, by: node.name };
    this.dispatches.push(dispatch);
    const result = await this.onDispatch(dispatch);
    if (result.isErr() && result.error.outcome === "not-run") {
      this.dispatches.splice(this.dispatches.indexOf(dispatch), 1);
    }
    await node.waitUntilRunning();
    return result;
  }

  async #send(
    node: FakeNode,
    attempt: Attempt,
    opts: { maxWaitMs?: number; body?: string },
  ): Promise<void> {
    if (!node.alive) return;
    await node.waitUntilRunning();
    const result = await node.operations.run({
      account: "a1" as AccountId,
      id: attempt.id as OperationId,
      hasGeneratedId: false,
      fingerprint: opts.body ?? "same",
      service: "s1" as ServiceId,
      method: "POST",
      path: "/",
      headers: { "x-attempt": String(attempt.number) },
      body: new Uint8Array(),
      maxWaitMs: opts.maxWaitMs ?? MAX_RUN_MS,
      ...(attempt.home ? { home: attempt.home } : {}),
    });
    await node.waitUntilRunning();
    attempt.result = result;
  }

  #exchangeGossip(): void {
    this.#nextGossipAt = this.clock.now() + GOSSIP_INTERVAL_MS;
    const up = [...this.nodes.values()].filter((n) => n.alive && !n.paused);
    for (const from of up) {
      from.sweep();
      for (const to of up) {
        if (from === to || this.cuts.has(`${from.name} ${to.name}`)) continue;
        const batch = create(BatchSchema, { sender: from.sender() });
        from.operations.fill(batch, to.name);
        to.operations.receive(batch, from.sender());
      }
    }
  }

  #settle(
    node: FakeNode,
    call: { url: string; req: SettleRequest; timeoutMs: number },
  ): Promise<Result<SettleResponse, Failure>> {
    const bytes = toBinary(SettleRequestSchema, call.req);
    return this.#call(node, {
      ...call,
      kind: "settle",
      entries: call.req.entries.map((e) => e.kind),
      run: (to) => {
        const res = to.operations.settle(
          fromBinary(SettleRequestSchema, bytes),
        );
        const answer = toBinary(SettleResponseSchema, res);
        return Promise.resolve(fromBinary(SettleResponseSchema, answer));
      },
    });
  }

  #forward(
    node: FakeNode,
    call: { url: string; req: ForwardRequest; timeoutMs: number },
  ): Promise<Result<ForwardResponse, Failure>> {
    const bytes = toBinary(ForwardRequestSchema, call.req);
    return this.#call(node, {
      ...call,
      kind: "forward",
      entries: [],
      run: async (to) => {
        const msg = fromBinary(ForwardRequestSchema, bytes);
        const res = await to.operations.forward(msg);
        const answer = toBinary(ForwardResponseSchema, res);
        return fromBinary(ForwardResponseSchema, answer);
      },
    });
  }

  async #call<T>(
    from: FakeNode,
    call: {
      url: string;
      timeoutMs: number;
      kind: FakeMessage["kind"];
      entries: EntryKind[];
      run: (to: FakeNode) => Promise<T>;
    },
  ): Promise<Result<T, Failure>> {
    await from.waitUntilRunning();
    const timeout = this.#timeout(call.timeoutMs);
    const result = await Promise.race([this.#deliver(from, call), timeout]);
    await from.waitUntilRunning();
    return result as Result<T, Failure>;
  }

  async #timeout(ms: number): Promise<Result<never, Failure>> {
    await sleep(this.clock, ms);
    return fail("peer_unavailable", "timeout", { outcome: "unknown" });
  }

  async #deliver<T>(
    from: FakeNode,
    { url, kind, entries, run }: {
      url: string;
      kind: FakeMessage["kind"];
      entries: EntryKind[];
      run: (to: FakeNode) => Promise<T>;
    },
  ): Promise<Result<T, Failure>> {
    const never = new Promise<never>(() => {});
    const to = this.nodes.get(url);
    const about = { from: from.name, to: url, kind, entries };
    const action = this.onMessage({ ...about, stage: "request" });
    if (this.cuts.has(`${from.name} ${url}`) || action === "lose") return never;
    if (to === undefined || !to.alive) {
      return fail("peer_unavailable", "refused", { outcome: "not-run" });
    }
    if (action === "late") await sleep(this.clock, LATE_DELAY_MS);
    await to.waitUntilRunning();
    if (action === "repeat") {
      void sleep(this.clock, LATE_DELAY_MS).then(() => to.waitUntilRunning())
        .then(() => run(to));
    }
    const answer = await run(to);
    await to.waitUntilRunning();
    const answerDelivery = this.onMessage({ ...about, stage: "answer" });
    if (
      this.cuts.has(`${url} ${from.name}`) || answerDelivery === "lose"
    ) return never;
    return ok(answer);
  }
}

/** The endpoint's answer to an attempt. */
export function answerOf(attempt: number): RunResult {
  const body = new TextEncoder().encode(`done by ${attempt}`);
  return ok({ status: 200, headers: {}, body });
}

/** An attempt's result as a short text. */
export function resultText(attempt: Attempt): string {
  if (attempt.result === undefined) return "nothing";
  if (attempt.result.isOk()) {
    return new TextDecoder().decode(attempt.result.value.body);
  }
  return attempt.result.error.outcome ?? "no outcome";
}
