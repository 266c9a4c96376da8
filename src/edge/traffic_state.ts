/**
 * The state by which an instance steers requests.
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
 * How long endpoints of a zone are treated as cold after its evacuation ends, in
 * milliseconds. They may have lost their caches, and the registry shows that
 * only with their next report, up to one report period later.
 */
const COLD_AFTER_EVACUATION_MS = 2_000;

/** The plan in force, the endpoints and the evacuated zones. */
export class TrafficState {
  readonly endpoints: EndpointTable;
  #routeTable: RouteTable | undefined;
  #pinned = NOTHING_PINNED;
  readonly #evacuated = new Set<ZoneId>();
  /** Results of `eligible`; cleared when an endpoint or a zone changes. */
  readonly #eligible = new Map<string, readonly EndpointRow[]>();
  #eligibleVersion = -1;
  #zoneChanges = 0;

  constructor(
    regionOf: (zone: ZoneId) => RegionId | undefined,
    events: EndpointTableEvents,
  ) {
    this.endpoints = new EndpointTable(regionOf, hash, events);
  }

  /** Routes and accounts; undefined before the first plan. */
  get routeTable(): RouteTable | undefined {
    return this.#routeTable;
  }

  /** Demand that the plan pins to one region. */
  get pinned(): PinnedDemand {
    return this.#pinned;
  }

  get planVersion(): number {
    return this.#routeTable?.plan.version ?? 0;
  }

  /**
   * Puts a plan in force unless it is as old as the current one or older, and
   * returns whether it did: a stale read must not undo a plan in force.
   */
  adopt(plan: TrafficPlan): boolean {
    if (this.#routeTable !== undefined && plan.version <= this.planVersion) {
      return false;
    }
    this.#routeTable = new RouteTable(plan);
    this.#pinned = pinnedDemand(plan.accounts);
    return true;
  }

  /** Starts a zone's evacuation; returns whether it was not evacuated before. */
  evacuate(zone: ZoneId): boolean {
    if (this.#evacuated.has(zone)) return false;
    this.#evacuated.add(zone);
    this.#zoneChanges++;
    return true;
  }

  /** Ends a zone's evacuation; returns whether it was evacuated before. */
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
   * Endpoints of a service that may receive new requests. Returns the same array
   * until an endpoint or a zone changes.
   */
  eligible(
    service: ServiceId,
    regions: ReadonlySet<RegionId> | undefined,
  ): readonly EndpointRow[] {
    const version = this.endpoints.changes + this.#zoneChanges;
    if (version !== this.#eligibleVersion) this.#eligible.clear();
    this.#eligibleVersion = version;
    const key = `${service} ${regions === undefined ? "" : [...regions]}`;
    const cached = this.#eligible.get(key);
    if (cached !== undefined) return cached;
    const rows = this.endpoints.ofService(service).filter((row) =>
      !row.isEnding &&
      !this.#evacuated.has(row.record.zone) &&
      (regions === undefined || regions.has(row.region))
    );
    this.#eligible.set(key, rows);
    return rows;
  }
}
