/**
 * Simulates instances that send to one endpoint with a limit and gossip their
 * sends, with delays, partitions and restarts.
 *
 * @module
 */
import {
  type AccountId,
  type EndpointId,
  type InstanceId,
  SeededRandom,
} from "../../../core/mod.ts";
import {
  DIRECT_GOSSIP_DELAY_MS,
  FleetDemand,
  type RateLimitId,
  type RateUse,
  RELAYED_GOSSIP_DELAY_MS,
} from "../../quotas/mod.ts";
import { AdmissionTimes, arrivals } from "../../quotas/testing/arrivals.ts";
import { EndpointRateLimiter } from "../mod.ts";

/** Window over which an endpoint's limit is checked. */
export const LIMIT_WINDOW_MS = 4_000;

/** Maximum number of requests that an endpoint may get in a window. */
export function maxPerWindow(ratePerS: number): number {
  return ratePerS * 1.5 * LIMIT_WINDOW_MS / 1_000 + 5;
}

/**
 * Part of a limit that instances can use where demand is `times` the limit, if a
 * request is sent with the same probability `p` everywhere: a request at each of
 * them at once, by two standard deviations, and what a window holds already must
 * not exceed it.
 */
export function usablePart(
  { size, ratePerS, times }: {
    readonly size: number;
    readonly ratePerS: number;
    readonly times: number;
  },
): number {
  const fits = (p: number) => {
    const atOnce = size * p + 2 * Math.sqrt(size * p * (1 - p));
    const before = times * ratePerS * p * LIMIT_WINDOW_MS / 1_000;
    return atOnce + before <= maxPerWindow(ratePerS);
  };
  let p = 0;
  while (p < 1 && fits(p)) p += 0.001;
  return Math.min(1, times * p);
}

/** Time from a report to its arrival: direct, or through relays if many. */
export function reportDelayMs(size: number): number {
  return size > MAX_DIRECT_INSTANCES ? 650 : 70;
}

const MAX_DIRECT_INSTANCES = 24;
const TICK_MS = 250;
const STEP_MS = 5;
const ENDPOINT = "e1" as EndpointId;
const ACCOUNT = "account" as AccountId;

/** Time after a restart in which the platform does not count sends. */
const EXCUSED_MS = 4_000;

/** The sender of a report, and when it was made. */
export interface ReportSource {
  readonly instance: InstanceId;
  readonly start: string;
  readonly at: number;
}

/** Decides which requests an instance sends. */
export interface SendPolicy {
  take(ratePerS: number, now: number): boolean;
  /** Records a request for something else. */
  recordOther?(now: number): void;
  /** Runs once per gossip period; returns the report. */
  tick(now: number): ReadonlyMap<RateLimitId, RateUse>;
  applyReport(
    from: ReportSource,
    uses: ReadonlyMap<RateLimitId, RateUse>,
    now: number,
  ): void;
  markUnreachable(instance: InstanceId): void;
  /** The instance list was read. */
  listRead?(): void;
}

/** Fleet parameters that a policy needs. */
export type PolicyOptions = Pick<LimitFleetOptions, "size" | "gossipDelayMs">;

/** The policy in production. */
export class SharedLimitPolicy implements SendPolicy {
  readonly #demand: FleetDemand;
  readonly #limiter: EndpointRateLimiter;
  /** When the newest report of each other instance was made. */
  readonly #reportedAt = new Map<InstanceId, number>();
  #isListRead = true;
  #now = 0;

  constructor(own: InstanceId, opts: PolicyOptions) {
    const demand = new FleetDemand(own, () => opts.size);
    this.#demand = demand;
    const usualMs = opts.gossipDelayMs < DIRECT_GOSSIP_DELAY_MS
      ? DIRECT_GOSSIP_DELAY_MS
      : RELAYED_GOSSIP_DELAY_MS;
    this.#limiter = new EndpointRateLimiter(own, {
      demand,
      gossipDelayMs: () => Math.max(usualMs, this.#viewAgeMs),
      isFleetKnown: () => this.#isListRead,
    });
    this.#limiter.track(ENDPOINT, 0);
  }

  /** The policy of an instance that has not read the instance list. */
  static unlisted(own: InstanceId, opts: PolicyOptions): SharedLimitPolicy {
    const policy = new SharedLimitPolicy(own, opts);
    policy.#isListRead = false;
    return policy;
  }

  listRead(): void {
    this.#isListRead = true;
  }

  get #viewAgeMs(): number {
    return this.#now - Math.min(this.#now, ...this.#reportedAt.values());
  }

  take(ratePerS: number, now: number): boolean {
    this.#now = now;
    return this.#limiter.take(ENDPOINT, { ratePerS, rank: 1 }, now);
  }

  recordOther(now: number): void {
    this.#demand.recordRequest(ACCOUNT, now);
  }

  tick(now: number): ReadonlyMap<RateLimitId, RateUse> {
    this.#now = now;
    this.#demand.tick(now);
    this.#limiter.tick(now);
    return this.#limiter.uses();
  }

  applyReport(
    from: ReportSource,
    uses: ReadonlyMap<RateLimitId, RateUse>,
    now: number,
  ): void {
    this.#reportedAt.set(from.instance, from.at);
    this.#demand.applyReport(from, uses);
    this.#limiter.applyReport(from, uses, now);
  }

  markUnreachable(instance: InstanceId): void {
    this.#reportedAt.delete(instance);
    this.#demand.shares.markUnreachable(instance);
    this.#limiter.markUnreachable(instance);
  }
}

export interface LimitMember {
  readonly id: InstanceId;
  readonly index: number;
  policy: SendPolicy;
  start: string;
  startedAt: number;
  cut: boolean;
}

/** Options of {@link LimitFleet}. */
export interface LimitFleetOptions {
  readonly size: number;
  readonly ratePerS: number;
  readonly gossipDelayMs: number;
  readonly seed: number;
  readonly policy?: (own: InstanceId, opts: PolicyOptions) => SendPolicy;
}

/** Simulated instances, on one simulated clock. */
export class LimitFleet {
  readonly members: LimitMember[];
  readonly #opts: LimitFleetOptions;
  readonly #random: SeededRandom;
  readonly #inTransit: { at: number; run: () => void }[] = [];
  #sent = new AdmissionTimes();
  /** Counted sends, each as a fraction of a window at the limit of then. */
  readonly #windowParts: { readonly at: number; readonly part: number }[] = [];
  ratePerS: number;
  /** Time from a report to its arrival; reports arrive in order. */
  gossipDelayMs: number;
  requests = 0;
  now = 0;

  constructor(opts: LimitFleetOptions) {
    this.#opts = opts;
    this.ratePerS = opts.ratePerS;
    this.gossipDelayMs = opts.gossipDelayMs;
    this.#random = new SeededRandom(opts.seed);
    this.members = Array.from({ length: opts.size }, (_, index) => ({
      id: `i${index}` as InstanceId,
      index,
      policy: this.#newPolicy(`i${index}`),
      start: "first",
      startedAt: -Infinity,
      cut: false,
    }));
  }

  /** Requests sent since the last reset. */
  get sent(): number {
    return this.#sent.count;
  }

  /** Resets counts, as the platform does once instances know of a limit. */
  resetCounts(): void {
    this.#sent = new AdmissionTimes();
    this.requests = 0;
  }

  /** Maximum number of requests sent in any window. */
  get maxInWindow(): number {
    return this.#sent.mostWithin(LIMIT_WINDOW_MS);
  }

  /**
   * The fullest window as the platform counts it, over what it may hold: without
   * what instances send in the first seconds after a restart.
   */
  get fullest(): number {
    let [fullest, sum, first] = [0, 0, 0];
    for (const { at, part } of this.#windowParts) {
      sum += part;
      while (at - this.#windowParts[first]!.at >= LIMIT_WINDOW_MS) {
        sum -= this.#windowParts[first++]!.part;
      }
      fullest = Math.max(fullest, sum);
    }
    return fullest;
  }

  /** @param listAfterMs Time until it has read the instance list. */
  restart(member: LimitMember, listAfterMs = 0): void {
    const { policy } = this.#opts;
    const isUnlisted = listAfterMs > 0 && policy === undefined;
    const started = isUnlisted
      ? SharedLimitPolicy.unlisted(member.id, this.#opts)
      : this.#newPolicy(member.id);
    member.policy = started;
    member.start = `start-${this.now}`;
    member.startedAt = this.now;
    this.#later(listAfterMs, () => started.listRead?.());
  }

  /** Partitions members from all others; both sides detect it at once. */
  cut(members: readonly LimitMember[]): void {
    for (const member of members) member.cut = true;
    for (const a of this.members) {
      for (const b of this.members) {
        if (a !== b && (a.cut || b.cut)) a.policy.markUnreachable(b.id);
      }
    }
  }

  heal(): void {
    for (const member of this.members) member.cut = false;
  }

  /**
   * Sends requests for the endpoint at `perS(member)`, and requests for other
   * endpoints at `otherPerS` to each member.
   */
  run(
    forMs: number,
    perS: (member: LimitMember) => number,
    otherPerS = 0,
  ): void {
    const end = this.now + forMs;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#runDue();
      for (const member of this.members) {
        const phase = Math.floor(
          member.index * TICK_MS / this.members.length / STEP_MS,
        ) * STEP_MS;
        if (this.now % TICK_MS === phase) this.#gossip(member);
        this.#receiveRequests(member, perS(member));
        const others = arrivals(otherPerS * STEP_MS / 1_000, this.#random);
        for (let i = 0; i < others; i++) member.policy.recordOther?.(this.now);
      }
    }
  }

  #later(ms: number, run: () => void): void {
    this.#inTransit.push({ at: this.now + ms, run });
  }

  #runDue(): void {
    const due = this.#inTransit.filter(({ at }) => at <= this.now);
    if (due.length === 0) return;
    const left = this.#inTransit.filter(({ at }) => at > this.now);
    this.#inTransit.splice(0, this.#inTransit.length, ...left);
    for (const { run } of due) run();
  }

  #newPolicy(id: string): SendPolicy {
    const { policy } = this.#opts;
    const own = id as InstanceId;
    return policy?.(own, this.#opts) ?? new SharedLimitPolicy(own, this.#opts);
  }

  #receiveRequests(member: LimitMember, perS: number): void {
    const requests = arrivals(perS * STEP_MS / 1_000, this.#random);
    this.requests += requests;
    for (let i = 0; i < requests; i++) {
      if (member.policy.take(this.ratePerS, this.now)) this.#countSend(member);
    }
  }

  #countSend({ startedAt }: LimitMember): void {
    this.#sent.add(this.now);
    if (this.now < startedAt + EXCUSED_MS) return;
    const part = 1 / maxPerWindow(this.ratePerS);
    this.#windowParts.push({ at: this.now, part });
  }

  #gossip(member: LimitMember): void {
    const uses = member.policy.tick(this.now);
    const from = { instance: member.id, start: member.start, at: this.now };
    if (member.cut) return;
    this.#later(this.gossipDelayMs, () => {
      for (const other of this.members) {
        if (other === member || other.cut || member.cut) continue;
        other.policy.applyReport(from, uses, this.now);
      }
    });
  }
}
