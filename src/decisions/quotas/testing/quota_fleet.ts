/**
 * Simulates instances that gossip their admissions of one or several accounts,
 * directly or as sums of zones, with delays, partitions, kills and restarts.
 *
 * @module
 */
import {
  type AccountId,
  type InstanceId,
  SeededRandom,
} from "../../../core/mod.ts";
import type { Account } from "../../../traffic/mod.ts";
import {
  AccountQuotas,
  type Admission,
  DIRECT_GOSSIP_DELAY_MS,
  type RateLimitId,
  type RateWindow,
  RELAYED_GOSSIP_DELAY_MS,
} from "../mod.ts";
import { AccountLog, AdmissionTimes, arrivals } from "./arrivals.ts";
import { FLEET_GROUP, type Uses, ZoneGossip } from "./zone_gossip.ts";

/** Accounting window and tolerance of the platform. */
export const WINDOW: RateWindow = {
  windowMs: 5_000,
  overshoot: 0.1,
  slack: 20,
};
/** Gossip period. */
const TICK_MS = 250;
/** Gossip delays: between instances, and through zone relays. */
const GOSSIP_DELAY_MS = 15;
export const ZONE_GOSSIP_DELAY_MS = 400;
const STEP_MS = 5;
/** Silence after which an instance's share is reserved. */
export const SUSPECT_AFTER_MS = 400;

export function account(opts: Partial<Account> = {}): Account {
  return {
    id: "importers" as AccountId,
    keys: [],
    priority: 0,
    ratePerS: 100,
    burst: 100,
    allowedRegions: [],
    ...opts,
  };
}

export interface QuotaMember {
  readonly id: InstanceId;
  quotas: AccountQuotas;
  start: string;
  /** Offset in the gossip period, so that members tick at different times. */
  readonly phase: number;
  readonly zone: number;
  /** Partitioned from all others. */
  cut: boolean;
}

/** Requests of one account that arrive at random instances. */
export interface AccountLoad {
  readonly account: Account;
  readonly perS: number;
}

/** Options of {@link QuotaFleet}. */
export interface QuotaFleetOptions {
  readonly accounts: readonly Account[];
  readonly seed?: number;
  /** Delay of direct reports; ignored with zones. */
  readonly gossipDelayMs?: number;
  /** Number of zones whose sums are reported; direct reports if undefined. */
  readonly zones?: number;
}

/** Simulated instances, on one simulated clock. */
export class QuotaFleet {
  readonly members: QuotaMember[];
  /** Requests of {@link runLoads}, by account. */
  readonly logs: ReadonlyMap<AccountId, AccountLog>;
  readonly #accounts: readonly Account[];
  readonly #gossipDelayMs: number;
  readonly #relayed: boolean;
  readonly #random: SeededRandom;
  readonly #admitted = new AdmissionTimes();
  /** Deliveries by the step in which they are due. */
  readonly #inTransit = new Map<number, (() => void)[]>();
  readonly #zoneGossip: ZoneGossip | undefined;
  /** Called for each request of {@link runLoads}. */
  onAdmission:
    | ((member: QuotaMember, account: Account, result: Admission) => void)
    | undefined;
  requests = 0;
  now = 0;

  constructor(
    size: number,
    subject: Account | QuotaFleetOptions,
    seed = 1,
    gossipDelayMs = GOSSIP_DELAY_MS,
  ) {
    const opts: QuotaFleetOptions = "accounts" in subject
      ? subject
      : { accounts: [subject], seed, gossipDelayMs };
    const { zones } = opts;
    this.#accounts = opts.accounts;
    this.logs = new Map(opts.accounts.map((a) => [a.id, new AccountLog(a)]));
    this.#gossipDelayMs = opts.gossipDelayMs ?? GOSSIP_DELAY_MS;
    this.#relayed = zones !== undefined ||
      this.#gossipDelayMs !== GOSSIP_DELAY_MS;
    this.#random = new SeededRandom(opts.seed ?? 1);
    this.members = Array.from({ length: size }, (_, i) => ({
      id: `i${i}` as InstanceId,
      quotas: this.#newQuotas(`i${i}`, size),
      start: "first",
      phase: Math.floor(i * TICK_MS / size / STEP_MS) * STEP_MS,
      zone: i % (zones ?? 1),
      cut: false,
    }));
    if (zones === undefined) return;
    this.#zoneGossip = new ZoneGossip(zones, this.members, {
      random: this.#random,
      send: (delayMs, run) => this.#send(delayMs, run),
      deliver: (to, from, uses) => to.quotas.applyReport(from, uses, this.now),
    });
  }

  #newQuotas(id: string, size: number): AccountQuotas {
    const quotas = new AccountQuotas(id as InstanceId, {
      fleetSize: () => size,
      gossipDelayMs: () =>
        this.#relayed ? RELAYED_GOSSIP_DELAY_MS : DIRECT_GOSSIP_DELAY_MS,
      window: WINDOW,
    });
    quotas.adopt(this.#accounts, this.now);
    return quotas;
  }

  /** Restarts an instance with empty state. */
  restart(member: QuotaMember): void {
    member.quotas = this.#newQuotas(member.id, this.members.length);
    member.start = `start-${this.now}`;
  }

  /** Restarts all instances and relays; messages in transit are lost. */
  restartAll(): void {
    this.#inTransit.clear();
    this.#zoneGossip?.restartAll(this.now);
    for (const member of this.members) this.restart(member);
  }

  /** Partitions members from all others; all messages in transit are lost. */
  cut(members: readonly QuotaMember[]): void {
    for (const member of members) member.cut = true;
    this.#inTransit.clear();
  }

  /** Ends all partitions. */
  heal(): void {
    for (const member of this.members) member.cut = false;
  }

  /** Marks partitioned members as unreachable, on both sides. */
  detectCut(): void {
    const zoneGossip = this.#zoneGossip;
    if (zoneGossip !== undefined) {
      for (const member of this.members.filter(({ cut }) => cut)) {
        const { shares } = member.quotas.demand;
        const ids = this.#accounts.map((a): RateLimitId => a.id);
        zoneGossip.suspect(
          member,
          new Map(ids.map((id) => [id, shares.own(id)])),
        );
        member.quotas.markUnreachable(FLEET_GROUP);
      }
      return;
    }
    for (const a of this.members) {
      for (const b of this.members) {
        if (a !== b && (a.cut || b.cut)) a.quotas.markUnreachable(b.id);
      }
    }
  }

  /** Sends requests at `perS(member)`; returns how many were admitted. */
  run(forMs: number, perS: (member: QuotaMember) => number): number {
    const before = this.#admitted.count;
    const end = this.now + forMs;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#deliver();
      for (const member of this.members) {
        if (this.now % TICK_MS === member.phase) this.#gossip(member);
        this.#receiveRequests(member, perS(member));
      }
    }
    return this.#admitted.count - before;
  }

  /**
   * Sends Poisson arrivals of several accounts to random members, of which
   * `weight` states the relative probability.
   */
  runLoads(
    forMs: number,
    loads: readonly AccountLoad[],
    weight: (member: QuotaMember) => number = () => 1,
  ): void {
    const sums: number[] = [];
    let total = 0;
    for (const member of this.members) sums.push(total += weight(member));
    const next = loads.map(({ perS }) => this.now + this.#gapMs(perS));
    const end = this.now + forMs;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#deliver();
      for (const member of this.members) {
        if (this.now % TICK_MS === member.phase) this.#gossip(member);
      }
      this.#zoneGossip?.tick(this.now);
      for (const [i, { account, perS }] of loads.entries()) {
        let at = next[i] ?? Infinity;
        for (; at <= this.now; at += this.#gapMs(perS)) {
          const drawn = this.#random.next() * total;
          const member = this.members[sums.findIndex((s) => drawn < s)];
          if (member !== undefined) this.#request(member, account);
        }
        next[i] = at;
      }
    }
  }

  #request(member: QuotaMember, account: Account): void {
    const result = member.quotas.take(account, this.now);
    this.logs.get(account.id)?.add(this.now, result.admitted);
    this.onAdmission?.(member, account, result);
  }

  #gapMs(perS: number): number {
    return -Math.log(1 - this.#random.next()) / perS * 1_000;
  }

  /** Maximum number of admissions in any window of this length. */
  mostWithin(windowMs: number): number {
    return this.#admitted.mostWithin(windowMs);
  }

  #receiveRequests(member: QuotaMember, perS: number): void {
    const requests = arrivals(perS * STEP_MS / 1_000, this.#random);
    this.requests += requests;
    for (let i = 0; i < requests; i++) {
      const [account] = this.#accounts;
      if (account === undefined) return;
      const { admitted } = member.quotas.take(account, this.now);
      if (admitted) this.#admitted.add(this.now);
    }
  }

  #gossip(member: QuotaMember): void {
    const uses = member.quotas.tick(this.now);
    if (member.cut) return;
    if (this.#zoneGossip === undefined) this.#sendDirect(member, uses);
    else this.#zoneGossip.report(member, uses);
  }

  #sendDirect(member: QuotaMember, uses: Uses): void {
    const from = { instance: member.id, start: member.start };
    for (const other of this.members) {
      if (other === member || other.cut) continue;
      this.#send(
        this.#gossipDelayMs,
        () => other.quotas.applyReport(from, uses, this.now),
      );
    }
  }

  #send(delayMs: number, run: () => void): void {
    const at = Math.ceil((this.now + delayMs) / STEP_MS) * STEP_MS;
    const due = this.#inTransit.get(at);
    if (due === undefined) this.#inTransit.set(at, [run]);
    else due.push(run);
  }

  #deliver(): void {
    const due = this.#inTransit.get(this.now) ?? [];
    this.#inTransit.delete(this.now);
    for (const run of due) run();
  }
}

/** Requests that the platform tolerates in a window of five seconds. */
export function maxPerWindow({ ratePerS, burst }: Account): number {
  return (ratePerS * 5 + burst) * 1.1 + 20;
}
