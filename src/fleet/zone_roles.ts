/**
 * Election of a zone's relay and of the watchers of the store.
 *
 * Each instance ranks the peers whose reports it receives. With different views
 * two may hold a role, which only costs messages; without a holder changes are
 * missed, so an instance takes it once those ranked higher are suspect, and gives
 * it up only when they hold it.
 *
 * @module
 */
import { hash, type InstanceId } from "../core/mod.ts";
import type { Peer } from "./peer_table.ts";

/**
 * Watchers of the store per group of peers. A single one may fail before it has
 * relayed a change; each further one costs a call per change.
 */
const WATCHER_COUNT = 2;
/**
 * Maximum number of watchers while the store does not respond to them. If it
 * rejects single instances a fifth hardly helps; in an outage each costs two
 * calls a second.
 */
const MAX_UNANSWERED_WATCHERS = 4;
/**
 * Delay per rank before an instance becomes a watcher: somewhat more than a
 * gossip period, to learn whether the one ranked before it did.
 */
const WATCH_TAKEOVER_STEP_MS = 300;
/** The same where digests pass through a relay. */
const RELAYED_WATCH_TAKEOVER_STEP_MS = 550;
/** Instances to which a zone reports: its relay and a standby. */
const RELAY_CANDIDATES = 2;
/** Delay per rank before an instance becomes the relay. */
const RELAY_TAKEOVER_STEP_MS = 1_000;
/** How long there must be enough higher ranked watchers before one stops. */
const WATCH_HANDOVER_MS = 2_000;

/**
 * How long a starting instance waits for digests before it watches the store.
 * Load: endpoints register while all instances start, and each registration
 * would end the watch of every instance.
 */
const WATCH_START_DELAY_MS = 700;
/**
 * The same at the fleet's first start: until zones have elected their relays.
 * Later starts wait less, since drains must take effect soon.
 */
const FIRST_START_WATCH_DELAY_MS = 1_500;

/** Inputs to the election besides the peers. */
export interface RoleInputs {
  readonly now: number;
  /** Whether digests pass through relays. */
  readonly viaRelays: boolean;
  /** Whether most of the zone reports to this instance: its sums are complete. */
  readonly isZoneReporting: boolean;
}

export interface Roles {
  readonly isRelay: boolean;
  readonly isStoreWatcher: boolean;
}

interface RankKey {
  readonly id: InstanceId;
  readonly capacity: number;
}

/** Decides the roles of one instance. */
export class ZoneRoles {
  readonly #own: RankKey;
  readonly #watchDelayMs: number;
  #isWatcher = false;
  #isRelay = false;
  /** Since when no higher ranked instance relays; undefined while one does. */
  #noRelaySince: number | undefined;
  #startedAt: number | undefined;
  /** Since when higher ranked watchers are too few; undefined while enough. */
  #tooFewWatchersSince: number | undefined;
  #enoughWatchersSince: number | undefined;

  /** @param firstStart Whether the whole fleet starts for the first time. */
  constructor(own: RankKey, firstStart = false) {
    this.#own = own;
    this.#watchDelayMs = firstStart
      ? FIRST_START_WATCH_DELAY_MS
      : WATCH_START_DELAY_MS;
  }

  /**
   * Decides the roles from the states of the peers.
   *
   * @param zonePeers The zone's other instances, one of which relays.
   * @param watchPeers The instances of which two watch the store for all.
   */
  update(
    zonePeers: readonly Peer[],
    watchPeers: readonly Peer[],
    inputs: RoleInputs,
  ): Roles {
    const { now } = inputs;
    this.#startedAt ??= now;
    const isWatchDelayed = now - this.#startedAt < this.#watchDelayMs;
    this.#isWatcher = !isWatchDelayed &&
      this.#decideWatching(this.#higherRanked(watchPeers), inputs);
    this.#isRelay = this.#decideRelay(this.#higherRanked(zonePeers), inputs);
    return { isRelay: this.#isRelay, isStoreWatcher: this.#isWatcher };
  }

  /** The zone's relay and its standby; this instance may be one of them. */
  relayCandidates(zonePeers: readonly Peer[]): readonly InstanceId[] {
    const ranked = [this.#own, ...eligible(zonePeers).map(rankKeyOf)].sort(
      compareRank,
    );
    return ranked.slice(0, RELAY_CANDIDATES).map(({ id }) => id);
  }

  /** A relay steps down once one ranked higher relays, and not before. */
  #decideRelay(
    higherRanked: readonly Peer[],
    { now, isZoneReporting }: RoleInputs,
  ): boolean {
    if (higherRanked.some((m) => m.relays)) {
      this.#noRelaySince = undefined;
      return false;
    }
    this.#noRelaySince ??= now;
    if (this.#isRelay) return true;
    const delayMs = higherRanked.length * RELAY_TAKEOVER_STEP_MS;
    return isZoneReporting && now - this.#noRelaySince >= delayMs;
  }

  #decideWatching(
    higherRanked: readonly Peer[],
    { now, viaRelays }: RoleInputs,
  ): boolean {
    const watchers = higherRanked.filter((m) => m.isStoreWatcher);
    const inTouch = watchers.filter((m) => m.storeInTouch);
    if (inTouch.length >= WATCHER_COUNT) {
      this.#tooFewWatchersSince = undefined;
      this.#enoughWatchersSince ??= now;
      return this.#isWatcher &&
        now - this.#enoughWatchersSince < WATCH_HANDOVER_MS;
    }
    this.#enoughWatchersSince = undefined;
    this.#tooFewWatchersSince ??= now;
    if (this.#isWatcher || higherRanked.length < WATCHER_COUNT) return true;
    if (watchers.length >= MAX_UNANSWERED_WATCHERS) return false;
    const stepMs = viaRelays
      ? RELAYED_WATCH_TAKEOVER_STEP_MS
      : WATCH_TAKEOVER_STEP_MS;
    const delayMs = (higherRanked.length - WATCHER_COUNT + 1) * stepMs;
    return now - this.#tooFewWatchersSince >= delayMs;
  }

  /** Eligible peers that rank before this instance. */
  #higherRanked(others: readonly Peer[]): readonly Peer[] {
    return eligible(others).filter((o) =>
      compareRank(rankKeyOf(o), this.#own) < 0
    );
  }
}

/** Highest capacity first; ties need any total order that all instances share. */
function compareRank(a: RankKey, b: RankKey): number {
  if (a.capacity !== b.capacity) return b.capacity - a.capacity;
  const byHash = hash(a.id) - hash(b.id);
  if (byHash !== 0) return byHash;
  return a.id < b.id ? -1 : 1;
}

function rankKeyOf({ profile, capacity }: Peer): RankKey {
  return { id: profile.id, capacity };
}

/** Peers that are neither suspect nor leaving. */
function eligible(zonePeers: readonly Peer[]): readonly Peer[] {
  return zonePeers.filter((m) => !m.suspect && m.state !== "leaving");
}
