/**
 * Publishes the counts of a zone's instances to the store.
 *
 * Each instance reports its totals in the peer batch to one writer per zone,
 * which merges them into the hour's summary with one read and one write a
 * minute, so that store load grows with zones and not with instances. Without
 * summaries in the store, counts would be lost when instances stop.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock, Log, Metrics, Random } from "../core/mod.ts";
import { rendezvousOwner } from "../membership/mod.ts";
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

/** Another instance of this zone. */
export interface ZonePeer {
  readonly instance: string;
}

/** Dependencies of `BurnPublisher`. */
export interface BurnPublisherDeps {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly self: { instance: string; zone: string; incarnation: string };
  /** Live instances of this zone, without this one. */
  readonly zonePeers: () => readonly ZonePeer[];
}

/** Interval between an instance's reports of its totals, in milliseconds. */
export const REPORT_INTERVAL_MS = 10_000;
/** Mean interval between writes, in milliseconds, ±25 % jitter. */
export const WRITE_INTERVAL_MS = 60_000;
/** Maximum number of instances to keep rows of; a zone has far fewer. */
const MAX_WRITERS = 200;
const MAX_ROWS_PER_MESSAGE = 6_000;
const MAX_WRITE_ATTEMPTS = 3;

/** Counts and reports; writes if this instance is the zone's writer. */
export class BurnPublisher implements PeerSubsystem {
  readonly counts: BurnCounts = new BurnCounts();
  readonly #deps: BurnPublisherDeps;
  readonly #receivedRows = new Map<string, readonly BurnRow[]>();
  #lastReportAt = -Infinity;
  #nextWriteAt: number;
  #writing = false;

  constructor(deps: BurnPublisherDeps) {
    this.#deps = deps;
    this.#nextWriteAt = deps.clock.now() + this.#writeIntervalMs();
  }

  /** Writes the zone's summaries if due and this instance is the writer. */
  run(now: number): void {
    if (now < this.#nextWriteAt || this.#writing) return;
    this.#nextWriteAt = now + this.#writeIntervalMs();
    if (this.#writerInstance() !== this.#deps.self.instance) return;
    void this.flush();
  }

  /** Writes all current rows; called at shutdown so that none are lost. */
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
    if (
      to !== this.#writerInstance() ||
      now - this.#lastReportAt < REPORT_INTERVAL_MS
    ) return;
    this.#lastReportAt = now;
    const rows = this.counts.rows(this.#deps.clock.wall());
    batch.burn = create(BurnPartSchema, {
      rows: rows.map((row) =>
        create(BurnRowSchema, { ...row, causes: { ...row.causes } })
      ),
    });
  }

  receive(batch: Batch, from: Sender): void {
    const rows = batch.burn?.rows;
    if (rows === undefined || from.zone !== this.#deps.self.zone) return;
    const writer = writerName(from.instance, from.incarnation);
    if (
      !this.#receivedRows.has(writer) && this.#receivedRows.size >= MAX_WRITERS
    ) return;
    const now = Math.floor(this.#deps.clock.wall() / INTERVAL_MS);
    // A sender with a wrong clock could replace other hours in the ring.
    const plausible = rows.slice(0, MAX_ROWS_PER_MESSAGE)
      .filter((r) => Math.abs(r.interval - now) <= INTERVALS_PER_HOUR);
    this.#receivedRows.set(writer, plausible.map(fromMessage));
  }

  #writerInstance(): string | undefined {
    const { self, zonePeers } = this.#deps;
    const members = [self.instance, ...zonePeers().map((m) => m.instance)];
    return rendezvousOwner(`burn ${self.zone}`, members);
  }

  #writers(): Map<string, readonly BurnRow[]> {
    const { self, clock } = this.#deps;
    const own = this.counts.rows(clock.wall());
    const writers = new Map(this.#receivedRows);
    this.#receivedRows.clear();
    return writers.set(writerName(self.instance, self.incarnation), own);
  }

  /**
   * A conflict with another writer is retried at once. Other failures are
   * repaired by the next write, since rows are totals.
   */
  async #write(
    hour: number,
    writers: ReadonlyMap<string, readonly BurnRow[]>,
  ): Promise<void> {
    const { metrics, log } = this.#deps;
    let result = "conflict";
    for (let i = 0; i < MAX_WRITE_ATTEMPTS && result === "conflict"; i++) {
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
    const existing: ZoneSummary = stored?.hour === hour
      ? stored
      : emptySummary(self.zone, hour);
    const text = JSON.stringify(mergeSummary(existing, writers));
    if (text === found.value?.value) return "ok";
    const version = found.value?.version;
    const condition = version === undefined
      ? { ifAbsent: true } as const
      : { ifVersion: version };
    const put = await platform.put(key, text, condition);
    return put.isOk() ? "ok" : put.error.code;
  }

  #writeIntervalMs(): number {
    return WRITE_INTERVAL_MS * (0.75 + this.#deps.random.next() / 2);
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
