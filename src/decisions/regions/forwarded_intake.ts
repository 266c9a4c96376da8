/**
 * Work that other instances send here.
 *
 * Answers grants that are stale, lost or spent twice: whatever an instance
 * believes it may send, what does not fit beside this region's own work is
 * refused here as not run, so that no steering decision elsewhere overloads
 * this region.
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
import type { HeadroomGrants } from "./headroom_grants.ts";
import type { LinkBudgets } from "./link_budgets.ts";

/** What the intake needs. */
export interface ForwardedIntakeDeps {
  readonly region: RegionId;
  readonly local: FairDispatcher;
  readonly grants: HeadroomGrants;
  readonly links: LinkBudgets;
  readonly document: () => SteeringDocument;
  /** Whether this instance stops taking work. */
  readonly closed: () => boolean;
}

/** Who forwarded a request. */
export interface Forwarder {
  readonly instance: InstanceId;
  readonly region: RegionId;
}

const DEFAULT_HEADROOM = 0.2;

/** Lets forwarded work in, within what was granted. */
export class ForwardedIntake {
  readonly #deps: ForwardedIntakeDeps;
  readonly #running = new Map<ServiceId, Map<InstanceId, number>>();

  constructor(deps: ForwardedIntakeDeps) {
    this.#deps = deps;
  }

  /**
   * Requests of others that may run here at once: the slots without the part
   * kept free, less what runs or waits here for own callers.
   */
  shareable(service: ServiceId, now: number): number {
    const { local, closed, document, region } = this.#deps;
    const load = local.loadOf(service, now);
    if (load === undefined || closed()) return 0;
    const kept = document().regions[region]?.headroom ?? DEFAULT_HEADROOM;
    const own = load.inFlight - this.running(service);
    const usable = Math.floor(load.capacity * (1 - kept));
    return Math.max(0, usable - own - load.waiting);
  }

  /** Forwarded requests that run here. */
  running(service: ServiceId): number {
    const byInstance = this.#running.get(service)?.values() ?? [];
    return [...byInstance].reduce((n, r) => n + r, 0);
  }

  /** Forwarded requests of all services that run here. */
  get runningInAll(): number {
    const services = [...this.#running.keys()];
    return services.reduce((n, service) => n + this.running(service), 0);
  }

  /** A slot at once, or a refusal with outcome `not-run`. */
  take(
    req: SteeringRequest,
    from: Forwarder,
    now: number,
  ): Result<Slot, Failure> {
    const { local, grants, links, region } = this.#deps;
    const { service } = req;
    const runs = this.#running.get(service)?.get(from.instance) ?? 0;
    const granted = grants.granted({ instance: from.instance, service }, now);
    const answerFits = from.region === region ||
      links.hasRoom(from.region, now);
    const fits = this.running(service) < this.shareable(service, now);
    if (!answerFits || !fits || runs >= Math.max(1, granted)) return full();
    const slot = local.tryNow(req, now);
    return slot ? ok(this.#count(slot, service, from.instance)) : full();
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

  #add(service: ServiceId, from: InstanceId, by: number): void {
    const counts = this.#running.get(service) ?? new Map();
    this.#running.set(service, counts);
    const runs = (counts.get(from) ?? 0) + by;
    if (runs === 0) counts.delete(from);
    else counts.set(from, runs);
  }
}

function full(): Result<never, Failure> {
  return fail("no_capacity", "no room for other zones' work", {
    outcome: "not-run",
  });
}
