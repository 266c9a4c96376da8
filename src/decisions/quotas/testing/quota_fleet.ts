/**
 * Instances that gossip what they admitted of one account, without a network:
 * late, cut off from each other, killed and started anew.
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

/** How the platform judges rates. */
export const WINDOW: RateWindow = {
  windowMs: 5_000,
  overshoot: 0.1,
  slack: 20,
};
/** Period of gossip, in milliseconds. */
const TICK_MS = 250;
/** Delay of gossip, in milliseconds: direct, and by zone. */
const GOSSIP_DELAY_MS = 15;
export const ZONE_MAIL_MS = 400;
const STEP_MS = 5;
/** When an instance's share is set aside that is not heard, in ms. */
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
  /** Counts ticks, so that members tick at different times. */
  readonly phase: number;
  /** Cut off from all others. */
  cut: boolean;
}

/** Instances that gossip what they admitted, without a network. */
export class QuotaFleet {
  readonly members: QuotaMember[];
  readonly #account: Account;
  readonly #gossipDelayMs: number;
  readonly #random: SeededRandom;
  readonly #admitted = new AdmissionTimes();
  readonly #mail: { at: number; run: () => void }[] = [];
  asked = 0;
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
      quotas: this.#fresh(`i${i}`, size),
      start: "first",
      phase: Math.floor(i * TICK_MS / size / STEP_MS) * STEP_MS,
      cut: false,
    }));
  }

  #fresh(id: string, size: number): AccountQuotas {
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

  /** Kills an instance and starts it anew. */
  restart(member: QuotaMember): void {
    member.quotas = this.#fresh(member.id, this.members.length);
    member.start = `start-${this.now}`;
  }

  /** Separates members from all others; what is on the way is lost. */
  cut(members: readonly QuotaMember[]): void {
    for (const member of members) member.cut = true;
    this.#mail.length = 0;
  }

  /** Lets all hear each other again. */
  heal(): void {
    for (const member of this.members) member.cut = false;
  }

  /** The members that are cut off count as unreachable, on both sides. */
  noticeCut(): void {
    for (const a of this.members) {
      for (const b of this.members) {
        if (a !== b && (a.cut || b.cut)) a.quotas.unreachable(b.id);
      }
    }
  }

  /** Lets requests come at `perS(member)` for a time; gives how many passed. */
  run(forMs: number, perS: (member: QuotaMember) => number): number {
    const before = this.#admitted.count;
    const end = this.now + forMs;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#deliver();
      for (const member of this.members) {
        if (this.now % TICK_MS === member.phase) this.#tell(member);
        this.#arrive(member, perS(member));
      }
    }
    return this.#admitted.count - before;
  }

  /** The most that passed in any window of this length. */
  mostWithin(windowMs: number): number {
    return this.#admitted.mostWithin(windowMs);
  }

  #arrive(member: QuotaMember, perS: number): void {
    const asked = arrivals(perS * STEP_MS / 1_000, this.#random);
    this.asked += asked;
    for (let i = 0; i < asked; i++) {
      const { admitted } = member.quotas.take(this.#account, this.now);
      if (admitted) this.#admitted.add(this.now);
    }
  }

  #tell(member: QuotaMember): void {
    const uses = member.quotas.tick(this.now);
    const from = { instance: member.id, start: member.start };
    if (member.cut) return;
    for (const other of this.members) {
      if (other === member || other.cut) continue;
      this.#mail.push({
        at: this.now + this.#gossipDelayMs,
        run: () => other.quotas.reported(from, uses, this.now),
      });
    }
  }

  #deliver(): void {
    while ((this.#mail[0]?.at ?? Infinity) <= this.now) {
      this.#mail.shift()?.run();
    }
  }
}

/** What the platform tolerates over a window of five seconds. */
export function bound({ ratePerS, burst }: Account): number {
  return (ratePerS * 5 + burst) * 1.1 + 20;
}
