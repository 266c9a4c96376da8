/**
 * Dispatches to the own availability zone first, then to the region's other
 * zones, then to other regions.
 *
 * Handles a zone whose endpoints fail, drain or are full. Without it the zone's
 * callers are refused while other zones have capacity. A request is forwarded
 * only if the local wait exceeds the extra round trip, within what the other
 * instance granted, and while the link has capacity.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  type Clock,
  fail,
  type Failure,
  type InstanceId,
  type Random,
  type RegionId,
  type ServiceId,
  type Timer,
  type ZoneId,
} from "../../core/mod.ts";
import type { SteeringDocument } from "../../document/mod.ts";
import { DrainSet } from "../drains/mod.ts";
import {
  type Dispatcher,
  type FairDispatcher,
  type Slot,
  type SteeringRequest,
  type WorkResult,
} from "../steering/mod.ts";
import type { LinkBudgets } from "./link_budgets.ts";
import {
  type RemoteCapacityTable,
  remoteEndpointId,
  type RemotePeer,
} from "./remote_capacity_table.ts";
import { RemoteDemand } from "./remote_demand.ts";

export interface RegionDispatcherDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly local: FairDispatcher;
  readonly remoteCapacity: RemoteCapacityTable;
  readonly links: LinkBudgets;
  /** Whether this instance reaches the endpoints of its zone. */
  readonly reachesEndpoints: () => boolean;
}

interface PendingRequest {
  readonly req: SteeringRequest;
  readonly settle: (result: Result<Slot, Failure>) => void;
}

/** Added latency of another zone, with margin; shorter waits stay local. */
const ZONE_DETOUR_MS = 10;
/** The same for another region: a round trip of 2 x 12 ms, with margin. */
const REGION_DETOUR_MS = 50;
/**
 * Longest wait for a first grant if there is no endpoint here. A grant takes
 * two ticks; if none arrives in this time, no instance has capacity.
 */
const MAX_GRANT_WAIT_MS = 500;
const MAX_PENDING = 256;

/** Dispatches over zones and regions. */
export class RegionDispatcher implements Dispatcher {
  readonly #deps: RegionDispatcherDeps;
  readonly #demand = new RemoteDemand();
  readonly #pending = new Set<PendingRequest>();
  #services: readonly ServiceId[] = [];
  #drained: DrainSet | undefined;

  constructor(deps: RegionDispatcherDeps) {
    this.#deps = deps;
  }

  adopt(document: SteeringDocument, now: number): void {
    this.#deps.links.adopt(document, now);
    this.#services = Object.keys(document.services) as ServiceId[];
    this.#drained = new DrainSet(document);
    this.#deps.local.adopt(document, now);
    this.tick(now);
  }

  tick(now: number): void {
    const { local, remoteCapacity, reachesEndpoints } = this.#deps;
    local.tick(now);
    const isIsolated = !reachesEndpoints();
    for (const service of this.#services) {
      const load = local.loadOf(service, now);
      // Without local capacity, remote capacity is requested in advance.
      const hasCapacity = !isIsolated && (load?.capacity ?? 0) > 0;
      const baseDemand = hasCapacity ? 0 : 1;
      const waiting = load?.waiting ?? 0;
      const running = remoteCapacity.inFlight(service);
      this.#demand.endTick(service, Math.max(baseDemand, waiting + running));
    }
    this.retry(now);
  }

  /** Requests of a service that this instance wants to forward. */
  wanted(service: ServiceId): number {
    return this.#demand.of(service);
  }

  /** Retries requests that wait for a grant, when capacity may have grown. */
  retry(now: number): void {
    for (const pending of [...this.#pending]) {
      const slot = this.#tryLocal(pending.req, now) ??
        this.#takeRemote(pending.req, Infinity, now);
      if (slot) pending.settle(ok(slot));
    }
  }

  async acquire(
    req: SteeringRequest,
    signal?: AbortSignal,
  ): Promise<Result<Slot, Failure>> {
    const { clock, local, reachesEndpoints } = this.#deps;
    const now = clock.now();
    if (signal?.aborted) return cancelled();
    const slot = this.#tryLocal(req, now);
    if (slot) return ok(slot);
    const waitMs = reachesEndpoints()
      ? local.expectedWaitMs(req, now)
      : Infinity;
    if (waitMs <= ZONE_DETOUR_MS) return await this.#waitLocal(req, signal);
    this.#demand.add(req.service);
    const remote = this.#takeRemote(req, waitMs, now);
    if (remote) return ok(remote);
    if (waitMs !== Infinity) return await this.#waitLocal(req, signal);
    return await this.#waitForGrant(req, signal);
  }

  #tryLocal(req: SteeringRequest, now: number): Slot | undefined {
    const { local, reachesEndpoints } = this.#deps;
    return reachesEndpoints() ? local.tryAcquire(req, now) : undefined;
  }

  /** Waits for a local slot; forwards if a drain leaves no local endpoint. */
  async #waitLocal(
    req: SteeringRequest,
    signal: AbortSignal | undefined,
  ): Promise<Result<Slot, Failure>> {
    const slot = await this.#deps.local.acquire(req, signal);
    if (slot.isOk() || slot.error.code !== "no_endpoint") return slot;
    return await this.#waitForGrant(req, signal);
  }

  #takeRemote(
    req: SteeringRequest,
    waitMs: number,
    now: number,
  ): Slot | undefined {
    const { zone, region } = this.#deps;
    const sameRegion = this.#takeFromTier(
      req,
      now,
      (p) => p.region === region && p.zone !== zone,
    );
    if (sameRegion) return sameRegion;
    if (waitMs === Infinity) {
      const sameZone = this.#takeFromTier(req, now, (p) => p.zone === zone);
      if (sameZone) return sameZone;
    }
    if (waitMs <= REGION_DETOUR_MS) return undefined;
    return this.#takeFromTier(req, now, (p) => p.region !== region);
  }

  #takeFromTier(
    req: SteeringRequest,
    now: number,
    tier: (peer: RemotePeer) => boolean,
  ): Slot | undefined {
    const { remoteCapacity, random, links, region } = this.#deps;
    const { service, exclude } = req;
    const accept = (peer: RemotePeer) =>
      tier(peer) && !this.#isDrained(peer) &&
      (peer.region === region || links.canSend(peer.region, now));
    const row = remoteCapacity.choose(
      { service, exclude, now, accept },
      random,
    );
    if (row === undefined) return undefined;
    remoteCapacity.take(service, row, now);
    const { peer } = row;
    let held = true;
    return {
      endpoint: remoteEndpointId(peer),
      url: peer.peerUrl,
      zone: peer.zone,
      forward: {
        instance: peer.instance,
        region: peer.region,
        crossesLink: peer.region !== region,
      },
      answered: () => {},
      stated: () => {},
      release: (result, at) => {
        if (!held) return;
        held = false;
        remoteCapacity.release(row, REMOTE_RESULTS[result], at);
        this.retry(at);
      },
    };
  }

  #isDrained(
    { zone, instance }: { zone: ZoneId; instance: InstanceId },
  ): boolean {
    const drained = this.#drained;
    return drained === undefined || drained.zone(zone) ||
      drained.instance(instance);
  }

  /**
   * Without a recent grant any request may wait for one. Otherwise only as many
   * may wait as can be in flight remotely; more would wait in vain.
   */
  #mayWaitForGrant(service: ServiceId, now: number): boolean {
    if (this.#pending.size >= MAX_PENDING) return false;
    const { remoteCapacity } = this.#deps;
    if (!remoteCapacity.hasFreshGrant(service, now)) return true;
    const waiting = [...this.#pending].filter((p) => p.req.service === service);
    return waiting.length < remoteCapacity.totalAllowed(service, now);
  }

  #waitForGrant(
    req: SteeringRequest,
    signal: AbortSignal | undefined,
  ): Promise<Result<Slot, Failure>> {
    const { clock } = this.#deps;
    if (!this.#mayWaitForGrant(req.service, clock.now())) {
      return Promise.resolve(noCapacity(req));
    }
    const waitMs = Math.min(MAX_GRANT_WAIT_MS, req.deadline - clock.now());
    return new Promise((resolve) => {
      const onAbort = () => pending.settle(cancelled());
      const pending: PendingRequest = {
        req,
        settle: (result) => {
          this.#pending.delete(pending);
          timer.close();
          signal?.removeEventListener("abort", onAbort);
          resolve(result);
        },
      };
      const timer: Timer = clock.after(
        Math.max(0, waitMs),
        () => pending.settle(noCapacity(req)),
      );
      signal?.addEventListener("abort", onAbort);
      this.#pending.add(pending);
    });
  }
}

const REMOTE_RESULTS: Readonly<Record<WorkResult, "fine" | "full" | "lost">> = {
  ok: "fine",
  cancelled: "fine",
  timeout: "fine",
  shed: "full",
  failed: "lost",
};

function cancelled(): Result<never, Failure> {
  return fail("cancelled", "the caller disconnected", { outcome: "not-run" });
}

function noCapacity(req: SteeringRequest): Result<never, Failure> {
  return fail(
    "no_endpoint",
    `no zone has capacity for service ${req.service}`,
    {
      outcome: "not-run",
      retryAfterMs: MAX_GRANT_WAIT_MS,
    },
  );
}
