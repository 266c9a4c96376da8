/**
 * Dispatcher with a bounded fair queue for each service and a choice of the
 * better of two random endpoints.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type {
  AccountId,
  Clock,
  EndpointId,
  Failure,
  Metrics,
  Random,
  ServiceId,
  ZoneId,
} from "../../core/mod.ts";
import {
  emptyDocument,
  type EndpointEntry,
  type Service,
  type SteeringDocument,
} from "../../document/mod.ts";
import { DrainSet } from "../drains/mod.ts";
import type { Dispatcher, Slot, SteeringRequest } from "./dispatcher.ts";
import {
  type EndpointRow,
  type LoadHint,
  newEndpointRow,
} from "./endpoint_row.ts";
import { noEndpoint } from "./refusals.ts";
import { ServicePool } from "./service_pool.ts";
import type { SlotLimits } from "./slot_limits.ts";

export interface FairDispatcherDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly zone: ZoneId;
  readonly limits: SlotLimits;
}

/** Slots and queue of one service at this instance. */
export interface ServiceLoad {
  readonly service: ServiceId;
  readonly inFlight: number;
  readonly waiting: number;
  readonly capacity: number;
  readonly free: number;
}

/**
 * Reserves slots at the endpoints of the own availability zone.
 *
 * @example
 * ```ts
 * const slot = await dispatcher.acquire({ service, account, idempotent, deadline });
 * if (slot.isOk()) slot.value.release("ok", clock.now());
 * ```
 */
export class FairDispatcher implements Dispatcher {
  readonly #deps: FairDispatcherDeps;
  #pools = new Map<ServiceId, ServicePool>();
  #rows = new Map<EndpointId, EndpointRow>();
  #document: SteeringDocument = emptyDocument();
  #hasDocument = false;

  constructor(deps: FairDispatcherDeps) {
    this.#deps = deps;
  }

  adopt(document: SteeringDocument, now: number): void {
    this.#deps.limits.adopt(document, now);
    this.#document = document;
    const drained = new DrainSet(document);
    const previous = this.#rows;
    this.#rows = new Map();
    for (const [id, service] of Object.entries(document.services)) {
      this.#applyService(id as ServiceId, service, { drained, previous, now });
    }
    this.#keepBusyRows(previous, now);
    for (const [id, pool] of this.#pools) {
      if (Object.hasOwn(document.services, id)) continue;
      pool.adopt([], 0, now);
      this.#pools.delete(id);
    }
    this.#hasDocument = true;
  }

  acquire(
    req: SteeringRequest,
    signal?: AbortSignal,
  ): Promise<Result<Slot, Failure>> {
    const pool = this.#pools.get(req.service);
    if (pool === undefined) return Promise.resolve(noEndpoint(req.service));
    return pool.acquire(req, signal);
  }

  /** Reserves a slot if one is free and no queued request can take it. */
  tryAcquire(req: SteeringRequest, now: number): Slot | undefined {
    return this.#pools.get(req.service)?.tryAcquire(req, now);
  }

  /** Estimated milliseconds until a slot is free; Infinity if none can be. */
  expectedWaitMs(req: SteeringRequest, now: number): number {
    const pool = this.#pools.get(req.service);
    return pool?.expectedWaitMs(req, now) ?? Infinity;
  }

  /** Load of one service here; undefined if the document does not have it. */
  loadOf(service: ServiceId, now: number): ServiceLoad | undefined {
    const pool = this.#pools.get(service);
    return pool && loadOf(service, pool, now);
  }

  tick(now: number): void {
    for (const pool of this.#pools.values()) pool.tick(now);
  }

  /** Load of every service here. */
  load(now: number): ServiceLoad[] {
    return [...this.#pools].map(([id, pool]) => loadOf(id, pool, now));
  }

  /** Rows of the own zone's endpoints. */
  rows(): readonly EndpointRow[] {
    return [...this.#rows.values()];
  }

  /** Requests in flight at an endpoint from here, abandoned ones included. */
  inFlight(endpoint: EndpointId): number {
    return this.#rows.get(endpoint)?.inFlight ?? 0;
  }

  /** Stores an endpoint's load report unless a newer one is known. */
  recordHint(endpoint: EndpointId, loadHint: LoadHint): void {
    const row = this.#rows.get(endpoint);
    if (row && (row.hint === undefined || row.hint.at < loadHint.at)) {
      row.hint = loadHint;
    }
  }

  #applyService(
    id: ServiceId,
    service: Service,
    { drained, previous, now }: {
      drained: DrainSet;
      previous: ReadonlyMap<EndpointId, EndpointRow>;
      now: number;
    },
  ): void {
    const rows = Object.entries(service.endpoints)
      .filter(([, entry]) => entry.zone === this.#deps.zone)
      .map(([endpoint, entry]) => {
        const known = previous.get(endpoint as EndpointId);
        const config = { service: id, entry };
        const row = known && known.service === id
          ? updateEntry(known, entry)
          : this.#newRow(endpoint as EndpointId, config, now);
        setDraining(row, drained.endpoint(row.id, entry), now);
        this.#rows.set(row.id, row);
        return row;
      });
    this.#pool(id).adopt(rows, service.queue_limit, now);
  }

  /** Keeps counting requests at removed endpoints in case they are re-added. */
  #keepBusyRows(previous: ReadonlyMap<EndpointId, EndpointRow>, now: number) {
    for (const [id, row] of previous) {
      if (row.inFlight === 0 || this.#rows.has(id)) continue;
      setDraining(row, true, now);
      this.#rows.set(id, row);
    }
  }

  /** Endpoints of the first document are warm; only this instance is new. */
  #newRow(
    id: EndpointId,
    config: { service: ServiceId; entry: EndpointEntry },
    now: number,
  ): EndpointRow {
    return newEndpointRow(id, config, this.#hasDocument ? now : -Infinity);
  }

  #pool(service: ServiceId): ServicePool {
    const known = this.#pools.get(service);
    if (known) return known;
    const pool = new ServicePool({
      ...this.#deps,
      service,
      weightOf: (account) => this.#weightOf(account),
      onDrained: (endpoint, ms) => this.#onDrained(endpoint, ms),
    });
    this.#pools.set(service, pool);
    return pool;
  }

  #weightOf(account: AccountId): number {
    const { accounts } = this.#document;
    return Object.hasOwn(accounts, account)
      ? accounts[account]?.weight ?? 1
      : 1;
  }

  #onDrained(endpoint: EndpointId, ms: number): void {
    this.#deps.metrics.timing("endpoint.drain", ms, { endpoint });
  }
}

function loadOf(
  service: ServiceId,
  pool: ServicePool,
  now: number,
): ServiceLoad {
  return {
    service,
    inFlight: pool.inFlight,
    waiting: pool.waiting,
    capacity: pool.capacity(now),
    free: pool.free(now),
  };
}

function updateEntry(row: EndpointRow, entry: EndpointEntry): EndpointRow {
  row.entry = entry;
  row.adaptiveLimit = Math.min(row.adaptiveLimit, entry.slots);
  return row;
}

/** An endpoint whose drain ends gets slow start: its caches are cold. */
function setDraining(row: EndpointRow, draining: boolean, now: number): void {
  if (draining) row.drainingSince ??= now;
  else if (row.drainingSince !== undefined) {
    row.drainingSince = undefined;
    row.slowStartSince = now;
  }
}
