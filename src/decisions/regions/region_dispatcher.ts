/**
 * Own availability zone first, then the region's other zones, then other
 * regions.
 *
 * Answers a zone whose endpoints fail, drain or are all taken. Without it the
 * zone's callers are refused while other zones have room. Work goes elsewhere
 * only if waiting here would take longer than the way there, only on room that
 * the other side granted, and only while the link has room.
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
import { Drained } from "../drains/mod.ts";
import {
  type Dispatcher,
  type FairDispatcher,
  type Slot,
  type SteeringRequest,
  type WorkResult,
} from "../steering/mod.ts";
import type { LinkBudgets } from "./link_budgets.ts";
import { remoteId, type RemotePeer, type RemoteRooms } from "./remote_rooms.ts";
import { WishCounter } from "./wish_counter.ts";

/** What a region dispatcher needs. */
export interface RegionDispatcherDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly local: FairDispatcher;
  readonly rooms: RemoteRooms;
  readonly links: LinkBudgets;
}

interface Pending {
  readonly req: SteeringRequest;
  readonly settle: (result: Result<Slot, Failure>) => void;
}

/** A wait that is shorter than the way to another zone and back, with margin. */
const ZONE_WAIT_MS = 10;
/** The same for another region: twice 12 ms each way. */
const REGION_WAIT_MS = 50;
/**
 * With no endpoint here, a request waits this long for a first grant, which
 * takes two ticks; longer means that nobody has room.
 */
const GRANT_WAIT_MS = 500;
const MAX_PENDING = 256;

/** Steers over zones and regions. */
export class RegionDispatcher implements Dispatcher {
  readonly #deps: RegionDispatcherDeps;
  readonly #wishes = new WishCounter();
  readonly #pending = new Set<Pending>();
  #services: readonly ServiceId[] = [];
  #drained: Drained | undefined;

  constructor(deps: RegionDispatcherDeps) {
    this.#deps = deps;
  }

  adopt(document: SteeringDocument, now: number): void {
    this.#deps.links.adopt(document, now);
    this.#services = Object.keys(document.services) as ServiceId[];
    this.#drained = new Drained(document);
    this.#deps.local.adopt(document, now);
    this.tick(now);
  }

  tick(now: number): void {
    const { local, rooms } = this.#deps;
    local.tick(now);
    for (const service of this.#services) {
      const load = local.loadOf(service, now);
      // With nothing here, room elsewhere is asked for before anybody comes.
      const standing = (load?.capacity ?? 0) === 0 ? 1 : 0;
      const waiting = load?.waiting ?? 0;
      const running = rooms.inFlight(service);
      this.#wishes.settle(service, Math.max(standing, waiting + running));
    }
    this.retry(now);
  }

  /** Requests of a service that this instance would like to run elsewhere. */
  wanted(service: ServiceId): number {
    return this.#wishes.of(service);
  }

  /** Tries again what waits for a first grant; run when room was told. */
  retry(now: number): void {
    for (const pending of [...this.#pending]) {
      const slot = this.#deps.local.tryNow(pending.req, now) ??
        this.#elsewhere(pending.req, Infinity, now);
      if (slot) pending.settle(ok(slot));
    }
  }

  async acquire(
    req: SteeringRequest,
    signal?: AbortSignal,
  ): Promise<Result<Slot, Failure>> {
    const { clock, local } = this.#deps;
    const now = clock.now();
    if (signal?.aborted) return gone();
    const slot = local.tryNow(req, now);
    if (slot) return ok(slot);
    const waitMs = local.expectedWait(req, now);
    if (waitMs <= ZONE_WAIT_MS) return await this.#wait(req, signal);
    this.#wishes.add(req.service);
    const remote = this.#elsewhere(req, waitMs, now);
    if (remote) return ok(remote);
    if (waitMs !== Infinity) return await this.#wait(req, signal);
    return await this.#waitForGrant(req, signal);
  }

  /** Waits here; if a drain closes the zone meanwhile, goes elsewhere. */
  async #wait(
    req: SteeringRequest,
    signal: AbortSignal | undefined,
  ): Promise<Result<Slot, Failure>> {
    const slot = await this.#deps.local.acquire(req, signal);
    if (slot.isOk() || slot.error.code !== "no_endpoint") return slot;
    return await this.#waitForGrant(req, signal);
  }

  #elsewhere(
    req: SteeringRequest,
    waitMs: number,
    now: number,
  ): Slot | undefined {
    const { zone, region } = this.#deps;
    const near = this.#take(
      req,
      now,
      (p) => p.region === region && p.zone !== zone,
    );
    if (near) return near;
    if (waitMs === Infinity) {
      const mate = this.#take(req, now, (p) => p.zone === zone);
      if (mate) return mate;
    }
    if (waitMs <= REGION_WAIT_MS) return undefined;
    return this.#take(req, now, (p) => p.region !== region);
  }

  #take(
    req: SteeringRequest,
    now: number,
    tier: (peer: RemotePeer) => boolean,
  ): Slot | undefined {
    const { rooms, random, links, region } = this.#deps;
    const { service, exclude } = req;
    const accept = (peer: RemotePeer) =>
      tier(peer) && !this.#closed(peer) &&
      (peer.region === region || links.hasRoom(peer.region, now));
    const room = rooms.choose({ service, exclude, now, accept }, random);
    if (room === undefined) return undefined;
    rooms.take(service, room, now);
    const { peer } = room;
    let held = true;
    return {
      endpoint: remoteId(peer),
      url: peer.peerUrl,
      zone: peer.zone,
      forward: {
        instance: peer.instance,
        region: peer.region,
        crossesLink: peer.region !== region,
      },
      answered: () => {},
      release: (result, at) => {
        if (!held) return;
        held = false;
        rooms.release(room, ENDS[result], at);
        this.retry(at);
      },
    };
  }

  #closed({ zone, instance }: { zone: ZoneId; instance: InstanceId }): boolean {
    const drained = this.#drained;
    return drained === undefined || drained.zone(zone) ||
      drained.instance(instance);
  }

  /**
   * Before the first grants are told a request may wait for them. Then only as
   * many wait as run elsewhere, so that each has its turn soon; the rest could
   * only wait in vain.
   */
  #mayPend(service: ServiceId, now: number): boolean {
    if (this.#pending.size >= MAX_PENDING) return false;
    const { rooms } = this.#deps;
    if (!rooms.isFresh(service, now)) return true;
    const waiting = [...this.#pending].filter((p) => p.req.service === service);
    return waiting.length < rooms.allowedInAll(service, now);
  }

  #waitForGrant(
    req: SteeringRequest,
    signal: AbortSignal | undefined,
  ): Promise<Result<Slot, Failure>> {
    const { clock } = this.#deps;
    if (!this.#mayPend(req.service, clock.now())) {
      return Promise.resolve(noRoom(req));
    }
    const waitMs = Math.min(GRANT_WAIT_MS, req.deadline - clock.now());
    return new Promise((resolve) => {
      const onAbort = () => pending.settle(gone());
      const pending: Pending = {
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
        () => pending.settle(noRoom(req)),
      );
      signal?.addEventListener("abort", onAbort);
      this.#pending.add(pending);
    });
  }
}

const ENDS: Readonly<Record<WorkResult, "fine" | "full" | "lost">> = {
  ok: "fine",
  cancelled: "fine",
  timeout: "fine",
  shed: "full",
  failed: "lost",
};

function gone(): Result<never, Failure> {
  return fail("cancelled", "the caller went away", { outcome: "not-run" });
}

function noRoom(req: SteeringRequest): Result<never, Failure> {
  return fail("no_endpoint", `no zone has room for service ${req.service}`, {
    outcome: "not-run",
    retryAfterMs: GRANT_WAIT_MS,
  });
}
