/**
 * Roles that one or two instances have for others: the zone's relay, and the
 * watchers of the store.
 *
 * Each instance ranks those it hears. Two that hear different ones may hold a
 * role at the same time, which costs messages and does no harm; a role that
 * nobody holds would leave changes unseen, so it is taken as soon as those
 * ranked higher are suspect, and given up only once they hold it.
 *
 * @module
 */
import { hash, type InstanceId } from "../core/mod.ts";
import type { Peer } from "./peer_table.ts";

/**
 * Instances beside each other that ask the store. With one, a change that it
 * learns just before it dies is known to none of them until another asks; each
 * further one costs a call for each change.
 */
const ASKING = 2;
/**
 * Instances beside each other that ask the store at most while it answers none
 * of them. Where it turns single instances away, the fifth is hardly luckier
 * than the first four; while it is away for all, each costs two calls a second.
 */
const MOST_ASKING_IN_VAIN = 4;
/**
 * How long each further instance waits before it steps in, in milliseconds: one
 * digest and a bit, so that it has heard whether the one before did.
 */
const STEP_IN_MS = 300;
/** The same where digests come through a relay, in milliseconds. */
const STEP_IN_RELAYED_MS = 550;
/** Instances to which a zone reports: its relay and one standing by. */
const HUBS = 2;
/**
 * How long each further instance waits for those before it to relay, in
 * milliseconds: until the zone reports to them.
 */
const RELAY_STEP_IN_MS = 1_000;
/** How long those before one must be there before it gives a role up, in ms. */
const GIVE_UP_MS = 2_000;

/**
 * How long an instance that starts waits for the others' word before it asks
 * the store, in milliseconds: a few digests. All instances start at the same
 * moment, and so do the endpoints; asking at once, each of 80 was woken by each
 * registration, which was two thirds of a day's calls.
 */
const LISTEN_FIRST_MS = 700;
/**
 * The same at the fleet's first start, in milliseconds: until zones have found
 * their relays. Later starts must see drains soon.
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
    return ranked.slice(0, HUBS).map(({ id }) => id);
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
    const turnMs = before.length * RELAY_STEP_IN_MS;
    return warm && now - this.#unrelayedSince >= turnMs;
  }

  #decideWatching(
    before: readonly Peer[],
    { now, relayed }: RolesMoment,
  ): boolean {
    const asking = before.filter((m) => m.isStoreWatcher);
    const inTouch = asking.filter((m) => m.storeInTouch);
    if (inTouch.length >= ASKING) {
      this.#shortSince = undefined;
      this.#enoughSince ??= now;
      return this.#watches && now - this.#enoughSince < GIVE_UP_MS;
    }
    this.#enoughSince = undefined;
    this.#shortSince ??= now;
    if (this.#watches || before.length < ASKING) return true;
    if (asking.length >= MOST_ASKING_IN_VAIN) return false;
    const stepMs = relayed ? STEP_IN_RELAYED_MS : STEP_IN_MS;
    const turnMs = (before.length - ASKING + 1) * stepMs;
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
