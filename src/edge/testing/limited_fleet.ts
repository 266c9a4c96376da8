/**
 * A fleet that gossips over an in-memory network, and whose instances send
 * requests to one endpoint that announces a rate limit.
 *
 * @module
 */
import {
  type EndpointId,
  MemoryMetrics,
  SeededRandom,
  SilentLog,
} from "../../core/mod.ts";
import {
  LIMIT_WINDOW_MS,
  maxPerWindow,
} from "../../decisions/endpoint_limits/testing/limit_fleet.ts";
import { FleetDemand } from "../../decisions/quotas/mod.ts";
import {
  AdmissionTimes,
  arrivals,
} from "../../decisions/quotas/testing/arrivals.ts";
import {
  MemberFleet,
  type TestMember,
} from "../../fleet/testing/member_fleet.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { EndpointLimits } from "../endpoint_limits.ts";

const STEP_MS = 10;
/** Time in which gossip settles after the first start. */
const SETTLE_TIME_MS = 6_000;
/** Time from a request to its response. */
const RESPONSE_MS = 60;
/** An instance is bound this long after it passed on a limit. */
const IN_FLIGHT_MS = 500;
/** How long a killed instance is down. */
const DOWNTIME_MS = 300;
const E1 = { id: "e1" as EndpointId } as EndpointRow;

interface Limited {
  readonly limits: EndpointLimits;
  /** When it first passed on a response with the limit. */
  informedAt: number;
}

/** Options of {@link LimitedFleet}. */
export interface LimitedFleetOptions {
  readonly perZone: number;
  readonly ratePerS: number;
  readonly seed: number;
  /** Priority of all requests; 1 by default. */
  readonly priority?: number;
}

/** How instances restart. */
export interface RestartOptions {
  /** Time from the first instance's start to the last one's. */
  readonly spreadMs: number;
  /** Time until an instance has read the instance list. */
  readonly listAfterMs: number;
}

/** Demand for the endpoint, over its limit, at one instance. */
export type DemandTimes = number | ((member: TestMember) => number);

/** Simulated instances with the gossip and the limits of production. */
export class LimitedFleet {
  readonly members: readonly TestMember[];
  readonly ratePerS: number;
  readonly #fleet: MemberFleet;
  readonly #limited = new Map<TestMember, Limited>();
  readonly #random: SeededRandom;
  readonly #priority: number;
  #responses: { readonly at: number; readonly run: () => void }[] = [];
  #bound = new AdmissionTimes();
  #sent = 0;
  #announcedAt = Infinity;

  private constructor(
    fleet: MemberFleet,
    opts: LimitedFleetOptions,
  ) {
    this.#fleet = fleet;
    this.members = fleet.members;
    this.ratePerS = opts.ratePerS;
    this.#priority = opts.priority ?? 1;
    this.#random = new SeededRandom(opts.seed);
    fleet.dictionary.add(E1.id);
    for (const member of fleet.members) this.#equip(member);
  }

  /** Starts a fleet of three zones and waits until gossip has settled. */
  static async start(
    opts: LimitedFleetOptions,
  ): Promise<LimitedFleet> {
    const fleet = new MemberFleet(["a1", "b1", "c1"], opts.perZone);
    const limited = new LimitedFleet(fleet, opts);
    await Promise.resolve();
    fleet.advance(SETTLE_TIME_MS);
    return limited;
  }

  get now(): number {
    return this.#fleet.clock.now();
  }

  /** Requests sent to the endpoint so far. */
  get sent(): number {
    return this.#sent;
  }

  /** The fullest window of bound requests, over what it may hold. */
  get fullest(): number {
    return this.#bound.mostWithin(LIMIT_WINDOW_MS) /
      maxPerWindow(this.ratePerS);
  }

  /** The endpoint's responses state the limit from now on. */
  announce(): void {
    this.#announcedAt = this.now;
  }

  /** They state none from now on. */
  lift(): void {
    this.#announcedAt = Infinity;
  }

  /** Offers requests at `times` the limit; returns how many were sent. */
  run(forMs: number, times: DemandTimes): number {
    const before = this.#sent;
    const timesOf = typeof times === "number" ? () => times : times;
    for (let left = forMs; left > 0; left -= STEP_MS) {
      this.#fleet.advance(STEP_MS);
      this.#respond();
      for (const member of this.members) {
        const perStep = this.ratePerS * timesOf(member) * STEP_MS / 1_000 /
          this.members.length;
        for (let n = arrivals(perStep, this.#random); n > 0; n--) {
          this.#request(member);
        }
      }
    }
    return this.#sent - before;
  }

  /** Kills members and starts them again, in random order, under load. */
  async restart(
    members: readonly TestMember[],
    times: DemandTimes,
    { spreadMs, listAfterMs }: RestartOptions,
  ): Promise<void> {
    for (const member of members) {
      this.#fleet.kill(member);
      this.#limited.delete(member);
    }
    this.run(DOWNTIME_MS, times);
    const due = members.map((member) => ({
      member,
      at: this.now + this.#random.next() * spreadMs,
    })).sort((a, b) => a.at - b.at);
    for (const { member, at } of due) {
      this.run(Math.max(0, at - this.now), times);
      this.#fleet.restart(member, { listAfterMs });
      this.#equip(member);
      await Promise.resolve();
    }
  }

  /** Delays each datagram by a random time of up to `mostMs`. */
  delayDatagrams(mostMs: number): void {
    this.#fleet.datagramDelayMs = () => this.#random.next() * mostMs;
  }

  /** Partitions members from all others; callers still reach them. */
  cut(members: readonly TestMember[]): void {
    for (const member of members) member.cut = true;
  }

  heal(): void {
    for (const member of this.members) member.cut = false;
  }

  #request(member: TestMember): void {
    const limited = this.#limited.get(member);
    if (limited === undefined) return;
    const { now } = this;
    if (!limited.limits.admit(E1, this.#priority, now)) return;
    this.#sent++;
    const isBound = now >= this.#announcedAt &&
      now >= limited.informedAt + IN_FLIGHT_MS;
    if (isBound) this.#bound.add(now);
    this.#responses.push({
      at: now + RESPONSE_MS,
      run: () => this.#response(member, limited),
    });
  }

  #response(member: TestMember, limited: Limited): void {
    if (this.#limited.get(member) !== limited) return;
    const { now, ratePerS } = this;
    if (now < this.#announcedAt) {
      limited.informedAt = Infinity;
      return limited.limits.answered(E1, { kind: "none" }, now);
    }
    limited.informedAt = Math.min(limited.informedAt, now);
    limited.limits.answered(E1, { kind: "limited", ratePerS }, now);
  }

  #respond(): void {
    const due = this.#responses.filter(({ at }) => at <= this.now);
    this.#responses = this.#responses.filter(({ at }) => at > this.now);
    for (const { run } of due) run();
  }

  #equip(member: TestMember): void {
    const { id } = member.profile;
    const { clock } = this.#fleet;
    const demand = new FleetDemand(id, () => member.member.fleetSize);
    const limits = new EndpointLimits({
      own: id,
      demand,
      gossipDelayMs: () => member.member.gossipDelayMs,
      isFleetKnown: () => member.member.isSizeKnown,
      viewAgeMs: () => member.member.viewAgeMs,
      clock,
      log: new SilentLog(),
      metrics: new MemoryMetrics(),
    });
    this.#limited.set(member, { limits, informedAt: Infinity });
    member.consumer = {
      reported: (report, now) => {
        demand.applyReport({ ...report, instance: report.group }, report.uses);
        limits.applyReport(report, now);
      },
      suspect: (group) => {
        demand.shares.markUnreachable(group);
        limits.markUnreachable(group);
      },
      removed: (group) => {
        demand.shares.remove(group);
        limits.markUnreachable(group);
      },
      report: (now) => {
        demand.tick(now);
        member.limits.clear();
        for (const [endpoint, limit] of limits.observed()) {
          member.limits.set(endpoint, limit);
        }
        return new Map(limits.uses());
      },
      reservations: () => demand.shares.reservations,
    };
  }
}
