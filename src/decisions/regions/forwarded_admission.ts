/**
 * Admission control for requests that other instances forward here.
 *
 * Handles grants that are stale, lost or used twice: forwarded requests beyond
 * the capacity left by this region's own callers are refused as not run, so
 * that no decision of another instance can overload this region.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  fail,
  type Failure,
  type InstanceId,
  type RegionId,
  type ServiceId,
} from "../../core/mod.ts";
import type { SteeringDocument } from "../../document/mod.ts";
import type { FairDispatcher, Slot, SteeringRequest } from "../steering/mod.ts";
import type { CapacityGrants } from "./capacity_grants.ts";
import type { LinkBudgets } from "./link_budgets.ts";

export interface ForwardedAdmissionDeps {
  readonly region: RegionId;
  readonly local: FairDispatcher;
  readonly grants: CapacityGrants;
  readonly links: LinkBudgets;
  readonly document: () => SteeringDocument;
  /** Whether this instance accepts no more forwarded requests. */
  readonly closed: () => boolean;
}

/** The instance that forwarded a request. */
export interface ForwardingInstance {
  readonly instance: InstanceId;
  readonly region: RegionId;
}

const DEFAULT_HEADROOM = 0.2;

/** Admits forwarded requests within the grants and the free capacity. */
export class ForwardedAdmission {
  readonly #deps: ForwardedAdmissionDeps;
  readonly #inFlight = new Map<ServiceId, Map<InstanceId, number>>();

  constructor(deps: ForwardedAdmissionDeps) {
    this.#deps = deps;
  }

  /**
   * Forwarded requests that may run here at once: the slots without the
   * headroom, less the requests of own callers in flight and queued.
   */
  forwardedCapacity(service: ServiceId, now: number): number {
    const { local, closed, document, region } = this.#deps;
    const load = local.loadOf(service, now);
    if (load === undefined || closed()) return 0;
    const headroom = document().regions[region]?.headroom ?? DEFAULT_HEADROOM;
    const ownInFlight = load.inFlight - this.inFlight(service);
    const usable = Math.floor(load.capacity * (1 - headroom));
    return Math.max(0, usable - ownInFlight - load.waiting);
  }

  /** Forwarded requests of one service in flight here. */
  inFlight(service: ServiceId): number {
    const byInstance = this.#inFlight.get(service)?.values() ?? [];
    return [...byInstance].reduce((n, r) => n + r, 0);
  }

  /** Forwarded requests of all services in flight here. */
  get totalInFlight(): number {
    const services = [...this.#inFlight.keys()];
    return services.reduce((n, service) => n + this.inFlight(service), 0);
  }

  /** Reserves a slot without waiting, or refuses with outcome `not-run`. */
  admit(
    req: SteeringRequest,
    from: ForwardingInstance,
    now: number,
  ): Result<Slot, Failure> {
    const { local, grants, links, region } = this.#deps;
    const { service } = req;
    const active = this.#inFlight.get(service)?.get(from.instance) ?? 0;
    const granted = grants.granted({ instance: from.instance, service }, now);
    const linkFree = from.region === region ||
      links.canSend(from.region, now);
    const fits = this.inFlight(service) < this.forwardedCapacity(service, now);
    if (!linkFree || !fits || active >= Math.max(1, granted)) return refuse();
    const slot = local.tryAcquire(req, now);
    return slot ? ok(this.#count(slot, service, from.instance)) : refuse();
  }

  #count(slot: Slot, service: ServiceId, from: InstanceId): Slot {
    this.#add(service, from, 1);
    let held = true;
    return {
      ...slot,
      release: (result, now) => {
        if (held) this.#add(service, from, -1);
        held = false;
        slot.release(result, now);
      },
    };
  }

  #add(service: ServiceId, from: InstanceId, delta: number): void {
    const counts = this.#inFlight.get(service) ?? new Map();
    this.#inFlight.set(service, counts);
    const active = (counts.get(from) ?? 0) + delta;
    if (active === 0) counts.delete(from);
    else counts.set(from, active);
  }
}

function refuse(): Result<never, Failure> {
  return fail("no_capacity", "no capacity for forwarded requests", {
    outcome: "not-run",
  });
}
