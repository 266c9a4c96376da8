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

const TICK_MS = 250;
const STEP_MS = 5;
const ENDPOINT = "e1" as EndpointId;
const ACCOUNT = "account" as AccountId;

/** Decides which requests an instance sends. */
export interface SendPolicy {
  take(ratePerS: number, now: number): boolean;
  /** Records a request for something else. */
  recordOther?(now: number): void;
  /** Runs once per gossip period; returns the report. */
  tick(now: number): ReadonlyMap<RateLimitId, RateUse>;
  applyReport(
    from: { readonly instance: InstanceId; readonly start: string },
    uses: ReadonlyMap<RateLimitId, RateUse>,
    now: number,
  ): void;
  markUnreachable(instance: InstanceId): void;
}

/** Fleet parameters that a policy needs. */
export type PolicyOptions = Pick<LimitFleetOptions, "size" | "gossipDelayMs">;

/** The policy in production. */
export class SharedLimitPolicy implements SendPolicy {
  readonly #demand: FleetDemand;
  readonly #limiter: EndpointRateLimiter;

  constructor(own: InstanceId, opts: PolicyOptions) {
    const demand = new FleetDemand(own, () => opts.size);
    this.#demand = demand;
    this.#limiter = new EndpointRateLimiter(own, {
      demand,
      gossipDelayMs: () =>
        opts.gossipDelayMs < DIRECT_GOSSIP_DELAY_MS
          ? DIRECT_GOSSIP_DELAY_MS
          : RELAYED_GOSSIP_DELAY_MS,
      isFleetKnown: () => true,
    });
    this.#limiter.track(ENDPOINT, 0);
  }

  take(ratePerS: number, now: number): boolean {
    return this.#limiter.take(ENDPOINT, { ratePerS, rank: 1 }, now);
  }

  recordOther(now: number): void {
    this.#demand.recordRequest(ACCOUNT, now);
  }

  tick(now: number): ReadonlyMap<RateLimitId, RateUse> {
    this.#demand.tick(now);
    return this.#limiter.uses();
  }

  applyReport(
    from: { readonly instance: InstanceId; readonly start: string },
    uses: ReadonlyMap<RateLimitId, RateUse>,
    now: number,
  ): void {
    this.#demand.applyReport(from, uses);
    this.#limiter.applyReport(from, uses, now);
  }

  markUnreachable(instance: InstanceId): void {
    this.#demand.shares.markUnreachable(instance);
    this.#limiter.markUnreachable(instance);
  }
}

export interface LimitMember {
  readonly id: InstanceId;
  readonly index: number;
  policy: SendPolicy;
  start: string;
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
  ratePerS: number;
  requests = 0;
  now = 0;

  constructor(opts: LimitFleetOptions) {
    this.#opts = opts;
    this.ratePerS = opts.ratePerS;
    this.#random = new SeededRandom(opts.seed);
    this.members = Array.from({ length: opts.size }, (_, index) => ({
      id: `i${index}` as InstanceId,
      index,
      policy: this.#newPolicy(`i${index}`),
      start: "first",
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

  restart(member: LimitMember): void {
    member.policy = this.#newPolicy(member.id);
    member.start = `start-${this.now}`;
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
      while ((this.#inTransit[0]?.at ?? Infinity) <= this.now) {
        this.#inTransit.shift()?.run();
      }
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

  #newPolicy(id: string): SendPolicy {
    const { policy } = this.#opts;
    const own = id as InstanceId;
    return policy?.(own, this.#opts) ?? new SharedLimitPolicy(own, this.#opts);
  }

  #receiveRequests(member: LimitMember, perS: number): void {
    const requests = arrivals(perS * STEP_MS / 1_000, this.#random);
    this.requests += requests;
    for (let i = 0; i < requests; i++) {
      if (member.policy.take(this.ratePerS, this.now)) this.#sent.add(this.now);
    }
  }

  #gossip(member: LimitMember): void {
    const uses = member.policy.tick(this.now);
    const from = { instance: member.id, start: member.start };
    if (member.cut) return;
    const at = this.now + this.#opts.gossipDelayMs;
    this.#inTransit.push({
      at,
      run: () => {
        for (const other of this.members) {
          if (other === member || other.cut || member.cut) continue;
          other.policy.applyReport(from, uses, this.now);
        }
      },
    });
  }
}
