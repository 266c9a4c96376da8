/**
 * Follows the zone's relay: takes the sums that it tells, less this instance's
 * own part.
 *
 * @module
 */
import { type EndpointId, hash, type InstanceId } from "../core/mod.ts";
import type { RateLimitId, RateUse } from "../decisions/quotas/mod.ts";
import type { Digest } from "./digest.ts";
import type { FleetAggregate } from "./fleet_aggregate.ts";
import { FLEET_GROUP, type FleetFeed, type GroupReport } from "./fleet_feed.ts";
import type { InstanceProfile } from "./instance_profile.ts";
import { observedLimits } from "./limit_rows.ts";
import {
  type PeerTable,
  SUSPECT_AGGREGATED_MS,
  UNREACHABLE_AFTER_MS,
} from "./peer_table.ts";

/**
 * Another relay is followed once the last one is late by this much, in
 * milliseconds: a period and a half. Two may relay for a moment when one takes
 * over.
 */
const REPLACED_AFTER_MS = 400;
/** Own digests that are kept to be subtracted: four seconds of them. */
const DIGESTS_KEPT = 16;

/** What one digest of this instance added to the sums. */
interface OwnPart extends Pick<Digest, "seq" | "uses" | "inFlight"> {
  /** Requests admitted since the start, accounts out of use included. */
  readonly admitted: ReadonlyMap<RateLimitId, number>;
}

interface Followed {
  readonly id: InstanceId;
  readonly start: string;
  readonly seq: number;
  readonly heardAt: number;
}

/** Follows the relay at one instance. */
export class RelayFollower {
  readonly #own: { readonly idHash: number; readonly startHash: number };
  readonly #peers: PeerTable;
  readonly #feed: FleetFeed;
  readonly #sent: OwnPart[] = [];
  /** What of the followed relay's counts is this instance's own. */
  #counted: ReadonlyMap<RateLimitId, number> = new Map();
  #relay: Followed | undefined;
  #suspect = false;
  #unreachable = false;
  #farServing: readonly InstanceProfile[] = [];

  constructor(
    own: { readonly id: InstanceId; readonly start: string },
    opts: { readonly peers: PeerTable; readonly feed: FleetFeed },
  ) {
    this.#own = { idHash: hash(own.id), startHash: hash(own.start) };
    this.#peers = opts.peers;
    this.#feed = opts.feed;
  }

  /** Other zones' instances that take callers, as the relay last named them. */
  get farServing(): readonly InstanceProfile[] {
    return this.#unreachable ? [] : this.#farServing;
  }

  /** Notes a digest of this instance, whose part of a sum is its own. */
  sent({ seq, uses, inFlight }: Digest): void {
    const admitted = new Map(this.#sent.at(-1)?.admitted);
    for (const [account, use] of uses) admitted.set(account, use.admitted);
    this.#sent.push({ seq, uses, inFlight, admitted });
    if (this.#sent.length > DIGESTS_KEPT) this.#sent.shift();
  }

  /** Takes in an aggregate; one of a relay that is not followed is dropped. */
  take(aggregate: FleetAggregate, now: number): void {
    const { relay, start, seq } = aggregate;
    for (const profile of [relay, ...aggregate.profiles]) {
      this.#peers.learn(profile, now);
    }
    if (!this.#follows(aggregate, now)) return;
    this.#relay = { id: relay.id, start, seq, heardAt: now };
    this.#suspect = false;
    this.#unreachable = false;
    this.#peers.heardZone(aggregate, now);
    if (aggregate.farServing !== undefined) {
      this.#farServing = aggregate.farServing.flatMap((idHash) =>
        this.#peers.refresh(idHash, now) ?? []
      );
    }
    this.#feed.onAggregate(this.#withoutOwn(aggregate, now), now);
  }

  /** Looks whether the relay is late. */
  tick(now: number): void {
    if (this.#relay === undefined || !this.#feed.isRelayed) return;
    const unheardMs = now - this.#relay.heardAt;
    if (unheardMs > SUSPECT_AGGREGATED_MS && !this.#suspect) {
      this.#suspect = true;
      this.#feed.relaySuspect();
    }
    if (unheardMs > UNREACHABLE_AFTER_MS && !this.#unreachable) {
      this.#unreachable = true;
      this.#feed.relayUnreachable();
    }
  }

  /** This instance follows no relay from now on. */
  reset(): void {
    this.#relay = undefined;
    this.#counted = new Map();
    this.#farServing = [];
  }

  #follows({ relay, start, seq }: FleetAggregate, now: number): boolean {
    const last = this.#relay;
    if (last === undefined) return true;
    if (last.id === relay.id && last.start === start) return seq > last.seq;
    const replaced = last.id === relay.id ||
      now - last.heardAt > REPLACED_AFTER_MS;
    if (!replaced) return false;
    // The counts of two relays do not go together.
    if (!this.#suspect) this.#feed.relaySuspect();
    this.#counted = new Map();
    return true;
  }

  #withoutOwn(aggregate: FleetAggregate, now: number): GroupReport {
    const { relay, start, storeInTouch, changes, reserved } = aggregate;
    const own = this.#ownPart(aggregate);
    // A relay that does not hear this instance any more still has its counts.
    if (own !== undefined) this.#counted = own.admitted;
    return {
      group: FLEET_GROUP,
      start: `${relay.id} ${start}`,
      instances: aggregate.instances - (own === undefined ? 0 : 1),
      storeInTouch,
      changes,
      uses: lessUses(aggregate.uses, own?.uses ?? NO_USES, this.#counted),
      inFlight: lessInFlight(aggregate.inFlight, own?.inFlight),
      limits: observedLimits(aggregate.limits, now),
      reserved,
    };
  }

  /** What of the sums is this instance's own; undefined if they lack it. */
  #ownPart({ members }: FleetAggregate): OwnPart | undefined {
    const { idHash, startHash } = this.#own;
    const row = members.find((m) => m.idHash === idHash);
    if (row === undefined || row.startHash !== startHash) return undefined;
    return this.#sent.find(({ seq }) => seq === row.seq);
  }
}

function lessUses(
  sums: ReadonlyMap<RateLimitId, RateUse>,
  own: ReadonlyMap<RateLimitId, RateUse>,
  counted: ReadonlyMap<RateLimitId, number>,
): ReadonlyMap<RateLimitId, RateUse> {
  const rest = new Map<RateLimitId, RateUse>();
  for (const [account, { perS, admitted, level }] of sums) {
    rest.set(account, {
      perS: Math.max(0, perS - (own.get(account)?.perS ?? 0)),
      admitted: admitted - (counted.get(account) ?? 0),
      level,
    });
  }
  return rest;
}

const NO_USES: ReadonlyMap<RateLimitId, RateUse> = new Map();

function lessInFlight(
  sums: ReadonlyMap<EndpointId, number>,
  own: ReadonlyMap<EndpointId, number> | undefined,
): ReadonlyMap<EndpointId, number> {
  if (own === undefined) return sums;
  const rest = new Map(sums);
  for (const [endpoint, n] of own) {
    const left = (sums.get(endpoint) ?? 0) - n;
    if (left > 0) rest.set(endpoint, left);
    else rest.delete(endpoint);
  }
  return rest;
}
