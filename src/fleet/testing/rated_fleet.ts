/**
 * Members that share the rate of one account under load, on one manual clock
 * and an in-memory network.
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
const SETTLE_TIME_MS = 6_000;
/** How long a restarted member is down. */
const DOWNTIME_MS = 700;

/** A fleet in which every member admits requests of one account. */
export class RatedFleet {
  readonly account: Account;
  readonly #fleet: MemberFleet;
  readonly #quotas = new Map<TestMember, AccountQuotas>();
  readonly #random = new SeededRandom(5);
  readonly #admitted = new AdmissionTimes();
  requested = 0;

  private constructor(fleet: MemberFleet, rate: { readonly ratePerS: number }) {
    this.#fleet = fleet;
    this.account = account({ ratePerS: rate.ratePerS, burst: rate.ratePerS });
    for (const member of fleet.members) this.#attachQuotas(member);
  }

  /** Starts a fleet and waits until roles and shares have settled. */
  static async start(
    zones: readonly string[],
    perZone: number,
    rate: { readonly ratePerS: number },
  ): Promise<RatedFleet> {
    const fleet = new MemberFleet(zones, perZone);
    const rated = new RatedFleet(fleet, rate);
    await Promise.resolve();
    fleet.advance(SETTLE_TIME_MS);
    return rated;
  }

  relays(): TestMember[] {
    return this.#fleet.members.filter((m) => m.roles.isRelay);
  }

  /** Consecutive members from index `first`, wrapping around. */
  consecutiveMembers(first: number, count: number): TestMember[] {
    const { members } = this.#fleet;
    return Array.from(
      { length: count },
      (_, i) => members[(first + i) % members.length],
    ).filter((m) => m !== undefined);
  }

  /** Partitions members from all others; callers still reach them. */
  cut(members: readonly TestMember[]): void {
    for (const member of members) member.cut = true;
  }

  heal(): void {
    for (const member of this.#fleet.members) member.cut = false;
  }

  kill(members: readonly TestMember[]): void {
    for (const member of members) {
      this.#fleet.kill(member);
      this.#quotas.delete(member);
      delete member.consumer;
    }
  }

  /**
   * Restarts all members within `spreadMs`, under a load of `times` the rate;
   * each reads the instance list `listAfterMs` after its start.
   */
  async restartAll(
    times: number,
    { spreadMs, listAfterMs }: {
      readonly spreadMs: number;
      readonly listAfterMs: number;
    },
  ): Promise<void> {
    const { members } = this.#fleet;
    this.kill(members);
    this.run(DOWNTIME_MS, times);
    for (const member of members) {
      this.#fleet.restart(member, { listAfterMs });
      this.#attachQuotas(member);
      await Promise.resolve();
      this.run(spreadMs / members.length, times);
    }
  }

  async restart(members: readonly TestMember[]): Promise<void> {
    this.kill(members);
    this.#fleet.advance(DOWNTIME_MS);
    for (const member of members) this.#fleet.restart(member);
    await Promise.resolve();
    for (const member of members) this.#attachQuotas(member);
  }

  /**
   * Sends requests at `times` the account's rate, a third of them to one member;
   * returns how many were admitted.
   */
  run(forMs: number, times: number): number {
    const before = this.#admitted.count;
    const { clock, members } = this.#fleet;
    const perStep = this.account.ratePerS * times * STEP_MS / 1_000;
    for (let left = forMs; left > 0; left -= STEP_MS) {
      this.#fleet.advance(STEP_MS);
      for (const [i, member] of members.entries()) {
        const part = i === 3 ? 1 / 3 : 2 / 3 / (members.length - 1);
        this.#sendRequests(member, perStep * part, clock.now());
      }
    }
    return this.#admitted.count - before;
  }

  /** Sum of the members' shares of the rate. */
  totalShare(): number {
    const now = this.#fleet.clock.now();
    return [...this.#quotas.values()]
      .reduce((sum, quotas) => sum + quotas.take(this.account, now).share, 0);
  }

  /** Maximum number of requests admitted in any window of this length. */
  mostWithin(windowMs: number): number {
    return this.#admitted.mostWithin(windowMs);
  }

  #attachQuotas(member: TestMember): void {
    const quotas = new AccountQuotas(member.profile.id, {
      fleetSize: () => member.member.fleetSize,
      gossipDelayMs: () => member.member.gossipDelayMs,
      window: WINDOW,
    });
    quotas.adopt([this.account], this.#fleet.clock.now());
    this.#quotas.set(member, quotas);
    member.consumer = {
      reported: (report, now) =>
        quotas.applyReport(
          { ...report, instance: report.group },
          report.uses,
          now,
        ),
      suspect: (group) => quotas.markUnreachable(group),
      removed: (group) => quotas.remove(group),
      report: (now) => quotas.tick(now),
      reservations: () => quotas.reservations,
    };
  }

  #sendRequests(member: TestMember, expected: number, now: number): void {
    const quotas = this.#quotas.get(member);
    if (quotas === undefined) return;
    const asked = arrivals(expected, this.#random);
    this.requested += asked;
    for (let i = 0; i < asked; i++) {
      if (quotas.take(this.account, now).admitted) this.#admitted.add(now);
    }
  }
}
