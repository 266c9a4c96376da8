/**
 * Registered endpoints, by id and by service.
 *
 * @module
 */
import type { EndpointId, RegionId, ServiceId, ZoneId } from "../core/mod.ts";

/** An endpoint's own entry in the registry. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly service: ServiceId;
  /** Host and port. */
  readonly address: string;
  readonly zone: ZoneId;
  /** Maximum concurrent requests. */
  readonly slots: number;
  readonly draining: boolean;
  /** How much longer it stays cold, in milliseconds from its report. */
  readonly coldMs: number;
  /** Start time in milliseconds since the Unix epoch, if reported. */
  readonly bornAt: number | undefined;
}

/** Identifies one start of an endpoint, also beyond the life of its row. */
export type EndpointStart = string & { readonly EndpointStart: unique symbol };

/** An endpoint's load as reported in a response. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the endpoint's host now, as a multiple of the usual;
   * undefined if the endpoint does not report it.
   */
  readonly hostSlowdown?: number | undefined;
}

/** One instance's view of an endpoint. */
export class EndpointRow {
  record: EndpointRecord;
  readonly region: RegionId;
  readonly start: EndpointStart;
  /** Requests from this instance in flight at the endpoint. */
  inFlight = 0;
  /** When it stops being treated as cold, on this instance's clock. */
  coldUntil: number;
  /** Hash seed that spreads affinity keys; the same on every instance. */
  readonly seed: number;
  /** The latest load report, received at `reportedAt`. */
  report: LoadReport | undefined;
  reportedAt = -Infinity;
  /** Requests from other instances in flight at the endpoint, as last reported. */
  peersInFlight = 0;
  /** Whether the endpoint announced its leaving; set by the table. */
  leaving = false;

  constructor(
    record: EndpointRecord,
    region: RegionId,
    opts: { readonly seed: number; readonly now: number },
  ) {
    this.record = record;
    this.region = region;
    this.start = startOf(record);
    this.seed = opts.seed;
    this.coldUntil = opts.now + record.coldMs;
  }

  get id(): EndpointId {
    return this.record.id;
  }

  /** Whether it drains or announced its leaving, and gets no new requests. */
  get isEnding(): boolean {
    return this.record.draining || this.leaving;
  }

  /** Host and port. */
  get address(): string {
    return this.record.address;
  }

  get zone(): ZoneId {
    return this.record.zone;
  }

  /** Records a load report. */
  applyReport(report: LoadReport, now: number): void {
    this.report = report;
    this.reportedAt = now;
  }
}

/** Receives changes of the table, to update state kept per endpoint. */
export interface EndpointTableEvents {
  /** An endpoint was added. */
  added(row: EndpointRow): void;
  /** An endpoint was removed, or restarted under its id. */
  removed(row: EndpointRow): void;
}

/**
 * How long a start that announced its leaving is remembered, in milliseconds: an
 * entry may lapse and come back as long as its endpoint still runs.
 */
const LEAVING_KEPT_MS = 600_000;

export class EndpointTable {
  readonly #rows = new Map<EndpointId, EndpointRow>();
  readonly #byService = new Map<ServiceId, EndpointRow[]>();
  readonly #regionOf: (zone: ZoneId) => RegionId | undefined;
  readonly #seedOf: (id: EndpointId) => number;
  readonly #events: EndpointTableEvents;
  /** When starts announced their leaving. */
  readonly #leavingSince = new Map<EndpointStart, number>();
  #changes = 0;

  constructor(
    regionOf: (zone: ZoneId) => RegionId | undefined,
    seedOf: (id: EndpointId) => number,
    events: EndpointTableEvents,
  ) {
    this.#regionOf = regionOf;
    this.#seedOf = seedOf;
    this.#events = events;
  }

  /** Counter that increases with each change of an endpoint. */
  get changes(): number {
    return this.#changes;
  }

  rows(): IterableIterator<EndpointRow> {
    return this.#rows.values();
  }

  get(id: EndpointId): EndpointRow | undefined {
    return this.#rows.get(id);
  }

  /** Endpoints of a service, including draining ones. */
  ofService(service: ServiceId): readonly EndpointRow[] {
    return this.#byService.get(service) ?? [];
  }

  /**
   * Adds or updates an endpoint. A restart under a known id is a new endpoint:
   * no state of the old one applies to it.
   */
  put(record: EndpointRecord, now: number): void {
    const region = this.#regionOf(record.zone);
    if (region === undefined) return this.remove(record.id);
    this.#changes++;
    const known = this.#rows.get(record.id);
    if (known !== undefined && sameStart(known.record, record)) {
      known.record = record;
      known.coldUntil = Math.max(known.coldUntil, now + record.coldMs);
      return;
    }
    if (known !== undefined) this.remove(record.id);
    const seed = this.#seedOf(record.id);
    const row = new EndpointRow(record, region, { seed, now });
    row.leaving = record.bornAt !== undefined &&
      this.#leavingSince.has(row.start);
    this.#rows.set(record.id, row);
    const rows = this.#byService.get(record.service);
    if (rows === undefined) this.#byService.set(record.service, [row]);
    else rows.push(row);
    this.#events.added(row);
  }

  /**
   * Marks an endpoint that announced its leaving; returns whether it had not
   * before. Neither its entry nor a later response reverts that: only another
   * start does.
   */
  markLeaving(row: EndpointRow, now: number): boolean {
    if (row.leaving) return false;
    row.leaving = true;
    this.#changes++;
    for (const [start, at] of this.#leavingSince) {
      if (now - at > LEAVING_KEPT_MS) this.#leavingSince.delete(start);
    }
    this.#leavingSince.set(row.start, now);
    return true;
  }

  remove(id: EndpointId): void {
    const row = this.#rows.get(id);
    if (row === undefined) return;
    this.#changes++;
    this.#rows.delete(id);
    const { service } = row.record;
    const remaining = this.ofService(service).filter((r) => r !== row);
    if (remaining.length === 0) this.#byService.delete(service);
    else this.#byService.set(service, remaining);
    this.#events.removed(row);
  }
}

function startOf({ id, address, bornAt }: EndpointRecord): EndpointStart {
  return `${id} ${address} ${bornAt ?? ""}` as EndpointStart;
}

function sameStart(a: EndpointRecord, b: EndpointRecord): boolean {
  return a.address === b.address && a.service === b.service &&
    a.bornAt === b.bornAt && a.zone === b.zone;
}
