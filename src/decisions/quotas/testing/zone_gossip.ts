/**
 * Reports of a simulated fleet that reach instances as the sum that the relay
 * of their zone sends: 0.4 to 0.8 s after the instances reported.
 *
 * @module
 */
import type { InstanceId, Random } from "../../../core/mod.ts";
import type { RateLimitId, RateUse, Reporter } from "../mod.ts";
import type { QuotaMember } from "./quota_fleet.ts";

/** Interval at which a relay sends its sum. */
const PERIOD_MS = 250;
/** Delay of an instance's report, by pair of zones, without that interval. */
const MIN_DELAY_MS = 385;
const DELAY_RANGE_MS = 150;
const LAST_HOP_MS = 15;
/** Granularity of the phases at which relays send. */
const STEP_MS = 5;

/** Group of all other instances. */
export const FLEET_GROUP = "fleet" as InstanceId;

export type Uses = ReadonlyMap<RateLimitId, RateUse>;
type Shares = ReadonlyMap<RateLimitId, number>;

interface MemberReport {
  readonly start: string;
  readonly uses: Uses;
  /** Requests admitted since the start, including those of idle accounts. */
  readonly admitted: ReadonlyMap<RateLimitId, number>;
}

/** One zone's relay, which hears all instances. */
interface Relay {
  start: string;
  readonly reports: Map<QuotaMember, MemberReport>;
  readonly admitted: Map<RateLimitId, number>;
  /** Shares reserved for members whose reports are missing. */
  readonly reserved: Map<QuotaMember, Shares>;
  /** Members whose next counts are not new admissions. */
  readonly uncounted: Set<QuotaMember>;
}

/** Sends `run` after a delay. */
export type SendLater = (delayMs: number, run: () => void) => void;

/** One relay a zone. */
export class ZoneGossip {
  readonly #relays: readonly Relay[];
  readonly #members: readonly QuotaMember[];
  readonly #delaysMs: readonly (readonly number[])[];
  readonly #send: SendLater;
  readonly #deliver: (to: QuotaMember, from: Reporter, uses: Uses) => void;

  constructor(
    zones: number,
    members: readonly QuotaMember[],
    opts: {
      readonly random: Random;
      readonly send: SendLater;
      readonly deliver: (to: QuotaMember, from: Reporter, uses: Uses) => void;
    },
  ) {
    this.#members = members;
    this.#send = opts.send;
    this.#deliver = opts.deliver;
    this.#relays = Array.from({ length: zones }, () => ({
      start: "first",
      reports: new Map(),
      admitted: new Map(),
      reserved: new Map(),
      uncounted: new Set(),
    }));
    this.#delaysMs = this.#relays.map(() =>
      this.#relays.map(() => MIN_DELAY_MS + opts.random.next() * DELAY_RANGE_MS)
    );
  }

  /** Sends a member's report to all relays. */
  report(member: QuotaMember, uses: Uses): void {
    const { start } = member;
    for (const [z, relay] of this.#relays.entries()) {
      const delayMs = this.#delaysMs[member.zone]?.[z] ?? MIN_DELAY_MS;
      this.#send(delayMs, () => record(relay, { member, start, uses }));
    }
  }

  /** Leaves a member out of the sums; its shares are reserved. */
  suspect(member: QuotaMember, shares: Shares): void {
    for (const { reports, reserved, uncounted } of this.#relays) {
      reports.delete(member);
      reserved.set(member, shares);
      uncounted.add(member);
    }
  }

  /** Restarts all relays. */
  restartAll(now: number): void {
    for (const relay of this.#relays) {
      relay.start = `start-${now}`;
      relay.reports.clear();
      relay.admitted.clear();
      relay.reserved.clear();
      relay.uncounted.clear();
    }
  }

  /** Sends the sums that are due. */
  tick(now: number): void {
    for (const [z, relay] of this.#relays.entries()) {
      const phaseMs = Math.floor(z * PERIOD_MS / this.#relays.length);
      const steps = Math.floor(phaseMs / STEP_MS);
      if (now % PERIOD_MS === steps * STEP_MS) this.#sendSums(z, relay);
    }
  }

  #sendSums(zone: number, relay: Relay): void {
    if (relay.reports.size === 0) return;
    const uses = sumsOf(relay);
    const shares = new Map<RateLimitId, number>();
    for (const part of relay.reserved.values()) {
      for (const [id, share] of part) {
        shares.set(id, (shares.get(id) ?? 0) + share);
      }
    }
    const reserved = { shares, instances: relay.reserved.size };
    const { start, reports: { size } } = relay;
    for (const to of this.#members) {
      if (to.cut || to.zone !== zone) continue;
      const own = relay.reports.get(to);
      const isOwn = own !== undefined && own.start === to.start;
      const instances = size - (isOwn ? 1 : 0);
      const from = { instance: FLEET_GROUP, start, instances, reserved };
      const rest = isOwn ? without(uses, own) : uses;
      this.#send(LAST_HOP_MS, () => this.#deliver(to, from, rest));
    }
  }
}

function record(
  { reports, reserved, uncounted, admitted: sums }: Relay,
  { member, start, uses }: {
    readonly member: QuotaMember;
    readonly start: string;
    readonly uses: Uses;
  },
): void {
  const last = reports.get(member);
  const known = last?.start === start ? last.admitted : NONE;
  const admitted = new Map(known);
  const counts = !uncounted.delete(member);
  reserved.delete(member);
  for (const [id, use] of uses) {
    const increase = use.admitted - (known.get(id) ?? 0);
    admitted.set(id, use.admitted);
    if (counts) sums.set(id, (sums.get(id) ?? 0) + increase);
  }
  reports.set(member, { start, uses, admitted });
}

const NONE: ReadonlyMap<RateLimitId, number> = new Map();

function sumsOf({ reports, admitted }: Relay): Uses {
  const sums = new Map<RateLimitId, RateUse>();
  for (const { uses } of reports.values()) {
    for (const [id, { perS, level }] of uses) {
      const sum = sums.get(id);
      sums.set(id, {
        perS: (sum?.perS ?? 0) + perS,
        admitted: admitted.get(id) ?? 0,
        level: sum?.level ?? level,
      });
    }
  }
  return sums;
}

function without(sums: Uses, own: MemberReport): Uses {
  const rest = new Map<RateLimitId, RateUse>();
  for (const [id, { perS, admitted, level }] of sums) {
    rest.set(id, {
      perS: Math.max(0, perS - (own.uses.get(id)?.perS ?? 0)),
      admitted: admitted - (own.admitted.get(id) ?? 0),
      level,
    });
  }
  return rest;
}
