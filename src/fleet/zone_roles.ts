/**
 * Election of a zone's relay and of the watchers of the store.
 *
 * Each instance ranks the peers that it hears. With different views two may hold
 * a role, which costs messages only; without a holder changes are missed, so an instance takes it once those ranked higher are suspect, and
 * gives it up only when they hold it.
 *
 * @module
 */
import { hash, type InstanceId } from "../core/mod.ts";
import type { Peer } from "./peer_table.ts";

/**
 * Watchers of the store a group of peers. A single one may fail with a change
 * that it has not relayed; each further one costs a call a change.
 */
const WATCHERS = 2;
/**
 * Maximum watchers while the store answers none of them. Where it rejects single
 * instances a fifth hardly helps; in an outage each costs two calls a second.
 */
const MAX_UNANSWERED_WATCHERS = 4;
/**
 * Delay by rank before an instance becomes a watcher, in milliseconds: somewhat
 * more than a period of gossip, to learn whether the one before did.
 */
const TAKE_OVER_MS = 300;
/** The same where digests come through a relay. */
const TAKE_OVER_RELAYED_MS = 550;
/** Instances to which a zone reports: its relay and a standby. */
const RELAY_CANDIDATES = 2;
/** Delay by rank before an instance becomes the relay, in milliseconds. */
const RELAY_TAKE_OVER_MS = 1_000;
/** How long higher ranked peers must be alive before a role is given up, in ms. */
const HAND_OVER_MS = 2_000;

/**
 * How long a starting instance waits for digests before it watches the store,
 * in milliseconds. Load: endpoints register while all instances start, and each
 * registration would end the watch of every instance.
 */
const LISTEN_FIRST_MS = 700;
/**
 * The same at the fleet's first start: until zones have elected their relays.
 * Later starts must see drains soon.
 */
const LISTEN_FIRST_START_MS = 1_500;

/** What roles are worked out at. */
export interface RolesMoment {
  readonly now: number;
  /** Whether instances hear each other through relays. */
  readonly relayed: boolean;
  /**
   * Whether most of the zone reports to this instance, so that its sums are
   * whole.
   */
  readonly warm: boolean;
}

/** What an instance does for others. */
export interface Roles {
  readonly isRelay: boolean;
  readonly isStoreWatcher: boolean;
}

/** What instances are ranked by. */
interface Ranked {
  readonly id: InstanceId;
  readonly capacity: number;
}

/** Roles of one instance. */
export class ZoneRoles {
  readonly #own: Ranked;
  readonly #listenMs: number;
  #watches = false;
  #isRelay = false;
  /** Since when none of those before this one relays. */
  #unrelayedSince: number | undefined;
  #startedAt: number | undefined;
  /** Since when too few before this one ask; undefined while enough do. */
  #shortSince: number | undefined;
  #enoughSince: number | undefined;

  /** @param firstStart Whether the whole fleet starts for the first time. */
  constructor(own: Ranked, firstStart = false) {
    this.#own = own;
    this.#listenMs = firstStart ? LISTEN_FIRST_START_MS : LISTEN_FIRST_MS;
  }

  /**
   * Works out the roles from what the others told.
   *
   * @param zonePeers The zone's other instances, one of which relays.
   * @param watchPeers Those of which two watch the store for all.
   */
  update(
    zonePeers: readonly Peer[],
    watchPeers: readonly Peer[],
    moment: RolesMoment,
  ): Roles {
    const { now } = moment;
    this.#startedAt ??= now;
    const listening = now - this.#startedAt < this.#listenMs;
    this.#watches = !listening &&
      this.#decideWatching(this.#before(watchPeers), moment);
    this.#isRelay = this.#decideRelay(this.#before(zonePeers), moment);
    return { isRelay: this.#isRelay, isStoreWatcher: this.#watches };
  }

  /** The zone's relay and the one standing by; this one may be among them. */
  relayCandidates(zonePeers: readonly Peer[]): readonly InstanceId[] {
    const ranked = [this.#own, ...present(zonePeers).map(rankedOf)].sort(order);
    return ranked.slice(0, RELAY_CANDIDATES).map(({ id }) => id);
  }

  /** A relay steps down once one ranked higher relays, and not before. */
  #decideRelay(
    before: readonly Peer[],
    { now, warm }: RolesMoment,
  ): boolean {
    if (before.some((m) => m.relays)) {
      this.#unrelayedSince = undefined;
      return false;
    }
    this.#unrelayedSince ??= now;
    if (this.#isRelay) return true;
    const turnMs = before.length * RELAY_TAKE_OVER_MS;
    return warm && now - this.#unrelayedSince >= turnMs;
  }

  #decideWatching(
    before: readonly Peer[],
    { now, relayed }: RolesMoment,
  ): boolean {
    const asking = before.filter((m) => m.isStoreWatcher);
    const inTouch = asking.filter((m) => m.storeInTouch);
    if (inTouch.length >= WATCHERS) {
      this.#shortSince = undefined;
      this.#enoughSince ??= now;
      return this.#watches && now - this.#enoughSince < HAND_OVER_MS;
    }
    this.#enoughSince = undefined;
    this.#shortSince ??= now;
    if (this.#watches || before.length < WATCHERS) return true;
    if (asking.length >= MAX_UNANSWERED_WATCHERS) return false;
    const stepMs = relayed ? TAKE_OVER_RELAYED_MS : TAKE_OVER_MS;
    const turnMs = (before.length - WATCHERS + 1) * stepMs;
    return now - this.#shortSince >= turnMs;
  }

  /** Those that are there and come before this one. */
  #before(others: readonly Peer[]): readonly Peer[] {
    return present(others).filter((o) => order(rankedOf(o), this.#own) < 0);
  }
}

/** The strongest come first; among equals any order does, if it is one. */
function order(a: Ranked, b: Ranked): number {
  if (a.capacity !== b.capacity) return b.capacity - a.capacity;
  const byHash = hash(a.id) - hash(b.id);
  if (byHash !== 0) return byHash;
  return a.id < b.id ? -1 : 1;
}

function rankedOf({ profile, capacity }: Peer): Ranked {
  return { id: profile.id, capacity };
}

/** Those that are heard and stay. */
function present(zonePeers: readonly Peer[]): readonly Peer[] {
  return zonePeers.filter((m) => !m.suspect && m.state !== "leaving");
}
