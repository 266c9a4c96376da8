/**
 * Callers, dispatchers and endpoints of one deployment in virtual time, to see
 * what a way of dispatching gives the callers. No network, no real time.
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

/** What callers and endpoints do; loads are parts of the endpoints' capacity. */
export interface LoadPattern {
  readonly name: string;
  /** Offered load of an account at a time, in seconds; 1 fills every slot. */
  readonly load: (account: number, seconds: number) => number;
  /** Part of the capacity that an account's rate allows. */
  readonly rate: (account: number) => number;
  /** Part of an account's requests that are long. */
  readonly longPart?: (account: number) => number;
  readonly longFactor?: number;
  /** How many times longer an endpoint takes. */
  readonly slowness?: (endpoint: number) => number;
  /** When the first endpoint is drained, in seconds. */
  readonly drainAt?: number;
}

/** What came of a run. */
export interface RunReport {
  readonly goodputPerS: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Part of short requests served late: p99 of short work, in milliseconds. */
  readonly shortP99Ms: number;
  /** Served part of the requests within rate, of the account that fared worst. */
  readonly worstAccount: number;
  /** Part of the requests within rate that were not served. */
  readonly wrongfulRefusals: number;
  /** Mean part of the slots that were free. */
  readonly headroom: number;
  readonly drainMs: number | null;
  /** Requests that reached the drained endpoint two seconds after or later. */
  readonly afterDrain: number;
  /** Most work over an endpoint's slots; 0 if they were never passed. */
  readonly overSlots: number;
}

/** Which dispatcher is simulated. */
export type DispatcherKind = "fair" | "round-robin";

interface Endpoint {
  readonly index: number;
  running: number;
}

interface Caller {
  readonly account: number;
  /** Whether it came after the warm-up. */
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
const MAX_TRIES = 3;
const BURST_S = 0.5;
const FLUSHES = 4;
/** Learning and queues settle before anything is counted. */
const WARM_UP_S = 2;
const AFTER_DRAIN_MS = 2_000;

/** Runs a pattern and tells what callers got. */
export async function simulate(
  shape: FleetShape,
  pattern: LoadPattern,
  { kind, seconds, seed }: {
    kind: DispatcherKind;
    seconds: number;
    seed: number;
  },
): Promise<RunReport> {
  const run = new Run(shape, pattern, { kind, seed });
  const steps = (WARM_UP_S + seconds) * 1_000 / STEP_MS;
  for (let i = 0; i < steps; i++) await run.step(true);
  // What came last has until its deadline.
  const rest = run.longestMs / STEP_MS;
  for (let i = 0; i < rest; i++) await run.step(false);
  return run.report(seconds);
}

class Run {
  readonly #shape: FleetShape;
  readonly #pattern: LoadPattern;
  readonly #clock = new ManualClock();
  readonly #random: Random;
  readonly #dispatchers: Dispatcher[];
  readonly #endpoints = new Map<string, Endpoint>();
  readonly #due = new Map<number, (() => void)[]>();
  readonly #rates: TokenBucket[];
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
    this.#rates = accountsOf(shape).map((a) => {
      const ratePerS = pattern.rate(a) * perS;
      return new TokenBucket({ ratePerS, burst: ratePerS * BURST_S }, 0);
    });
    this.#tallies = accountsOf(shape).map(() => ({ withinRate: 0, served: 0 }));
  }

  /** Longest time from a request to its end, in milliseconds. */
  get longestMs(): number {
    return DEADLINE_FACTOR * this.#shape.workMs * this.#longFactor;
  }

  async step(arrivals: boolean): Promise<void> {
    this.#clock.advance(STEP_MS);
    const now = this.#clock.now();
    for (const run of this.#due.get(now) ?? []) run();
    this.#due.delete(now);
    if (now % TICK_MS === 0) { for (const d of this.#dispatchers) d.tick(now); }
    this.#drainIfDue(now);
    if (arrivals) {
      for (const a of accountsOf(this.#shape)) this.#arrivals(a, now);
      this.#sample();
    }
    for (let i = 0; i < FLUSHES; i++) await Promise.resolve();
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
   * Served part of what an account was due, of the one that fared worst: its
   * requests within rate, but no more than a fair share of all slots.
   */
  #worstAccount(tallies: readonly Tally[], seconds: number): number {
    const capacity = this.#capacityPerS * seconds / this.#meanFactor;
    const share = fairShare(tallies.map((t) => t.withinRate), capacity);
    const parts = tallies.map((t) => t.served / Math.min(t.withinRate, share));
    return Math.min(1, ...parts);
  }

  /** Mean work of a request, in ordinary ones. */
  get #meanFactor(): number {
    const parts = accountsOf(this.#shape)
      .map((a) => this.#pattern.longPart?.(a) ?? 0);
    const long = parts.reduce((n, p) => n + p, 0) / parts.length;
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

  #arrivals(account: number, now: number): void {
    const load = this.#pattern.load(account, now / 1_000);
    let expected = load * this.#capacityPerS * STEP_MS / 1_000;
    for (; expected > 0; expected -= 1) {
      if (this.#random.next() < expected) this.#arrive(account, now);
    }
  }

  #arrive(account: number, now: number): void {
    const long = this.#random.next() < (this.#pattern.longPart?.(account) ?? 0);
    const workMs = this.#shape.workMs * (long ? this.#longFactor : 1);
    // An ideal rate limiter stands before both dispatchers.
    if (!this.#rates[account]!.take(now)) return;
    const counts = now >= WARM_UP_S * 1_000;
    if (counts) this.#tallies[account]!.withinRate += 1;
    this.#try({
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

  #try(caller: Caller): void {
    caller.tries += 1;
    const dispatcher = this
      .#dispatchers[this.#random.below(this.#dispatchers.length)]!;
    const gone = new AbortController();
    void dispatcher.acquire({
      service: SERVICE,
      account: `a${caller.account}` as AccountId,
      idempotent: true,
      deadline: caller.deadline,
      work: caller.long ? "long" : "short",
    }, gone.signal).then((slot) => {
      if (slot.isOk()) this.#start(caller, slot.value);
      else this.#retry(caller, slot.error.retryAfterMs ?? 100);
    });
  }

  /** As the caller library does: later, while there is time. */
  #retry(caller: Caller, afterMs: number): void {
    const now = this.#clock.now();
    const at = now +
      Math.max(1, Math.round(afterMs * (0.5 + this.#random.next())));
    if (caller.tries < MAX_TRIES && at < caller.deadline) {
      this.#at(at, () => this.#try(caller));
    }
  }

  #start(caller: Caller, slot: Slot): void {
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
    const factor = (caller.long ? this.#longFactor : 1) * slow *
      (0.8 + 0.4 * this.#random.next());
    const ends = now + Math.max(1, Math.round(this.#shape.workMs * factor));
    const last = Math.round(caller.deadline);
    this.#at(Math.min(ends, last), () => {
      endpoint.running -= 1;
      this.#end(caller, slot, ends <= last);
    });
  }

  #end(caller: Caller, slot: Slot, inTime: boolean): void {
    const now = this.#clock.now();
    slot.release(inTime ? "ok" : "timeout", now);
    this.#noteDrained(slot.endpoint, now);
    if (!inTime || !caller.counts) return;
    this.#served += 1;
    this.#latencies.add(now - caller.sentAt);
    if (!caller.long) this.#shortLatencies.add(now - caller.sentAt);
    this.#tallies[caller.account]!.served += 1;
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

  #noteDrained(endpoint: string, now: number): void {
    if (!this.#drained || endpoint !== "e0") return;
    if (this.#endpoints.get("e0")!.running === 0) {
      this.#drainMs ??= now - this.#drainStart;
    }
  }

  #sample(): void {
    const all = this.#shape.endpoints * this.#shape.slots;
    let busy = 0;
    for (const { running } of this.#endpoints.values()) busy += running;
    this.#busySum += busy / all;
    this.#busySamples += 1;
  }

  #at(ms: number, run: () => void): void {
    const at = Math.max(ms, this.#clock.now() + STEP_MS);
    const due = this.#due.get(at);
    if (due) due.push(run);
    else this.#due.set(at, [run]);
  }
}
