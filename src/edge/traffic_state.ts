/**
 * What an instance steers requests by at this moment.
 *
 * @module
 */
import {
  hash,
  type RegionId,
  type ServiceId,
  type ZoneId,
} from "../core/mod.ts";
import {
  NOTHING_PINNED,
  type PinnedDemand,
  pinnedDemand,
} from "../decisions/placement/mod.ts";
import {
  type EndpointRow,
  EndpointTable,
  type EndpointTableEvents,
  RouteTable,
  type TrafficPlan,
} from "../traffic/mod.ts";

/**
 * How long endpoints of a zone are treated as cold once its evacuation ends, in
 * milliseconds. They may have lost what they held in memory; the registry says
 * so with their next report, up to a report's period later.
 */
const COLD_AFTER_EVACUATION_MS = 2_000;

/** The plan in force, the endpoints, and the zones being evacuated. */
export class TrafficState {
  readonly endpoints: EndpointTable;
  #table: RouteTable | undefined;
  #bound = NOTHING_PINNED;
  readonly #evacuated = new Set<ZoneId>();
  /** Answers of `eligible`, until an endpoint or a zone changes. */
  readonly #eligible = new Map<string, readonly EndpointRow[]>();
  #eligibleAt = -1;
  #zoneChanges = 0;

  constructor(
    regionOf: (zone: ZoneId) => RegionId | undefined,
    events: EndpointTableEvents,
  ) {
    this.endpoints = new EndpointTable(regionOf, hash, events);
  }

  /** Routes and accounts; undefined before the first plan. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Work that the plan binds to one region. */
  get bound(): PinnedDemand {
    return this.#bound;
  }

  get planVersion(): number {
    return this.#table?.plan.version ?? 0;
  }

  /**
   * Puts a plan in force unless it is older than the one that is. Gives whether
   * it did: a late read must not take back what callers have seen in force.
   */
  adopt(plan: TrafficPlan): boolean {
    if (this.#table !== undefined && plan.version <= this.planVersion) {
      return false;
    }
    this.#table = new RouteTable(plan);
    this.#bound = pinnedDemand(plan.accounts);
    return true;
  }

  /** Begins a zone's evacuation; gives whether that is news. */
  evacuate(zone: ZoneId): boolean {
    if (this.#evacuated.has(zone)) return false;
    this.#evacuated.add(zone);
    this.#zoneChanges++;
    return true;
  }

  /** Ends a zone's evacuation; gives whether that is news. */
  restore(zone: ZoneId, now: number): boolean {
    if (!this.#evacuated.delete(zone)) return false;
    this.#zoneChanges++;
    for (const row of this.endpoints.rows()) {
      if (row.record.zone !== zone) continue;
      row.coldUntil = Math.max(row.coldUntil, now + COLD_AFTER_EVACUATION_MS);
    }
    return true;
  }

  evacuatedZones(): readonly ZoneId[] {
    return [...this.#evacuated];
  }

  /**
   * Endpoints of a service that new requests may go to. The same array until
   * something changes.
   */
  eligible(
    service: ServiceId,
    regions: ReadonlySet<RegionId> | undefined,
  ): readonly EndpointRow[] {
    const changes = this.endpoints.changes + this.#zoneChanges;
    if (changes !== this.#eligibleAt) this.#eligible.clear();
    this.#eligibleAt = changes;
    const key = `${service} ${regions === undefined ? "" : [...regions]}`;
    const known = this.#eligible.get(key);
    if (known !== undefined) return known;
    const rows = this.endpoints.ofService(service).filter((row) =>
      !row.record.draining && !this.#evacuated.has(row.record.zone) &&
      (regions === undefined || regions.has(row.region))
    );
    this.#eligible.set(key, rows);
    return rows;
  }
}
