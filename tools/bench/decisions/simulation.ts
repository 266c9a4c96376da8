/**
 * Simulates the callers, dispatchers and endpoints of one deployment in virtual
 * time and without a network, to compare dispatchers by what callers get.
 *
 * @module
 */
import {
  type AccountId,
  type EndpointId,
  ManualClock,
  MemoryMetrics,
  type Random,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../../../src/core/mod.ts";
import { TokenBucket } from "../../../src/decisions/limits/mod.ts";
import {
  type Dispatcher,
  EvenSlotLimits,
  FairDispatcher,
  RoundRobinDispatcher,
  type Slot,
} from "../../../src/decisions/steering/mod.ts";
import type { SteeringDocument } from "../../../src/document/mod.ts";
import {
  accountsOf,
  documentOf,
  fairShare,
  type FleetShape,
  seatsOf,
} from "./fleet_shape.ts";
import { LatencyList } from "./latency_list.ts";

/** Behaviour of callers and endpoints; loads are fractions of the capacity. */
export interface LoadPattern {
  readonly name: string;
  /** Offered load of an account at a time in seconds; 1 fills every slot. */
  readonly load: (account: number, seconds: number) => number;
  /** An account's rate, as a fraction of the capacity. */
  readonly rate: (account: number) => number;
  /** Fraction of an account's requests that are long. */
  readonly longFraction?: (account: number) => number;
  readonly longFactor?: number;
  /** Factor by which an endpoint is slower. */
  readonly slowness?: (endpoint: number) => number;
  /** When the first endpoint is drained, in seconds. */
  readonly drainAt?: number;
}

/** Results of a run. */
export interface RunReport {
  readonly goodputPerS: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** p99 latency of short requests, in milliseconds. */
  readonly shortP99Ms: number;
  /** Lowest served fraction of what an account was due, over all accounts. */
  readonly worstAccount: number;
  /** Fraction of the requests within rate that were not served. */
  readonly wrongfulRefusals: number;
  /** Mean fraction of slots that were free. */
  readonly headroom: number;
  readonly drainMs: number | null;
  /** Requests that reached the endpoint two seconds or more after its drain. */
  readonly afterDrain: number;
  /** Most requests beyond an endpoint's slots; 0 if never exceeded. */
  readonly overSlots: number;
}

/** Which dispatcher is simulated. */
export type DispatcherKind = "fair" | "round-robin";

interface Endpoint {
  readonly index: number;
  running: number;
}

interface SimulatedRequest {
  readonly account: number;
  /** Whether it was sent after the warm-up. */
  readonly counts: boolean;
  readonly long: boolean;
  readonly sentAt: number;
  readonly deadline: number;
  tries: number;
}

interface Tally {
  withinRate: number;
  served: number;
}

const SERVICE = "s" as ServiceId;
const STEP_MS = 1;
const TICK_MS = 100;
const DEADLINE_FACTOR = 12;
const MAX_ATTEMPTS = 3;
const BURST_S = 0.5;
const MICROTASK_TURNS = 4;
/** Latency estimates and queues settle before anything is counted. */
const WARM_UP_S = 2;
const AFTER_DRAIN_MS = 2_000;

/** Simulates a pattern and reports what callers got. */
export async function simulate(
  shape: FleetShape,
  pattern: LoadPattern,
  { kind, seconds, seed }: {
    kind: DispatcherKind;
    seconds: number;
    seed: number;
  },
): Promise<RunReport> {
  const simulation = new Simulation(shape, pattern, { kind, seed });
  const steps = (WARM_UP_S + seconds) * 1_000 / STEP_MS;
  for (let i = 0; i < steps; i++) await simulation.step(true);
  // The last requests still have until their deadlines.
  const remainingSteps = simulation.longestMs / STEP_MS;
  for (let i = 0; i < remainingSteps; i++) await simulation.step(false);
  return simulation.report(seconds);
}

class Simulation {
  readonly #shape: FleetShape;
  readonly #pattern: LoadPattern;
  readonly #clock = new ManualClock();
  readonly #random: Random;
  readonly #dispatchers: Dispatcher[];
  readonly #endpoints = new Map<string, Endpoint>();
  readonly #scheduled = new Map<number, (() => void)[]>();
  readonly #rateLimits: TokenBucket[];
  readonly #tallies: Tally[];
  readonly #latencies = new LatencyList();
  readonly #shortLatencies = new LatencyList();
  #served = 0;
  #overSlots = 0;
  #busySum = 0;
  #busySamples = 0;
  #drainMs: number | null = null;
  #afterDrain = 0;
  #drained = false;

  constructor(
    shape: FleetShape,
    pattern: LoadPattern,
    { kind, seed }: { kind: DispatcherKind; seed: number },
  ) {
    this.#shape = shape;
    this.#pattern = pattern;
    this.#random = new SeededRandom(seed);
    const document = documentOf(shape);
    for (let i = 0; i < shape.endpoints; i++) {
      this.#endpoints.set(`e${i}`, { index: i, running: 0 });
    }
    const count = shape.zones * shape.instancesPerZone;
    this.#dispatchers = Array.from(
      { length: count },
      (_, i) => this.#dispatcher(i, { kind, seed, document }),
    );
    const perS = this.#capacityPerS;
    this.#rateLimits = accountsOf(shape).map((a) => {
      const ratePerS = pattern.rate(a) * perS;
      return new TokenBucket({ ratePerS, burst: ratePerS * BURST_S }, 0);
    });
    this.#tallies = accountsOf(shape).map(() => ({ withinRate: 0, served: 0 }));
  }

  /** Longest possible duration of a request, in milliseconds. */
  get longestMs(): number {
    return DEADLINE_FACTOR * this.#shape.workMs * this.#longFactor;
  }

  async step(arrivals: boolean): Promise<void> {
    this.#clock.advance(STEP_MS);
    const now = this.#clock.now();
    for (const run of this.#scheduled.get(now) ?? []) run();
    this.#scheduled.delete(now);
    if (now % TICK_MS === 0) { for (const d of this.#dispatchers) d.tick(now); }
    this.#drainIfDue(now);
    if (arrivals) {
      for (const a of accountsOf(this.#shape)) this.#generateArrivals(a, now);
      this.#sampleUsage();
    }
    for (let i = 0; i < MICROTASK_TURNS; i++) await Promise.resolve();
  }

  report(seconds: number): RunReport {
    const tallies = this.#tallies.filter((t) => t.withinRate > 0);
    const within = tallies.reduce((n, t) => n + t.withinRate, 0);
    const served = tallies.reduce((n, t) => n + t.served, 0);
    return {
      goodputPerS: this.#served / seconds,
      p50Ms: this.#latencies.percentile(0.5),
      p99Ms: this.#latencies.percentile(0.99),
      shortP99Ms: this.#shortLatencies.percentile(0.99),
      worstAccount: this.#worstAccount(tallies, seconds),
      wrongfulRefusals: 1 - served / within,
      headroom: 1 - this.#busySum / this.#busySamples,
      drainMs: this.#drainMs,
      afterDrain: this.#afterDrain,
      overSlots: this.#overSlots,
    };
  }

  /**
   * Lowest served fraction over all accounts of what each was due: its requests
   * within rate, but no more than a fair share of the capacity.
   */
  #worstAccount(tallies: readonly Tally[], seconds: number): number {
    const capacity = this.#capacityPerS * seconds / this.#meanWorkFactor;
    const share = fairShare(tallies.map((t) => t.withinRate), capacity);
    const servedFractions = tallies.map((t) =>
      t.served / Math.min(t.withinRate, share)
    );
    return Math.min(1, ...servedFractions);
  }

  /** Mean work of a request, in units of a short request. */
  get #meanWorkFactor(): number {
    const longFractions = accountsOf(this.#shape)
      .map((a) => this.#pattern.longFraction?.(a) ?? 0);
    const long = longFractions.reduce((n, p) => n + p, 0) /
      longFractions.length;
    return 1 + long * (this.#longFactor - 1);
  }

  get #capacityPerS(): number {
    const { endpoints, slots, workMs } = this.#shape;
    return endpoints * slots * 1_000 / workMs;
  }

  #dispatcher(index: number, { kind, seed, document }: {
    kind: DispatcherKind;
    seed: number;
    document: SteeringDocument;
  }): Dispatcher {
    const zone = `z${index % this.#shape.zones}` as ZoneId;
    const limits = new EvenSlotLimits(
      seatsOf(zone, Math.floor(index / this.#shape.zones)),
    );
    const dispatcher = kind === "fair"
      ? new FairDispatcher({
        clock: this.#clock,
        random: new SeededRandom(seed + index + 1),
        metrics: new MemoryMetrics(),
        zone,
        limits,
      })
      : new RoundRobinDispatcher(this.#clock, zone, limits);
    dispatcher.adopt(document, 0);
    return dispatcher;
  }

  #generateArrivals(account: number, now: number): void {
    const load = this.#pattern.load(account, now / 1_000);
    let expected = load * this.#capacityPerS * STEP_MS / 1_000;
    for (; expected > 0; expected -= 1) {
      if (this.#random.next() < expected) this.#arrive(account, now);
    }
  }

  #arrive(account: number, now: number): void {
    const long =
      this.#random.next() < (this.#pattern.longFraction?.(account) ?? 0);
    const workMs = this.#shape.workMs * (long ? this.#longFactor : 1);
    // An ideal rate limiter precedes both dispatchers.
    if (!this.#rateLimits[account]!.take(now)) return;
    const counts = now >= WARM_UP_S * 1_000;
    if (counts) this.#tallies[account]!.withinRate += 1;
    this.#attempt({
      account,
      counts,
      long,
      sentAt: now,
      deadline: now + DEADLINE_FACTOR * workMs,
      tries: 0,
    });
  }

  get #longFactor(): number {
    return this.#pattern.longFactor ?? 1;
  }

  #attempt(req: SimulatedRequest): void {
    req.tries += 1;
    const dispatcher = this
      .#dispatchers[this.#random.below(this.#dispatchers.length)]!;
    const abort = new AbortController();
    void dispatcher.acquire({
      service: SERVICE,
      account: `a${req.account}` as AccountId,
      idempotent: true,
      deadline: req.deadline,
      work: req.long ? "long" : "short",
    }, abort.signal).then((slot) => {
      if (slot.isOk()) this.#start(req, slot.value);
      else this.#retry(req, slot.error.retryAfterMs ?? 100);
    });
  }

  /** Retries later if the deadline allows, as the client library does. */
  #retry(req: SimulatedRequest, afterMs: number): void {
    const now = this.#clock.now();
    const at = now +
      Math.max(1, Math.round(afterMs * (0.5 + this.#random.next())));
    if (req.tries < MAX_ATTEMPTS && at < req.deadline) {
      this.#schedule(at, () => this.#attempt(req));
    }
  }

  #start(req: SimulatedRequest, slot: Slot): void {
    const now = this.#clock.now();
    const endpoint = this.#endpoints.get(slot.endpoint)!;
    endpoint.running += 1;
    const over = endpoint.running - this.#shape.slots;
    this.#overSlots = Math.max(this.#overSlots, over);
    if (
      this.#drained && endpoint.index === 0 &&
      now >= this.#drainStart + AFTER_DRAIN_MS
    ) {
      this.#afterDrain += 1;
    }
    const slow = this.#pattern.slowness?.(endpoint.index) ?? 1;
    const factor = (req.long ? this.#longFactor : 1) * slow *
      (0.8 + 0.4 * this.#random.next());
    const ends = now + Math.max(1, Math.round(this.#shape.workMs * factor));
    const last = Math.round(req.deadline);
    this.#schedule(Math.min(ends, last), () => {
      endpoint.running -= 1;
      this.#end(req, slot, ends <= last);
    });
  }

  #end(req: SimulatedRequest, slot: Slot, inTime: boolean): void {
    const now = this.#clock.now();
    slot.release(inTime ? "ok" : "timeout", now);
    this.#recordDrainEnd(slot.endpoint, now);
    if (!inTime || !req.counts) return;
    this.#served += 1;
    this.#latencies.add(now - req.sentAt);
    if (!req.long) this.#shortLatencies.add(now - req.sentAt);
    this.#tallies[req.account]!.served += 1;
  }

  get #drainStart(): number {
    return (WARM_UP_S + (this.#pattern.drainAt ?? 0)) * 1_000;
  }

  #drainIfDue(now: number): void {
    if (this.#pattern.drainAt === undefined || this.#drained) return;
    if (now < this.#drainStart) return;
    this.#drained = true;
    const drains = [{ kind: "endpoint" as const, id: "e0" as EndpointId }];
    const document = { ...documentOf(this.#shape), drains };
    for (const d of this.#dispatchers) d.adopt(document, now);
  }

  #recordDrainEnd(endpoint: string, now: number): void {
    if (!this.#drained || endpoint !== "e0") return;
    if (this.#endpoints.get("e0")!.running === 0) {
      this.#drainMs ??= now - this.#drainStart;
    }
  }

  #sampleUsage(): void {
    const all = this.#shape.endpoints * this.#shape.slots;
    let busy = 0;
    for (const { running } of this.#endpoints.values()) busy += running;
    this.#busySum += busy / all;
    this.#busySamples += 1;
  }

  #schedule(ms: number, run: () => void): void {
    const at = Math.max(ms, this.#clock.now() + STEP_MS);
    const due = this.#scheduled.get(at);
    if (due) due.push(run);
    else this.#scheduled.set(at, [run]);
  }
}
