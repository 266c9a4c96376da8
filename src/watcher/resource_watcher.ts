/**
 * Watches one kind of object: lists it once, then follows changes either by
 * watching the store or through relays from peers that do.
 *
 * Load: each call to the store counts against a rate shared by all instances,
 * and a change ends every waiting call: with 80 watchers one endpoint's report
 * costs 80 calls. So a few instances of each zone watch the store and relay
 * changes.
 *
 * A relayed change is lost with its datagram, or while the watchers are
 * partitioned from the store without detecting it, and an endpoint that left
 * would still receive requests. So instances gossip the revision of their last
 * change, and resync when they are behind.
 *
 * @module
 */
import type { Clock, Failure, Log, Random } from "../core/mod.ts";
import { fail, sleep } from "../core/mod.ts";
import type { Result } from "neverthrow";
import { BatchPause } from "./batch_pause.ts";
import { Catchup } from "./catchup.ts";
import { ListConfirmation } from "./list_confirmation.ts";
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
import { type WatchCall, WatchCalls } from "./watch_calls.ts";

/** Timeout of a watch while the store is unavailable, in milliseconds. */
const OUTAGE_WATCH_TIMEOUT_MS = 100;
/** Backoff after the first failure, in milliseconds. */
const INITIAL_BACKOFF_MS = 100;
/**
 * Maximum backoff, in milliseconds: a drain has to take effect within two
 * seconds of the store's recovery.
 */
const MAX_BACKOFF_MS = 600;
/** Timeout of a watch that reads only past changes, in milliseconds. */
const IMMEDIATE_TIMEOUT_MS = 1;

/** Poll interval while waiting for a peer's snapshot, in milliseconds. */
const PEER_POLL_MS = 250;

/** Fetches all objects of a kind from a peer that has at least a revision. */
export type FetchFromPeer = (
  kind: string,
  atLeast: number,
  signal: AbortSignal,
) => Promise<Result<RelayedSnapshot, Failure>>;

/** Dependencies of a watcher. */
export interface ResourceWatcherOptions<T> {
  readonly kind: string;
  readonly source: ResourceClient<T>;
  readonly handler: ResourceHandler<T>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** The instance's waiting calls; only this watcher's if undefined. */
  readonly calls?: WatchCalls;
  /** Relays changes from the store to peers. */
  readonly relay?: (changes: RelayedChanges) => void;
  readonly fetch?: FetchFromPeer;
  /**
   * How long an instance that does not watch the store waits at startup for a
   * peer with a full snapshot, in milliseconds.
   */
  readonly peersFirstMs?: number;
  /** Called at each answer of the store, before it is applied. */
  readonly onAnswer?: () => void;
}

export class ResourceWatcher<T> {
  readonly #opts: ResourceWatcherOptions<T>;
  readonly #abort = new AbortController();
  readonly #cache = new ResourceCache();
  readonly #catchup: Catchup;
  readonly #confirmation: ListConfirmation;
  readonly #calls: WatchCalls;
  readonly #startedAt: number;
  #watches = false;
  #wake: (() => void) | undefined;
  /** Undefined while a full list is required. */
  #revision: number | undefined;
  #initialized = false;
  /** Whether the handler failed and may lack cached objects. */
  #mustReplace = false;
  readonly #batchPause = new BatchPause();
  /** Pause before the next watch, to batch changes, in milliseconds. */
  #pauseMs = 0;
  /** The highest revision that a peer has reported. */
  #reportedRevision = 0;
  #failures = 0;
  #outageSince: number | undefined;
  /** Whether no call as a watcher has shown yet that the store answers. */
  #unconfirmed = false;

  constructor(opts: ResourceWatcherOptions<T>) {
    this.#opts = opts;
    this.#startedAt = opts.clock.now();
    this.#calls = opts.calls ?? new WatchCalls({
      ...opts,
      kinds: [opts.kind],
      renewConnections: () => opts.source.renewConnections?.(),
    });
    this.#catchup = new Catchup(
      opts.clock,
      () => this.#catchUp().catch((cause) => this.#requireList(cause)),
    );
    this.#confirmation = new ListConfirmation(
      opts.clock,
      (revision) =>
        this.#confirmList(revision).catch((cause) => {
          this.#requireList(cause);
          return true;
        }),
    );
  }

  /** Revision of the last known change; 0 before the first list. */
  get changedAt(): number {
    return this.#cache.changedAt;
  }

  /** Runs until `close`. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      if (this.#watches || this.#revision === undefined) await this.step();
      else await new Promise<void>((resolve) => this.#wake = resolve);
    }
  }

  /** Makes one call to the store and applies its result. */
  async step(): Promise<void> {
    try {
      await this.#callStore();
    } catch (cause) {
      this.#requireList(cause);
      await sleep(this.#opts.clock, MAX_BACKOFF_MS);
    }
  }

  async #callStore(): Promise<void> {
    const failed = this.#revision === undefined
      ? await this.#list()
      : await this.#watch(this.#revision);
    if (this.#abort.signal.aborted) return;
    if (failed !== undefined) await this.#recover(failed);
    else if (this.#pauseMs > 0) await sleep(this.#opts.clock, this.#pauseMs);
    this.#pauseMs = 0;
  }

  /** Sets whether this instance watches the store or relies on relayed changes. */
  setWatching(watches: boolean): void {
    if (watches && !this.#watches) this.#unconfirmed = true;
    this.#watches = watches;
    if (watches) this.#wake?.();
  }

  /** Applies changes that a peer relays. */
  applyRelayed(batch: RelayedChanges): void {
    try {
      this.#applyRelayed(batch);
    } catch (cause) {
      this.#requireList(cause);
    }
  }

  #applyRelayed(batch: RelayedChanges): void {
    if (this.#revision === undefined || batch.upTo <= this.#revision) return;
    if (batch.changes === undefined || batch.after > this.#revision) {
      return this.onRevision(batch.upTo);
    }
    const changes: StoredChange<T>[] = [];
    for (const { raw, deleted } of batch.changes) {
      const entry = this.#opts.source.read(raw);
      if (entry !== undefined) changes.push({ entry, deleted });
    }
    if (batch.holdMs > 0) this.#opts.handler.holdDeleted?.(batch.holdMs);
    this.#applyNewer(changes);
    this.#revision = batch.upTo;
    this.#cache.setRevision(batch.upTo);
  }

  /** Handles a peer's report of a change at a revision. */
  onRevision(revision: number): void {
    this.#reportedRevision = Math.max(this.#reportedRevision, revision);
    if (this.#isBehind()) this.#catchup.schedule();
  }

  /** All objects, for a peer that is behind; undefined before the first list. */
  snapshot(): RelayedSnapshot | undefined {
    if (this.#revision === undefined) return undefined;
    const { changedAt, objects } = this.#cache;
    const holdMs = this.#opts.handler.holdMs?.() ?? 0;
    return { revision: this.#revision, changedAt, objects, holdMs };
  }

  close(): void {
    this.#abort.abort();
    this.#catchup.close();
    this.#confirmation.close();
    this.#wake?.();
  }

  async #list(): Promise<Failure | undefined> {
    const { source } = this.#opts;
    if (this.#waitsForPeers) {
      const copied = await this.#awaitPeerSnapshot();
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
    return waits && !this.#initialized && !this.#watches;
  }

  /**
   * Waits for a peer's snapshot at startup. Otherwise, at a fleet's first start,
   * each instance would read every page of every list: 14 calls each with 340
   * endpoints, long before the first request.
   */
  async #awaitPeerSnapshot(): Promise<boolean> {
    while (this.#waitsForPeers) {
      if (
        this.#reportedRevision > 0 && await this.#fetch(this.#reportedRevision)
      ) return true;
      await sleep(this.#opts.clock, PEER_POLL_MS);
      if (this.#abort.signal.aborted) return false;
    }
    return false;
  }

  #replace(all: Snapshot<T>): undefined {
    // Before the entries: a missing entry may have expired during an outage.
    this.#onReachable();
    this.#opts.handler.replaced(all.entries);
    this.#cache.replace(all, { again: this.#initialized });
    this.#initialized = true;
    this.#mustReplace = false;
    this.#revision = all.revision;
    this.#opts.log.event("kind_listed", {
      kind: this.#opts.kind,
      revision: all.revision,
      changedAt: this.#cache.changedAt,
      objects: all.entries.length,
    });
    this.#confirmation.schedule(all.revision);
  }

  /**
   * Reads the changes since a list once, unless this instance watches the store
   * or has moved on. Returns whether that is done.
   */
  async #confirmList(revision: number): Promise<boolean> {
    if (this.#watches || this.#revision !== revision) return true;
    return await this.#readFromStore(revision);
  }

  async #watch(revision: number): Promise<Failure | undefined> {
    const { source } = this.#opts;
    const { signal } = this.#abort;
    this.#confirmation.close();
    const call: WatchCall<T> = (waitMs, signal, opts) =>
      source.watch(revision, waitMs, signal, opts);
    const seen = await this.#callWatch(call, signal);
    return seen.match((changes) => this.#apply(changes), (failed) => failed);
  }

  /**
   * Does not wait for changes while it is not known that the store answers: an
   * instance that has just become a watcher would take seconds to tell.
   */
  #callWatch(
    call: WatchCall<T>,
    signal: AbortSignal,
  ): ReturnType<WatchCall<T>> {
    if (this.#outageSince !== undefined) {
      return call(OUTAGE_WATCH_TIMEOUT_MS, signal);
    }
    return this.#unconfirmed
      ? call(IMMEDIATE_TIMEOUT_MS, signal, { newConnection: true })
      : this.#calls.watch(this.#opts.kind, call, signal);
  }

  #apply(batch: Changes<T>): undefined {
    // Before the changes, for the same reason as in `#replace`.
    this.#onReachable();
    const after = this.#cache.contiguousRevision;
    const fresh = batch.revision > (this.#revision ?? 0);
    if (fresh && batch.changes.length > 0) {
      this.#pauseMs = this.#batchPause.next(this.#opts.clock.now());
      this.#applyNewer(batch.changes);
      this.#relay(after, this.#cache.advanceTo(batch), batch.changes);
    }
    this.#revision = Math.max(this.#revision ?? 0, batch.revision);
  }

  /** Applies the changes that are newer than the cached objects. */
  #applyNewer(changes: readonly StoredChange<T>[]): void {
    this.#notifyHandler(
      changes.filter((change) => this.#cache.applyIfNewer(change)),
    );
  }

  #notifyHandler(changes: readonly StoredChange<T>[]): void {
    const { handler } = this.#opts;
    for (const { entry, deleted } of changes) {
      if (deleted) handler.deleted(entry.name);
      else handler.changed(entry);
    }
  }

  #relay(
    after: number,
    upTo: number,
    changes: readonly StoredChange<T>[],
  ): void {
    const { kind, relay, handler } = this.#opts;
    relay?.({
      kind,
      after,
      upTo,
      changes: changes.map(({ entry, deleted }) => ({
        raw: entry.raw,
        deleted,
      })),
      holdMs: handler.holdMs?.() ?? 0,
    });
  }

  #isBehind(): boolean {
    return this.#revision !== undefined &&
      this.#revision < this.#reportedRevision;
  }

  /** Fetches missing changes from a peer, or from the store if no peer has them. */
  async #catchUp(): Promise<void> {
    const revision = this.#revision;
    if (revision === undefined || !this.#isBehind()) return;
    if (await this.#fetch(this.#reportedRevision)) return;
    await this.#readFromStore(revision);
  }

  /** Reads changes from the store at once; returns whether it responded. */
  async #readFromStore(revision: number): Promise<boolean> {
    const { source, handler } = this.#opts;
    const { signal } = this.#abort;
    const seen = await source.watch(revision, IMMEDIATE_TIMEOUT_MS, signal, {
      newConnection: true,
    });
    if (signal.aborted) return true;
    if (seen.isOk()) {
      this.#opts.onAnswer?.();
      handler.setReachable(true);
      this.#apply(seen.value);
      return true;
    }
    if (seen.error.code !== "history_lost") return false;
    this.#revision = undefined;
    this.#wake?.();
    return true;
  }

  /** Loads a newer snapshot from a peer; returns whether it did. */
  async #fetch(atLeast: number): Promise<boolean> {
    const { kind, fetch = NO_PEERS, source, handler, log } = this.#opts;
    const fetched = await fetch(kind, atLeast, this.#abort.signal);
    if (fetched.isErr()) return false;
    const { revision, changedAt, objects, holdMs } = fetched.value;
    if (revision <= (this.#revision ?? 0)) return false;
    const entries: StoredEntry<T>[] = [];
    for (const raw of objects) {
      const entry = source.read(raw);
      if (entry !== undefined) entries.push(entry);
    }
    if (holdMs > 0) handler.holdDeleted?.(holdMs);
    // Only differences are applied: an endpoint's entry states how long it stays
    // cold from receipt, so applying it again would extend that time.
    if (this.#initialized && !this.#mustReplace) {
      this.#notifyHandler(this.#cache.difference(entries));
    } else handler.replaced(entries);
    this.#cache.load({ entries, revision }, changedAt);
    this.#initialized = true;
    this.#mustReplace = false;
    this.#revision = revision;
    log.event("kind_fetched", { kind, revision });
    return true;
  }

  /** After the handler failed: reads all objects again. */
  #requireList(cause: unknown): void {
    const { kind, log } = this.#opts;
    log.event("kind_not_applied", { kind, cause: String(cause) });
    this.#mustReplace = true;
    this.#revision = undefined;
    this.#wake?.();
  }

  #onReachable(): void {
    const { kind, log, handler, clock, onAnswer } = this.#opts;
    const lostAt = this.#outageSince;
    onAnswer?.();
    this.#failures = 0;
    this.#outageSince = undefined;
    if (lostAt !== undefined || this.#unconfirmed) handler.setReachable(true);
    this.#unconfirmed = false;
    if (lostAt === undefined) return;
    const lostMs = Math.round(clock.now() - lostAt);
    log.event("store_regained", { kind, lostMs });
  }

  async #recover(failed: Failure): Promise<void> {
    const { kind, log, handler, source, clock, random } = this.#opts;
    if (failed.code === "history_lost") {
      this.#revision = undefined;
      log.event("store_history_lost", { kind });
      return;
    }
    this.#failures++;
    if (this.#outageSince === undefined) {
      this.#outageSince = clock.now();
      handler.setReachable(false);
      source.renewConnections?.();
      log.event("store_lost", { kind, code: failed.code });
    }
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** (this.#failures - 1),
    );
    await sleep(clock, backoffMs * (0.5 + 0.5 * random.next()));
  }
}

const NO_PEERS: FetchFromPeer = () =>
  Promise.resolve(fail("peer_unavailable", "no peers are configured"));
