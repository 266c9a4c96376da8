/**
 * Watches one kind of object: lists it once, then follows changes either by
 * watching the store or from peers that do.
 *
 * Load: each call to the store counts against a rate shared by all instances,
 * and a change ends every waiting call: with 80 watchers one endpoint's report
 * costs 80 calls. So a few instances of each zone watch the store and relay
 * changes.
 *
 * A relayed change is lost with its datagram, or while the watchers are cut off
 * from the store without noticing, and an endpoint that left would get requests.
 * So instances gossip the revision of their last change, and resync when they
 * are behind.
 *
 * @module
 */
import type { Clock, Failure, Log, Random } from "../core/mod.ts";
import { fail, sleep } from "../core/mod.ts";
import type { Result } from "neverthrow";
import { BatchPause } from "./batch_pause.ts";
import { Catchup } from "./catchup.ts";
import type {
  Changes,
  ResourceClient,
  ResourceHandler,
  Snapshot,
  StoredChange,
  StoredEntry,
} from "./resource_client.ts";
import { ResourceCache } from "./resource_cache.ts";
import type { RelayedChanges, RelayedSnapshot } from "./relayed.ts";

/**
 * Timeout of a waiting watch, in milliseconds. A half-open connection shows only
 * when a call is overdue, so this bounds how long a drain or plan is missed.
 */
const WAIT_MS = 3_000;
/** Timeout of a watch while the store is unavailable, in milliseconds. */
const LOST_WAIT_MS = 100;
/** Backoff after the first failure, in milliseconds. */
const FIRST_PAUSE_MS = 100;
/**
 * Maximum backoff, in milliseconds: a drain has to be in force within two
 * seconds of the store's return.
 */
const LONGEST_PAUSE_MS = 600;
/** Timeout of a call that reads only what has changed already, in ms. */
const NO_WAIT_MS = 1;

/** How often an instance that waits for its peers looks for them, in ms. */
const PEER_LOOK_MS = 250;

/** Fetches all objects of a kind from an instance that knows a revision. */
export type FetchFromPeer = (
  kind: string,
  atLeast: number,
  signal: AbortSignal,
) => Promise<Result<RelayedSnapshot, Failure>>;

/** Dependencies of a watcher. */
export interface ResourceWatcherOptions<T> {
  readonly kind: string;
  readonly source: ResourceClient<T>;
  readonly sink: ResourceHandler<T>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Receives changes from the store, to relay them. */
  readonly relay?: (changes: RelayedChanges) => void;
  readonly fetch?: FetchFromPeer;
  /**
   * How long an instance that does not watch the store waits at its start for
   * another one that has read everything, in milliseconds.
   */
  readonly peersFirstMs?: number;
}

/** Watches until closed. */
export class ResourceWatcher<T> {
  readonly #opts: ResourceWatcherOptions<T>;
  readonly #abort = new AbortController();
  readonly #mirror = new ResourceCache();
  readonly #catchup: Catchup;
  readonly #startedAt: number;
  #watches = false;
  #wake: (() => void) | undefined;
  /** Undefined while everything has to be read. */
  #revision: number | undefined;
  #everRead = false;
  readonly #pause = new BatchPause();
  /** Pause before the next watch, to batch changes, in milliseconds. */
  #pauseMs = 0;
  /** The highest revision that a peer has reported. */
  #reportedRevision = 0;
  #failures = 0;
  #lostAt: number | undefined;
  /** Whether this instance has yet to learn if the store answers it. */
  #unconfirmed = false;

  constructor(opts: ResourceWatcherOptions<T>) {
    this.#opts = opts;
    this.#startedAt = opts.clock.now();
    this.#catchup = new Catchup(opts.clock, () => this.#catchUp());
  }

  /** Revision of the last change that is known; 0 before the first. */
  get changedAt(): number {
    return this.#mirror.changedAt;
  }

  /** Runs until `close`. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      if (this.#watches || this.#revision === undefined) await this.step();
      else await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }

  /** One call to the store and what follows from it. */
  async step(): Promise<void> {
    const failed = this.#revision === undefined
      ? await this.#list()
      : await this.#watch(this.#revision);
    if (this.#abort.signal.aborted) return;
    if (failed !== undefined) await this.#recover(failed);
    else if (this.#pauseMs > 0) await sleep(this.#opts.clock, this.#pauseMs);
    this.#pauseMs = 0;
  }

  /** Whether this instance watches the store, or is sent changes by others. */
  setWatching(watches: boolean): void {
    if (watches && !this.#watches) this.#unconfirmed = true;
    this.#watches = watches;
    if (watches) this.#wake?.();
  }

  /** Applies changes that a peer relays. */
  reported(batch: RelayedChanges): void {
    if (this.#revision === undefined || batch.upTo <= this.#revision) return;
    if (batch.changes === undefined || batch.after > this.#revision) {
      return this.onRevision(batch.upTo);
    }
    const changes: StoredChange<T>[] = [];
    for (const { raw, deleted } of batch.changes) {
      const entry = this.#opts.source.read(raw);
      if (entry !== undefined) changes.push({ entry, deleted });
    }
    if (batch.holdMs > 0) this.#opts.sink.holdDeleted?.(batch.holdMs);
    this.#take(changes);
    this.#revision = batch.upTo;
    this.#mirror.chain(batch.upTo);
  }

  /** Another instance knows of a change at a revision. */
  onRevision(revision: number): void {
    this.#reportedRevision = Math.max(this.#reportedRevision, revision);
    if (this.#isBehind()) this.#catchup.behind();
  }

  /** All that is known, for an instance that lacks some; undefined if nothing. */
  snapshot(): RelayedSnapshot | undefined {
    if (this.#revision === undefined) return undefined;
    const { changedAt, objects } = this.#mirror;
    const holdMs = this.#opts.sink.holdMs?.() ?? 0;
    return { revision: this.#revision, changedAt, objects, holdMs };
  }

  close(): void {
    this.#abort.abort();
    this.#catchup.close();
    this.#wake?.();
  }

  async #list(): Promise<Failure | undefined> {
    const { source } = this.#opts;
    if (this.#waitsForPeers) {
      const copied = await this.#readFromPeer();
      if (copied || this.#abort.signal.aborted) return undefined;
    }
    const read = await source.list(this.#abort.signal);
    if (read.isOk()) return this.#replace(read.value);
    const copied = await this.#fetch(0);
    return copied ? undefined : read.error;
  }

  get #waitsForPeers(): boolean {
    const { clock, peersFirstMs = 0 } = this.#opts;
    const waits = clock.now() < this.#startedAt + peersFirstMs;
    return waits && !this.#everRead && !this.#watches;
  }

  /**
   * Load: at a fleet's first start each instance reads every page of every list,
   * 14 calls each with 340 endpoints, long before the first caller comes.
   */
  async #readFromPeer(): Promise<boolean> {
    while (this.#waitsForPeers) {
      if (
        this.#reportedRevision > 0 && await this.#fetch(this.#reportedRevision)
      ) return true;
      await sleep(this.#opts.clock, PEER_LOOK_MS);
      if (this.#abort.signal.aborted) return false;
    }
    return false;
  }

  #replace(all: Snapshot<T>): undefined {
    // Before the entries: what is missing means something else after an outage.
    this.#inTouch();
    this.#opts.sink.replaced(all.entries);
    this.#mirror.replace(all, { again: this.#everRead });
    this.#everRead = true;
    this.#revision = all.revision;
  }

  async #watch(revision: number): Promise<Failure | undefined> {
    const { source } = this.#opts;
    const waitMs = this.#lostAt === undefined ? WAIT_MS : LOST_WAIT_MS;
    const seen = await source.watch(revision, waitMs, this.#abort.signal);
    return seen.match((news) => this.#apply(news), (failed) => failed);
  }

  #apply(news: Changes<T>): undefined {
    // Before the changes, for the same reason.
    this.#inTouch();
    const after = this.#mirror.chainedAt;
    const fresh = news.revision > (this.#revision ?? 0);
    if (fresh && news.changes.length > 0) {
      this.#pauseMs = this.#pause.next(this.#opts.clock.now());
      this.#take(news.changes);
      this.#relay(after, this.#mirror.append(news), news.changes);
    }
    this.#revision = Math.max(this.#revision ?? 0, news.revision);
  }

  /** Takes in what is newer than what is known of each object. */
  #take(changes: readonly StoredChange<T>[]): void {
    this.#hand(changes.filter((change) => this.#mirror.take(change)));
  }

  #hand(changes: readonly StoredChange<T>[]): void {
    const { sink } = this.#opts;
    for (const { entry, deleted } of changes) {
      if (deleted) sink.deleted(entry.name);
      else sink.changed(entry);
    }
  }

  #relay(
    after: number,
    upTo: number,
    changes: readonly StoredChange<T>[],
  ): void {
    const { kind, relay, sink } = this.#opts;
    relay?.({
      kind,
      after,
      upTo,
      changes: changes.map(({ entry, deleted }) => ({
        raw: entry.raw,
        deleted,
      })),
      holdMs: sink.holdMs?.() ?? 0,
    });
  }

  #isBehind(): boolean {
    return this.#revision !== undefined &&
      this.#revision < this.#reportedRevision;
  }

  /** Fetches what others know: from one of them, else from the store. */
  async #catchUp(): Promise<void> {
    const revision = this.#revision;
    if (revision === undefined || !this.#isBehind()) return;
    if (await this.#fetch(this.#reportedRevision)) return;
    const { source, sink } = this.#opts;
    const { signal } = this.#abort;
    const seen = await source.watch(revision, NO_WAIT_MS, signal);
    if (signal.aborted) return;
    if (seen.isOk()) {
      sink.contact(true);
      this.#apply(seen.value);
    } else if (seen.error.code === "history_lost") {
      this.#revision = undefined;
      this.#wake?.();
    }
  }

  /** Takes over what another instance knows; gives whether it did. */
  async #fetch(atLeast: number): Promise<boolean> {
    const { kind, fetch = NO_PEERS, source, sink, log } = this.#opts;
    const fetched = await fetch(kind, atLeast, this.#abort.signal);
    if (fetched.isErr()) return false;
    const { revision, changedAt, objects, holdMs } = fetched.value;
    if (revision <= (this.#revision ?? 0)) return false;
    const entries: StoredEntry<T>[] = [];
    for (const raw of objects) {
      const entry = source.read(raw);
      if (entry !== undefined) entries.push(entry);
    }
    if (holdMs > 0) sink.holdDeleted?.(holdMs);
    // What is known already is not told again: an endpoint's entry says how
    // long it is cold from then on.
    if (this.#everRead) this.#hand(this.#mirror.difference(entries));
    else sink.replaced(entries);
    this.#mirror.adopt({ entries, revision }, changedAt);
    this.#everRead = true;
    this.#revision = revision;
    log.event("kind_fetched", { kind, revision });
    return true;
  }

  #inTouch(): void {
    const { kind, log, sink, clock } = this.#opts;
    const lostAt = this.#lostAt;
    this.#failures = 0;
    this.#lostAt = undefined;
    if (lostAt !== undefined || this.#unconfirmed) sink.contact(true);
    this.#unconfirmed = false;
    if (lostAt === undefined) return;
    const lostMs = Math.round(clock.now() - lostAt);
    log.event("store_regained", { kind, lostMs });
  }

  async #recover(failed: Failure): Promise<void> {
    const { kind, log, sink, clock, random } = this.#opts;
    if (failed.code === "history_lost") {
      this.#revision = undefined;
      log.event("store_history_lost", { kind });
      return;
    }
    this.#failures++;
    if (this.#lostAt === undefined) {
      this.#lostAt = clock.now();
      sink.contact(false);
      log.event("store_lost", { kind, code: failed.code });
    }
    const longest = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** (this.#failures - 1),
    );
    await sleep(clock, longest * (0.5 + 0.5 * random.next()));
  }
}

const NO_PEERS: FetchFromPeer = () =>
  Promise.resolve(fail("peer_unavailable", "no instance can be asked"));
