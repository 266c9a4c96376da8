/**
 * Keeps up with one kind of object in the store: reads all of it once, then
 * asks for changes, one waiting call after another.
 *
 * @module
 */
import type { Clock, Failure, Log, Random } from "../core/mod.ts";
import { sleep } from "../core/mod.ts";
import type { Changes, KindSink, KindSource, Snapshot } from "./kind_source.ts";

/**
 * How long a call waits for a change, in milliseconds. Connections may go
 * silent for good, which shows only when a call that should have ended has not:
 * so this bounds how long a drain or a new plan can go unseen after that.
 */
const WAIT_MS = 3_000;
/**
 * How long a call waits while the store is away, in milliseconds: whether it is
 * back shows with the answer, and until then drains go unseen.
 */
const LOST_WAIT_MS = 100;
/** How long after a failure the next call comes, in milliseconds. */
const FIRST_PAUSE_MS = 100;
/**
 * The longest pause: when the store is back, a drain is to be in force within
 * two seconds, and each call costs.
 */
const LONGEST_PAUSE_MS = 600;

/** What a follower works with. */
export interface KindFollowerOptions<T> {
  readonly kind: string;
  readonly source: KindSource<T>;
  readonly sink: KindSink<T>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/** Follows until closed. */
export class KindFollower<T> {
  readonly #opts: KindFollowerOptions<T>;
  readonly #abort = new AbortController();
  /** Undefined while everything has to be read. */
  #revision: number | undefined;
  #failures = 0;
  #lostAt: number | undefined;

  constructor(opts: KindFollowerOptions<T>) {
    this.#opts = opts;
  }

  /** Runs until `close`. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) await this.step();
  }

  /** One call to the store and what follows from it. */
  async step(): Promise<void> {
    const failed = this.#revision === undefined
      ? await this.#list()
      : await this.#watch(this.#revision);
    if (this.#abort.signal.aborted) return;
    if (failed !== undefined) await this.#recover(failed);
  }

  close(): void {
    this.#abort.abort();
  }

  async #list(): Promise<Failure | undefined> {
    const { source } = this.#opts;
    const read = await source.list(this.#abort.signal);
    return read.match((all) => this.#replace(all), (failed) => failed);
  }

  #replace(all: Snapshot<T>): undefined {
    // Before the entries: what is missing means something else after an outage.
    this.#inTouch();
    this.#opts.sink.replaced(all.entries);
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
    const { sink } = this.#opts;
    for (const { entry, deleted } of news.changes) {
      if (deleted) sink.deleted(entry.name);
      else sink.changed(entry);
    }
    this.#revision = Math.max(this.#revision ?? 0, news.revision);
  }

  #inTouch(): void {
    this.#failures = 0;
    if (this.#lostAt === undefined) return;
    const { kind, log, sink, clock } = this.#opts;
    const lostMs = Math.round(clock.now() - this.#lostAt);
    this.#lostAt = undefined;
    sink.contact(true);
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
