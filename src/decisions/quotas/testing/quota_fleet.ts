/**
 * Simulates instances that gossip their admissions of one account, with delays,
 * partitions, kills and restarts.
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
  DIRECT_GOSSIP_DELAY_MS,
  type RateWindow,
  RELAYED_GOSSIP_DELAY_MS,
} from "../mod.ts";
import { AdmissionTimes, arrivals } from "./arrivals.ts";

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
  /** Partitioned from all others. */
  cut: boolean;
}

/** Simulated instances, on one simulated clock. */
export class QuotaFleet {
  readonly members: QuotaMember[];
  readonly #account: Account;
  readonly #gossipDelayMs: number;
  readonly #random: SeededRandom;
  readonly #admitted = new AdmissionTimes();
  readonly #inTransit: { at: number; run: () => void }[] = [];
  requests = 0;
  now = 0;

  constructor(
    size: number,
    subject: Account,
    seed = 1,
    gossipDelayMs = GOSSIP_DELAY_MS,
  ) {
    this.#account = subject;
    this.#gossipDelayMs = gossipDelayMs;
    this.#random = new SeededRandom(seed);
    this.members = Array.from({ length: size }, (_, i) => ({
      id: `i${i}` as InstanceId,
      quotas: this.#newQuotas(`i${i}`, size),
      start: "first",
      phase: Math.floor(i * TICK_MS / size / STEP_MS) * STEP_MS,
      cut: false,
    }));
  }

  #newQuotas(id: string, size: number): AccountQuotas {
    const quotas = new AccountQuotas(id as InstanceId, {
      fleetSize: () => size,
      gossipDelayMs: () =>
        this.#gossipDelayMs === GOSSIP_DELAY_MS
          ? DIRECT_GOSSIP_DELAY_MS
          : RELAYED_GOSSIP_DELAY_MS,
      window: WINDOW,
    });
    quotas.adopt([this.#account], this.now);
    return quotas;
  }

  /** Restarts an instance with empty state. */
  restart(member: QuotaMember): void {
    member.quotas = this.#newQuotas(member.id, this.members.length);
    member.start = `start-${this.now}`;
  }

  /** Partitions members from all others; all messages in transit are lost. */
  cut(members: readonly QuotaMember[]): void {
    for (const member of members) member.cut = true;
    this.#inTransit.length = 0;
  }

  /** Ends all partitions. */
  heal(): void {
    for (const member of this.members) member.cut = false;
  }

  /** Marks partitioned members as unreachable, on both sides. */
  detectCut(): void {
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

  /** Maximum number of admissions in any window of this length. */
  mostWithin(windowMs: number): number {
    return this.#admitted.mostWithin(windowMs);
  }

  #receiveRequests(member: QuotaMember, perS: number): void {
    const requests = arrivals(perS * STEP_MS / 1_000, this.#random);
    this.requests += requests;
    for (let i = 0; i < requests; i++) {
      const { admitted } = member.quotas.take(this.#account, this.now);
      if (admitted) this.#admitted.add(this.now);
    }
  }

  #gossip(member: QuotaMember): void {
    const uses = member.quotas.tick(this.now);
    const from = { instance: member.id, start: member.start };
    if (member.cut) return;
    for (const other of this.members) {
      if (other === member || other.cut) continue;
      this.#inTransit.push({
        at: this.now + this.#gossipDelayMs,
        run: () => other.quotas.applyReport(from, uses, this.now),
      });
    }
  }

  #deliver(): void {
    while ((this.#inTransit[0]?.at ?? Infinity) <= this.now) {
      this.#inTransit.shift()?.run();
    }
  }
}

/** Requests that the platform tolerates in a window of five seconds. */
export function maxPerWindow({ ratePerS, burst }: Account): number {
  return (ratePerS * 5 + burst) * 1.1 + 20;
}
