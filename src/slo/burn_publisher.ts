/**
 * Brings the counts of a zone's instances into the store.
 *
 * Each instance tells the zone's duty holder its totals by the peers' batch;
 * the holder merges them into the hour's summary with one read and one write a
 * minute, so the store's load grows with the zones and not with the instances.
 * Without summaries in the store a report would be lost with the instances.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock, Log, Metrics, Random } from "../core/mod.ts";
import { dutyHolder } from "../membership/mod.ts";
import {
  BurnPartSchema,
  type BurnRow as BurnMessage,
  BurnRowSchema,
} from "../gen/burn_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";
import type { Platform } from "../store/mod.ts";
import { BurnCounts, type BurnRow, INTERVAL_MS } from "./counts.ts";
import {
  emptySummary,
  hourOf,
  INTERVALS_PER_HOUR,
  mergeSummary,
  parseSummary,
  summaryKey,
  type ZoneSummary,
} from "./summary.ts";

/** An instance of the own zone. */
export interface ZoneMate {
  readonly instance: string;
}

/** What a publisher needs. */
export interface BurnPublisherDeps {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly self: { instance: string; zone: string; incarnation: string };
  /** Live instances of the own zone, without this one. */
  readonly mates: () => readonly ZoneMate[];
}

/** How often an instance tells its totals, in milliseconds. */
export const TELL_EVERY_MS = 10_000;
/** How often the holder writes, in milliseconds; a part of it is drawn by lot. */
export const WRITE_EVERY_MS = 60_000;
/** Writers a holder keeps rows of; a zone has far fewer instances. */
const MAX_WRITERS = 200;
const MAX_ROWS_A_MESSAGE = 6_000;
const MAX_WRITE_TRIES = 3;

/** Counts, tells and, if it is this instance's duty, writes. */
export class BurnPublisher implements PeerSubsystem {
  readonly counts: BurnCounts = new BurnCounts();
  readonly #deps: BurnPublisherDeps;
  readonly #heard = new Map<string, readonly BurnRow[]>();
  #toldAt = -Infinity;
  #nextWriteAt: number;
  #writing = false;

  constructor(deps: BurnPublisherDeps) {
    this.#deps = deps;
    this.#nextWriteAt = deps.clock.now() + this.#pause();
  }

  /** Writes the zone's summary when it is due and this instance's duty. */
  run(now: number): void {
    if (now < this.#nextWriteAt || this.#writing) return;
    this.#nextWriteAt = now + this.#pause();
    if (this.#holder() !== this.#deps.self.instance) return;
    void this.flush();
  }

  /** Writes what is known now; at a stop, so that nothing is lost. */
  async flush(): Promise<void> {
    this.#writing = true;
    const writers = this.#writers();
    const rows = [...writers.values()].flat();
    const hours = new Set(rows.map((r) => hourOf(r.interval)));
    for (const hour of hours) await this.#write(hour, writers);
    this.#writing = false;
  }

  fill(batch: Batch, to: string): void {
    const now = this.#deps.clock.now();
    if (to !== this.#holder() || now - this.#toldAt < TELL_EVERY_MS) return;
    this.#toldAt = now;
    const rows = this.counts.rows(this.#deps.clock.wall());
    batch.burn = create(BurnPartSchema, {
      rows: rows.map((row) =>
        create(BurnRowSchema, { ...row, causes: { ...row.causes } })
      ),
    });
  }

  absorb(batch: Batch, from: Sender): void {
    const rows = batch.burn?.rows;
    if (rows === undefined || from.zone !== this.#deps.self.zone) return;
    const writer = writerName(from.instance, from.incarnation);
    if (!this.#heard.has(writer) && this.#heard.size >= MAX_WRITERS) return;
    const now = Math.floor(this.#deps.clock.wall() / INTERVAL_MS);
    // A sender whose clock is wrong would take the place of other hours.
    const near = rows.slice(0, MAX_ROWS_A_MESSAGE)
      .filter((r) => Math.abs(r.interval - now) <= INTERVALS_PER_HOUR);
    this.#heard.set(writer, near.map(fromMessage));
  }

  #holder(): string | undefined {
    const { self, mates } = this.#deps;
    const members = [self.instance, ...mates().map((m) => m.instance)];
    return dutyHolder(`burn ${self.zone}`, members);
  }

  #writers(): Map<string, readonly BurnRow[]> {
    const { self, clock } = this.#deps;
    const own = this.counts.rows(clock.wall());
    const writers = new Map(this.#heard);
    this.#heard.clear();
    return writers.set(writerName(self.instance, self.incarnation), own);
  }

  /**
   * A write that fails is made up for by the next, as rows are totals; a lost
   * race against another writer is run again at once.
   */
  async #write(
    hour: number,
    writers: ReadonlyMap<string, readonly BurnRow[]>,
  ): Promise<void> {
    const { metrics, log } = this.#deps;
    let result = "conflict";
    for (let i = 0; i < MAX_WRITE_TRIES && result === "conflict"; i++) {
      result = await this.#writeOnce(hour, writers);
    }
    metrics.count("burn.writes", { result });
    if (result !== "ok") log.event("burn_write_failed", { code: result });
  }

  async #writeOnce(
    hour: number,
    writers: ReadonlyMap<string, readonly BurnRow[]>,
  ): Promise<string> {
    const { platform, self } = this.#deps;
    const key = summaryKey(self.zone, hour);
    const found = await platform.get(key);
    if (found.isErr()) return found.error.code;
    const stored = found.value && parseSummary(found.value.value);
    if (stored && stored.hour > hour) return "ok";
    const before: ZoneSummary = stored?.hour === hour
      ? stored
      : emptySummary(self.zone, hour);
    const text = JSON.stringify(mergeSummary(before, writers));
    if (text === found.value?.value) return "ok";
    const version = found.value?.version;
    const condition = version === undefined
      ? { ifAbsent: true } as const
      : { ifVersion: version };
    const put = await platform.put(key, text, condition);
    return put.isOk() ? "ok" : put.error.code;
  }

  #pause(): number {
    return WRITE_EVERY_MS * (0.75 + this.#deps.random.next() / 2);
  }
}

function writerName(instance: string, incarnation: string): string {
  return `${instance}/${incarnation}`.slice(0, 200);
}

function fromMessage(row: BurnMessage): BurnRow {
  const { interval, service, account, good, slow, refused, causes } = row;
  return {
    interval,
    service: service.slice(0, 64),
    account: account.slice(0, 64),
    good,
    slow,
    refused,
    causes: Object.fromEntries(Object.entries(causes).slice(0, MAX_CAUSES)),
  };
}

const MAX_CAUSES = 50;
