/**
 * The dispatcher of an instance: a bounded fair queue for each service and
 * the better of two endpoints with room.
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
import { Drained } from "../drains/mod.ts";
import type { Dispatcher, Slot, SteeringRequest } from "./dispatcher.ts";
import { type EndpointRow, type LoadHint, makeRow } from "./endpoint_row.ts";
import { noEndpoint } from "./refusals.ts";
import { ServicePool } from "./service_pool.ts";
import type { SlotLimits } from "./slot_limits.ts";

/** What a dispatcher needs. */
export interface FairDispatcherDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly zone: ZoneId;
  readonly limits: SlotLimits;
}

/** What a dispatcher says of one service. */
export interface ServiceLoad {
  readonly service: ServiceId;
  readonly inFlight: number;
  readonly waiting: number;
  readonly capacity: number;
  readonly free: number;
}

/**
 * Hands out slots at the endpoints of the own availability zone.
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
  #adopted = false;

  constructor(deps: FairDispatcherDeps) {
    this.#deps = deps;
  }

  adopt(document: SteeringDocument, now: number): void {
    this.#deps.limits.adopt(document, now);
    this.#document = document;
    const drained = new Drained(document);
    const before = this.#rows;
    this.#rows = new Map();
    for (const [id, service] of Object.entries(document.services)) {
      this.#adoptService(id as ServiceId, service, { drained, before, now });
    }
    this.#keepRunning(before, now);
    for (const [id, pool] of this.#pools) {
      if (Object.hasOwn(document.services, id)) continue;
      pool.adopt([], 0, now);
      this.#pools.delete(id);
    }
    this.#adopted = true;
  }

  acquire(
    req: SteeringRequest,
    signal?: AbortSignal,
  ): Promise<Result<Slot, Failure>> {
    const pool = this.#pools.get(req.service);
    if (pool === undefined) return Promise.resolve(noEndpoint(req.service));
    return pool.acquire(req, signal);
  }

  /** A slot if one is free and nobody waits for it. */
  tryNow(req: SteeringRequest, now: number): Slot | undefined {
    return this.#pools.get(req.service)?.tryNow(req, now);
  }

  /** Milliseconds until a request would get a slot; Infinity if none is open. */
  expectedWait(req: SteeringRequest, now: number): number {
    const pool = this.#pools.get(req.service);
    return pool?.expectedWait(req, now) ?? Infinity;
  }

  /** Load of one service here; undefined if the document has no such one. */
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

  /** Takes in what an endpoint said of itself; an older report is left out. */
  hint(endpoint: EndpointId, hint: LoadHint): void {
    const row = this.#rows.get(endpoint);
    if (row && (row.hint === undefined || row.hint.at < hint.at)) {
      row.hint = hint;
    }
  }

  #adoptService(
    id: ServiceId,
    service: Service,
    { drained, before, now }: {
      drained: Drained;
      before: ReadonlyMap<EndpointId, EndpointRow>;
      now: number;
    },
  ): void {
    const rows = Object.entries(service.endpoints)
      .filter(([, entry]) => entry.zone === this.#deps.zone)
      .map(([endpoint, entry]) => {
        const known = before.get(endpoint as EndpointId);
        const of = { service: id, entry };
        const row = known && known.service === id
          ? update(known, entry)
          : this.#newRow(endpoint as EndpointId, of, now);
        setDraining(row, drained.endpoint(row.id, entry), now);
        this.#rows.set(row.id, row);
        return row;
      });
    this.#pool(id).adopt(rows, service.queue_limit, now);
  }

  /** What a removed endpoint still runs counts if the document names it again. */
  #keepRunning(before: ReadonlyMap<EndpointId, EndpointRow>, now: number) {
    for (const [id, row] of before) {
      if (row.inFlight === 0 || this.#rows.has(id)) continue;
      setDraining(row, true, now);
      this.#rows.set(id, row);
    }
  }

  /** Endpoints of the first document are warm: this instance is new, not they. */
  #newRow(
    id: EndpointId,
    of: { service: ServiceId; entry: EndpointEntry },
    now: number,
  ): EndpointRow {
    return makeRow(id, of, this.#adopted ? now : -Infinity);
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

function update(row: EndpointRow, entry: EndpointEntry): EndpointRow {
  row.entry = entry;
  row.learned = Math.min(row.learned, entry.slots);
  return row;
}

/** An endpoint that comes back from a drain starts slowly: its caches are cold. */
function setDraining(row: EndpointRow, draining: boolean, now: number): void {
  if (draining) row.drainingSince ??= now;
  else if (row.drainingSince !== undefined) {
    row.drainingSince = undefined;
    row.coldSince = now;
  }
}
