/**
 * Members that share the rate of one account while requests come in, on one
 * clock and a network in memory.
 *
 * @module
 */
import { SeededRandom } from "../../core/mod.ts";
import { AccountQuotas } from "../../decisions/quotas/mod.ts";
import { account, WINDOW } from "../../decisions/quotas/testing/quota_fleet.ts";
import {
  AdmissionTimes,
  arrivals,
} from "../../decisions/quotas/testing/arrivals.ts";
import type { Account } from "../../traffic/mod.ts";
import { MemberFleet, type TestMember } from "./member_fleet.ts";

const STEP_MS = 10;
const SETTLE_MS = 6_000;
/** How long a member that is started anew is away, in milliseconds. */
const DOWN_MS = 700;

/** A fleet of which every member admits requests of one account. */
export class RatedFleet {
  readonly account: Account;
  readonly #fleet: MemberFleet;
  readonly #quotas = new Map<TestMember, AccountQuotas>();
  readonly #random = new SeededRandom(5);
  readonly #admitted = new AdmissionTimes();
  asked = 0;

  private constructor(fleet: MemberFleet, rate: { readonly ratePerS: number }) {
    this.#fleet = fleet;
    this.account = account({ ratePerS: rate.ratePerS, burst: rate.ratePerS });
    for (const member of fleet.members) this.#equip(member);
  }

  /** A fleet that has settled. */
  static async start(
    zones: readonly string[],
    perZone: number,
    rate: { readonly ratePerS: number },
  ): Promise<RatedFleet> {
    const fleet = new MemberFleet(zones, perZone);
    const rated = new RatedFleet(fleet, rate);
    await Promise.resolve();
    fleet.pass(SETTLE_MS);
    return rated;
  }

  relays(): TestMember[] {
    return this.#fleet.members.filter((m) => m.roles.isRelay);
  }

  /** Members one after another, from one on. */
  some(first: number, count: number): TestMember[] {
    const { members } = this.#fleet;
    return Array.from(
      { length: count },
      (_, i) => members[(first + i) % members.length],
    ).filter((m) => m !== undefined);
  }

  /** Separates members from all others; callers still reach them. */
  cut(members: readonly TestMember[]): void {
    for (const member of members) member.cut = true;
  }

  heal(): void {
    for (const member of this.#fleet.members) member.cut = false;
  }

  /** Kills members, for good or until they are started anew. */
  kill(members: readonly TestMember[]): void {
    for (const member of members) {
      this.#fleet.kill(member);
      this.#quotas.delete(member);
      delete member.takes;
    }
  }

  /** Kills members and starts them anew. */
  async restart(members: readonly TestMember[]): Promise<void> {
    this.kill(members);
    this.#fleet.pass(DOWN_MS);
    for (const member of members) this.#fleet.restart(member);
    await Promise.resolve();
    for (const member of members) this.#equip(member);
  }

  /**
   * Lets requests come at `times` the account's rate, a third of them at one
   * member; gives how many were admitted.
   */
  run(forMs: number, times: number): number {
    const before = this.#admitted.count;
    const { clock, members } = this.#fleet;
    const perStep = this.account.ratePerS * times * STEP_MS / 1_000;
    for (let left = forMs; left > 0; left -= STEP_MS) {
      this.#fleet.pass(STEP_MS);
      for (const [i, member] of members.entries()) {
        const part = i === 3 ? 1 / 3 : 2 / 3 / (members.length - 1);
        this.#arrive(member, perStep * part, clock.now());
      }
    }
    return this.#admitted.count - before;
  }

  /** Sum of the parts of the rate that members take for theirs. */
  shares(): number {
    const now = this.#fleet.clock.now();
    return [...this.#quotas.values()]
      .reduce((sum, quotas) => sum + quotas.take(this.account, now).share, 0);
  }

  /** The most that was admitted in any window of this length. */
  mostWithin(windowMs: number): number {
    return this.#admitted.mostWithin(windowMs);
  }

  #equip(member: TestMember): void {
    const quotas = new AccountQuotas(member.profile.id, {
      fleetSize: () => member.member.fleetSize,
      gossipDelayMs: () => member.member.gossipDelayMs,
      window: WINDOW,
    });
    quotas.adopt([this.account], this.#fleet.clock.now());
    this.#quotas.set(member, quotas);
    member.takes = {
      reported: (news, now) =>
        quotas.applyReport({ ...news, instance: news.group }, news.uses, now),
      suspect: (group) => quotas.markUnreachable(group),
      removed: (group) => quotas.remove(group),
      report: (now) => quotas.tick(now),
      reservations: () => quotas.reservations,
    };
  }

  #arrive(member: TestMember, expected: number, now: number): void {
    const quotas = this.#quotas.get(member);
    if (quotas === undefined) return;
    const asked = arrivals(expected, this.#random);
    this.asked += asked;
    for (let i = 0; i < asked; i++) {
      if (quotas.take(this.account, now).admitted) this.#admitted.add(now);
    }
  }
}
