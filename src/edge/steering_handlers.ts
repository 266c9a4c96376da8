/**
 * Handlers that apply watched resources to the traffic state.
 *
 * @module
 */
import type { Clock, EndpointId, Log, Timer, ZoneId } from "../core/mod.ts";
import type { ResourceHandler, StoredEntry } from "../watcher/mod.ts";
import type { EndpointRecord, TrafficPlan } from "../traffic/mod.ts";
import type { ExpiryGuard } from "./expiry_guard.ts";
import type { TrafficState } from "./traffic_state.ts";

/** How often it is asked whether missing entries may still be renewed, in ms. */
const REVIEW_INTERVAL_MS = 200;

/** Applies plans. */
export class PlanHandler implements ResourceHandler<TrafficPlan> {
  readonly #state: TrafficState;
  readonly #log: Log;
  readonly #onAdopted: (plan: TrafficPlan) => void;

  constructor(
    state: TrafficState,
    log: Log,
    onAdopted: (plan: TrafficPlan) => void,
  ) {
    this.#state = state;
    this.#log = log;
    this.#onAdopted = onAdopted;
  }

  replaced(entries: readonly StoredEntry<TrafficPlan>[]): void {
    for (const entry of entries) this.changed(entry);
  }

  changed({ name, value }: StoredEntry<TrafficPlan>): void {
    if (value === undefined) {
      this.#log.event("plan_unreadable", { name });
      return;
    }
    if (!this.#state.adopt(value)) return;
    this.#log.event("plan_in_force", {
      plan: value.version,
      routes: value.routes.length,
      accounts: value.accounts.length,
    });
    this.#onAdopted(value);
  }

  /** When the plan is deleted, the last one stays in force. */
  deleted(name: string): void {
    this.#log.event("plan_missing", { name, plan: this.#state.planVersion });
  }

  setReachable(): void {}
}

/** Applies the endpoints' registrations. */
export class EndpointHandler implements ResourceHandler<EndpointRecord> {
  readonly #state: TrafficState;
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #onListed: () => void;
  readonly #expiry: ExpiryGuard;
  /** Endpoints whose registrations may have expired in a store outage. */
  readonly #missing = new Set<EndpointId>();
  #review: Timer | undefined;

  constructor(opts: {
    readonly state: TrafficState;
    readonly clock: Clock;
    readonly log: Log;
    readonly expiry: ExpiryGuard;
    readonly onListed: () => void;
  }) {
    this.#state = opts.state;
    this.#clock = opts.clock;
    this.#log = opts.log;
    this.#expiry = opts.expiry;
    this.#onListed = opts.onListed;
  }

  replaced(entries: readonly StoredEntry<EndpointRecord>[]): void {
    const listedIds = new Set(entries.map(({ name }) => name as EndpointId));
    for (const row of [...this.#state.endpoints.rows()]) {
      if (!listedIds.has(row.id)) this.deleted(row.id);
    }
    for (const entry of entries) this.changed(entry);
    this.#onListed();
  }

  changed({ name, value, revision }: StoredEntry<EndpointRecord>): void {
    const id = name as EndpointId;
    this.#missing.delete(id);
    if (value === undefined) {
      this.#log.event("endpoint_unreadable", { endpoint: id });
      this.#state.endpoints.remove(id);
      return;
    }
    this.#logChange(value, revision);
    this.#state.endpoints.put(value, this.#clock.now());
  }

  deleted(name: string): void {
    const id = name as EndpointId;
    const row = this.#state.endpoints.get(id);
    if (row === undefined || this.#missing.has(id)) return;
    if (this.holdMs() <= 0 || row.isEnding) return this.#removeNow(id, "gone");
    this.#missing.add(id);
    this.#reviewLater();
  }

  setReachable(reachable: boolean): void {
    if (reachable) this.#expiry.regained(this.#clock.now());
    else this.#expiry.lost(this.#clock.now());
  }

  holdMs(): number {
    return this.#expiry.holdMs(this.#clock.now());
  }

  holdDeleted(forMs: number): void {
    this.#expiry.holdFor(forMs, this.#clock.now());
  }

  close(): void {
    this.#review?.close();
  }

  /** The hold may end early: a peer reports that there was no outage. */
  #reviewLater(): void {
    const waitMs = Math.min(REVIEW_INTERVAL_MS, this.holdMs());
    this.#review ??= this.#clock.after(waitMs, () => this.#reviewMissing());
  }

  #reviewMissing(): void {
    this.#review = undefined;
    if (this.#missing.size === 0) return;
    if (this.holdMs() > 0) return this.#reviewLater();
    const lapsed = [...this.#missing];
    this.#missing.clear();
    for (const id of lapsed) this.#removeNow(id, "lapsed");
  }

  #removeNow(id: EndpointId, reason: string): void {
    this.#log.event("endpoint_removed", { endpoint: id, reason });
    this.#state.endpoints.remove(id);
  }

  #logChange(record: EndpointRecord, revision: number): void {
    const known = this.#state.endpoints.get(record.id)?.record;
    const isUnchanged = known !== undefined && known.bornAt === record.bornAt &&
      known.draining === record.draining && known.coldMs === record.coldMs;
    if (isUnchanged) return;
    this.#log.event("endpoint_changed", {
      endpoint: record.id,
      service: record.service,
      zone: record.zone,
      draining: record.draining,
      coldMs: record.coldMs,
      revision,
    });
  }
}

/** Applies zone evacuations; an entry has the name of its zone. */
export class EvacuationHandler implements ResourceHandler<true> {
  readonly #state: TrafficState;
  readonly #clock: Clock;
  readonly #log: Log;

  constructor(state: TrafficState, clock: Clock, log: Log) {
    this.#state = state;
    this.#clock = clock;
    this.#log = log;
  }

  replaced(entries: readonly StoredEntry<true>[]): void {
    const listedZones = new Set(entries.map(({ name }) => name));
    for (const zone of this.#state.evacuatedZones()) {
      if (!listedZones.has(zone)) this.deleted(zone);
    }
    for (const entry of entries) this.changed(entry);
  }

  changed({ name }: StoredEntry<true>): void {
    if (!this.#state.evacuate(name as ZoneId)) return;
    this.#log.event("zone_evacuated", { zone: name });
  }

  deleted(name: string): void {
    if (!this.#state.restore(name as ZoneId, this.#clock.now())) return;
    this.#log.event("zone_restored", { zone: name });
  }

  setReachable(): void {}
}
