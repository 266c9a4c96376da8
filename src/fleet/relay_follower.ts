/**
 * Follows the zone's relay: applies its sums, less this instance's own
 * contribution.
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
  RELAY_MODE_SUSPECT_AFTER_MS,
  UNREACHABLE_AFTER_MS,
} from "./peer_table.ts";

/**
 * Another relay is followed after this long without an aggregate of the last
 * one: a period and a half. Two may relay for a moment during a takeover.
 */
const SWITCH_RELAY_AFTER_MS = 400;
/** Own digests kept for subtraction: those of four seconds. */
const MAX_SENT_DIGESTS = 16;

/** What one digest of this instance contributes to the sums. */
interface OwnContribution extends Pick<Digest, "seq" | "uses" | "inFlight"> {
  readonly sentAt: number;
  /** Requests admitted since the start, including those of idle accounts. */
  readonly admitted: ReadonlyMap<RateLimitId, number>;
}

interface FollowedRelay {
  readonly id: InstanceId;
  readonly start: string;
  readonly seq: number;
  readonly lastAggregateAt: number;
}

export class RelayFollower {
  readonly #own: { readonly idHash: number; readonly startHash: number };
  readonly #peers: PeerTable;
  readonly #feed: FleetFeed;
  readonly #sent: OwnContribution[] = [];
  /** This instance's own part of the followed relay's counters. */
  #ownAdmitted: ReadonlyMap<RateLimitId, number> = new Map();
  #relay: FollowedRelay | undefined;
  /** When the newest own digest in the sums was sent. */
  #reflectedAt: number | undefined;
  #suspect = false;
  #unreachable = false;
  #farServing: readonly InstanceProfile[] = [];
  #farReserves: readonly InstanceId[] = [];

  constructor(
    own: { readonly id: InstanceId; readonly start: string },
    opts: { readonly peers: PeerTable; readonly feed: FleetFeed },
  ) {
    this.#own = { idHash: hash(own.id), startHash: hash(own.start) };
    this.#peers = opts.peers;
    this.#feed = opts.feed;
  }

  /** Serving instances of other zones, as the relay last listed them. */
  get farServing(): readonly InstanceProfile[] {
    return this.#unreachable ? [] : this.#farServing;
  }

  /** Those of them that callers are not sent to. */
  get farReserves(): readonly InstanceId[] {
    return this.#unreachable ? [] : this.#farReserves;
  }

  /** Whether no relay reports, so that its last lists may be outdated. */
  get isStale(): boolean {
    return this.#relay === undefined || this.#suspect;
  }

  /**
   * When this instance sent the newest of its digests that the sums include;
   * undefined if they include none.
   */
  get reflectedAt(): number | undefined {
    return this.#reflectedAt;
  }

  /** Records a digest that this instance sent, to subtract it from the sums. */
  sent({ seq, uses, inFlight }: Digest, now: number): void {
    const admitted = new Map(this.#sent.at(-1)?.admitted);
    for (const [account, use] of uses) admitted.set(account, use.admitted);
    this.#sent.push({ seq, uses, inFlight, admitted, sentAt: now });
    if (this.#sent.length > MAX_SENT_DIGESTS) this.#sent.shift();
  }

  /** Applies an aggregate, unless it comes from a relay that is not followed. */
  onAggregate(aggregate: FleetAggregate, now: number): void {
    const { relay, start, seq } = aggregate;
    if (!this.#accepts(aggregate, now)) return;
    const isSameRelay = this.#relay?.id === relay.id &&
      this.#relay.start === start;
    // The successor sends its list of reserves only once it changes.
    if (!isSameRelay) this.#farReserves = [];
    this.#relay = { id: relay.id, start, seq, lastAggregateAt: now };
    this.#suspect = false;
    this.#unreachable = false;
    this.#peers.applyZoneStatus(aggregate, now);
    if (aggregate.farServing !== undefined) {
      this.#farServing = aggregate.farServing.flatMap((idHash) =>
        this.#peers.refresh(idHash, now) ?? []
      );
      // A relay of an earlier build lists none.
      this.#farReserves = [];
    }
    if (aggregate.farReserves !== undefined) {
      const reserves = new Set(aggregate.farReserves);
      this.#farReserves = this.#farServing.map(({ id }) => id).filter((id) =>
        reserves.has(hash(id))
      );
    }
    this.#feed.onAggregate(this.#subtractOwn(aggregate, now), now);
  }

  /** Marks the relay suspect or unreachable if it is overdue. */
  tick(now: number): void {
    if (this.#relay === undefined || !this.#feed.followsRelay) return;
    const silentMs = now - this.#relay.lastAggregateAt;
    if (silentMs > RELAY_MODE_SUSPECT_AFTER_MS && !this.#suspect) {
      this.#suspect = true;
      this.#feed.onRelaySuspect();
    }
    if (silentMs > UNREACHABLE_AFTER_MS && !this.#unreachable) {
      this.#unreachable = true;
      this.#feed.onRelayUnreachable();
    }
  }

  /** Stops following the relay. */
  reset(): void {
    this.#relay = undefined;
    this.#reflectedAt = undefined;
    this.#ownAdmitted = new Map();
    this.#farServing = [];
    this.#farReserves = [];
  }

  #accepts({ relay, start, seq }: FleetAggregate, now: number): boolean {
    const last = this.#relay;
    if (last === undefined) return true;
    if (last.id === relay.id && last.start === start) return seq > last.seq;
    const replaced = last.id === relay.id ||
      now - last.lastAggregateAt > SWITCH_RELAY_AFTER_MS;
    if (!replaced) return false;
    // The counters of two relays cannot be combined.
    if (!this.#suspect) this.#feed.onRelaySuspect();
    this.#ownAdmitted = new Map();
    return true;
  }

  #subtractOwn(aggregate: FleetAggregate, now: number): GroupReport {
    const { relay, start, storeInTouch, storeContactMs, changes, reserved } =
      aggregate;
    const own = this.#ownContribution(aggregate);
    // A relay that lost this instance still includes its counters.
    if (own !== undefined) {
      this.#ownAdmitted = own.admitted;
      this.#reflectedAt = own.sentAt;
    }
    return {
      group: FLEET_GROUP,
      start: `${relay.id} ${start}`,
      instances: aggregate.instances - (own === undefined ? 0 : 1),
      storeInTouch,
      storeContactMs,
      changes,
      uses: subtractUses(
        aggregate.uses,
        own?.uses ?? NO_USES,
        this.#ownAdmitted,
      ),
      inFlight: subtractInFlight(aggregate.inFlight, own?.inFlight),
      limits: observedLimits(aggregate.limits, now),
      reserved,
    };
  }

  /** This instance's part of the sums; undefined if it is unknown. */
  #ownContribution({ members }: FleetAggregate): OwnContribution | undefined {
    const { idHash, startHash } = this.#own;
    const row = members.find((m) => m.idHash === idHash);
    if (row === undefined || row.startHash !== startHash) return undefined;
    return this.#sent.find(({ seq }) => seq === row.seq);
  }
}

function subtractUses(
  sums: ReadonlyMap<RateLimitId, RateUse>,
  own: ReadonlyMap<RateLimitId, RateUse>,
  ownAdmitted: ReadonlyMap<RateLimitId, number>,
): ReadonlyMap<RateLimitId, RateUse> {
  const rest = new Map<RateLimitId, RateUse>();
  for (const [account, { perS, admitted, level }] of sums) {
    rest.set(account, {
      perS: Math.max(0, perS - (own.get(account)?.perS ?? 0)),
      admitted: admitted - (ownAdmitted.get(account) ?? 0),
      level,
    });
  }
  return rest;
}

const NO_USES: ReadonlyMap<RateLimitId, RateUse> = new Map();

function subtractInFlight(
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
