/**
 * The endpoints that registered themselves, by id and by service.
 *
 * @module
 */
import type { EndpointId, RegionId, ServiceId, ZoneId } from "../core/mod.ts";

/** What an endpoint says of itself in the registry. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly service: ServiceId;
  /** Host and port. */
  readonly address: string;
  readonly zone: ZoneId;
  /** Requests it runs at the same time. */
  readonly slots: number;
  readonly draining: boolean;
  /** How much longer it is cold, in milliseconds, when it said so. */
  readonly coldMs: number;
  /** When it started, in milliseconds since the Unix epoch, if it says so. */
  readonly bornAt: number | undefined;
}

/** What an endpoint said of its own load in an answer. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** An endpoint as one instance sees it. */
export class EndpointRow {
  record: EndpointRecord;
  readonly region: RegionId;
  /** Requests of this instance that it has not answered yet. */
  inFlight = 0;
  /** Until when it is treated as cold, on the instance's clock. */
  coldUntil: number;
  /** Spreads affinity keys over endpoints; the same on every instance. */
  readonly seed: number;
  /** The latest load report, and when it came. */
  report: LoadReport | undefined;
  reportedAt = -Infinity;
  /** Requests of other instances in flight here, as they last told. */
  peersInFlight = 0;

  constructor(
    record: EndpointRecord,
    region: RegionId,
    opts: { readonly seed: number; readonly now: number },
  ) {
    this.record = record;
    this.region = region;
    this.seed = opts.seed;
    this.coldUntil = opts.now + record.coldMs;
  }

  get id(): EndpointId {
    return this.record.id;
  }

  /** Takes in a load report. */
  reported(report: LoadReport, now: number): void {
    this.report = report;
    this.reportedAt = now;
  }
}

/** What changed in the table, for those who keep state beside it. */
export interface EndpointTableEvents {
  /** An endpoint is there. */
  added(row: EndpointRow): void;
  /** An endpoint is gone, or started anew under its id. */
  removed(row: EndpointRow): void;
}

/** Every known endpoint. */
export class EndpointTable {
  readonly #rows = new Map<EndpointId, EndpointRow>();
  readonly #byService = new Map<ServiceId, EndpointRow[]>();
  readonly #regionOf: (zone: ZoneId) => RegionId | undefined;
  readonly #seedOf: (id: EndpointId) => number;
  readonly #events: EndpointTableEvents;
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

  /** Counts up with each change of an endpoint. */
  get changes(): number {
    return this.#changes;
  }

  rows(): IterableIterator<EndpointRow> {
    return this.#rows.values();
  }

  get(id: EndpointId): EndpointRow | undefined {
    return this.#rows.get(id);
  }

  /** Endpoints of a service, those that are leaving included. */
  ofService(service: ServiceId): readonly EndpointRow[] {
    return this.#byService.get(service) ?? [];
  }

  /**
   * Takes in what an endpoint says of itself. A new start under a known id is
   * a new endpoint: nothing that was learned of the old one holds.
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
    this.#rows.set(record.id, row);
    const rows = this.#byService.get(record.service);
    if (rows === undefined) this.#byService.set(record.service, [row]);
    else rows.push(row);
    this.#events.added(row);
  }

  remove(id: EndpointId): void {
    const row = this.#rows.get(id);
    if (row === undefined) return;
    this.#changes++;
    this.#rows.delete(id);
    const { service } = row.record;
    const left = this.ofService(service).filter((r) => r !== row);
    if (left.length === 0) this.#byService.delete(service);
    else this.#byService.set(service, left);
    this.#events.removed(row);
  }
}

function sameStart(a: EndpointRecord, b: EndpointRecord): boolean {
  return a.address === b.address && a.service === b.service &&
    a.bornAt === b.bornAt && a.zone === b.zone;
}
