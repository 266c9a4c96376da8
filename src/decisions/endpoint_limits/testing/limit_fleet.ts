/**
 * Instances that send to one endpoint with a limit and gossip what they sent,
 * without a network: late, cut off from each other, killed and started anew.
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
  type RatedId,
  type RateUse,
  RELAYED_GOSSIP_DELAY_MS,
} from "../../quotas/mod.ts";
import { AdmissionTimes, arrivals } from "../../quotas/testing/arrivals.ts";
import { LimitedSends } from "../mod.ts";

/** What an endpoint with a limit may get in any four seconds. */
export const LIMIT_WINDOW_MS = 4_000;

/** The most that an endpoint may get in a window. */
export function allowed(ratePerS: number): number {
  return ratePerS * 1.5 * LIMIT_WINDOW_MS / 1_000 + 5;
}

const TICK_MS = 250;
const STEP_MS = 5;
const ID = "e1" as EndpointId;
const OTHER = "account" as AccountId;

/** How an instance decides what it sends. */
export interface SendPolicy {
  take(ratePerS: number, now: number): boolean;
  /** A request for something else. */
  other?(now: number): void;
  /** Runs once a period of gossip; gives what is reported. */
  tick(now: number): ReadonlyMap<RatedId, RateUse>;
  reported(
    from: { readonly instance: InstanceId; readonly start: string },
    uses: ReadonlyMap<RatedId, RateUse>,
    now: number,
  ): void;
  unreachable(instance: InstanceId): void;
}

/** The fleet that a policy is made for. */
export type PolicyOptions = Pick<LimitFleetOptions, "size" | "gossipDelayMs">;

/** The policy in use. */
export class SharedPart implements SendPolicy {
  readonly #demand: FleetDemand;
  readonly #sends: LimitedSends;

  constructor(own: InstanceId, opts: PolicyOptions) {
    const demand = new FleetDemand(own, () => opts.size);
    this.#demand = demand;
    this.#sends = new LimitedSends(own, {
      demand,
      gossipDelayMs: () =>
        opts.gossipDelayMs < DIRECT_GOSSIP_DELAY_MS
          ? DIRECT_GOSSIP_DELAY_MS
          : RELAYED_GOSSIP_DELAY_MS,
    });
    this.#sends.begin(ID, 0);
  }

  take(ratePerS: number, now: number): boolean {
    return this.#sends.take(ID, { ratePerS, rank: 1 }, now);
  }

  other(now: number): void {
    this.#demand.asked(OTHER, now);
  }

  tick(now: number): ReadonlyMap<RatedId, RateUse> {
    this.#demand.tick(now);
    return this.#sends.uses();
  }

  reported(
    from: { readonly instance: InstanceId; readonly start: string },
    uses: ReadonlyMap<RatedId, RateUse>,
    now: number,
  ): void {
    this.#demand.reported(from, uses);
    this.#sends.reported(from, uses, now);
  }

  unreachable(instance: InstanceId): void {
    this.#demand.shares.unreachable(instance);
    this.#sends.unreachable(instance);
  }
}

/** One instance. */
export interface LimitMember {
  readonly id: InstanceId;
  readonly index: number;
  policy: SendPolicy;
  start: string;
  cut: boolean;
}

/** What a fleet is made of. */
export interface LimitFleetOptions {
  readonly size: number;
  readonly ratePerS: number;
  /** Delay of gossip, in milliseconds. */
  readonly gossipDelayMs: number;
  readonly seed: number;
  readonly policy?: (own: InstanceId, opts: PolicyOptions) => SendPolicy;
}

/** Instances that send to one endpoint. */
export class LimitFleet {
  readonly members: LimitMember[];
  readonly #opts: LimitFleetOptions;
  readonly #random: SeededRandom;
  readonly #mail: { at: number; run: () => void }[] = [];
  #sent = new AdmissionTimes();
  ratePerS: number;
  asked = 0;
  now = 0;

  constructor(opts: LimitFleetOptions) {
    this.#opts = opts;
    this.ratePerS = opts.ratePerS;
    this.#random = new SeededRandom(opts.seed);
    this.members = Array.from({ length: opts.size }, (_, index) => ({
      id: `i${index}` as InstanceId,
      index,
      policy: this.#fresh(`i${index}`),
      start: "first",
      cut: false,
    }));
  }

  /** Requests sent since counts last began. */
  get sent(): number {
    return this.#sent.count;
  }

  /** Counts begin anew, as the rule does once all had time to learn. */
  countAnew(): void {
    this.#sent = new AdmissionTimes();
    this.asked = 0;
  }

  /** The most in any window of the rule. */
  get worst(): number {
    return this.#sent.mostWithin(LIMIT_WINDOW_MS);
  }

  restart(member: LimitMember): void {
    member.policy = this.#fresh(member.id);
    member.start = `start-${this.now}`;
  }

  /** Cuts members off from all others, which notice it at once. */
  cut(members: readonly LimitMember[]): void {
    for (const member of members) member.cut = true;
    for (const a of this.members) {
      for (const b of this.members) {
        if (a !== b && (a.cut || b.cut)) a.policy.unreachable(b.id);
      }
    }
  }

  heal(): void {
    for (const member of this.members) member.cut = false;
  }

  /**
   * Lets requests come at `perS(member)` for a time, and `otherPerS` at each
   * member for other endpoints.
   */
  run(
    forMs: number,
    perS: (member: LimitMember) => number,
    otherPerS = 0,
  ): void {
    const end = this.now + forMs;
    while (this.now < end) {
      this.now += STEP_MS;
      while ((this.#mail[0]?.at ?? Infinity) <= this.now) {
        this.#mail.shift()?.run();
      }
      for (const member of this.members) {
        const phase = Math.floor(
          member.index * TICK_MS / this.members.length / STEP_MS,
        ) * STEP_MS;
        if (this.now % TICK_MS === phase) this.#tell(member);
        this.#arrive(member, perS(member));
        const others = arrivals(otherPerS * STEP_MS / 1_000, this.#random);
        for (let i = 0; i < others; i++) member.policy.other?.(this.now);
      }
    }
  }

  #fresh(id: string): SendPolicy {
    const { policy } = this.#opts;
    const own = id as InstanceId;
    return policy?.(own, this.#opts) ?? new SharedPart(own, this.#opts);
  }

  #arrive(member: LimitMember, perS: number): void {
    const asked = arrivals(perS * STEP_MS / 1_000, this.#random);
    this.asked += asked;
    for (let i = 0; i < asked; i++) {
      if (member.policy.take(this.ratePerS, this.now)) this.#sent.add(this.now);
    }
  }

  #tell(member: LimitMember): void {
    const uses = member.policy.tick(this.now);
    const from = { instance: member.id, start: member.start };
    if (member.cut) return;
    const at = this.now + this.#opts.gossipDelayMs;
    this.#mail.push({
      at,
      run: () => {
        for (const other of this.members) {
          if (other === member || other.cut || member.cut) continue;
          other.policy.reported(from, uses, this.now);
        }
      },
    });
  }
}
