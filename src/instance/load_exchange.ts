/**
 * Gossips load between instances: probe results within the zone, the load of
 * each instance, and the capacity that one grants another.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  type Clock,
  InstanceId,
  RegionId,
  ServiceId,
  ZoneId,
} from "../core/mod.ts";
import type {
  CapacityGrants,
  ForwardedAdmission,
  ForwardingInstance,
  LinkBudgets,
  RegionDispatcher,
  RemoteCapacityTable,
  RemotePeer,
} from "../decisions/regions/mod.ts";
import type { Prober } from "../endpoints/mod.ts";
import type { ForwardIdentity } from "../gateway/mod.ts";
import {
  type LoadPart,
  LoadPartSchema,
  type ServiceRoom,
  ServiceRoomSchema,
} from "../gen/load_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";

/** Dependencies of {@link LoadExchange}. */
export interface LoadExchangeDeps {
  readonly clock: Clock;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly prober: Prober;
  readonly grants: CapacityGrants;
  readonly forwardedAdmission: ForwardedAdmission;
  readonly remoteCapacity: RemoteCapacityTable;
  readonly links: LinkBudgets;
  readonly dispatcher: RegionDispatcher;
  readonly services: () => readonly ServiceId[];
  /** Requests in flight or waiting at this instance, divided by its slots. */
  readonly load: () => number;
}

/** A peer's state in its last batch. */
interface KnownPeer extends RemotePeer {
  readonly incarnation: string;
  readonly load: number;
  readonly receivedAt: number;
}

/** A peer that sends no batch for this long is removed. */
const PEER_EXPIRY_MS = 60_000;

/** Sends and receives the load part of batches. */
export class LoadExchange implements PeerSubsystem {
  readonly #deps: LoadExchangeDeps;
  readonly #peers = new Map<InstanceId, KnownPeer>();

  constructor(deps: LoadExchangeDeps) {
    this.#deps = deps;
  }

  fill(batch: Batch, to: string): void {
    const part = create(LoadPartSchema, { load: this.#deps.load() });
    const peer = this.#peers.get(to as InstanceId);
    if (peer?.zone === this.#deps.zone) this.#deps.prober.fill(part);
    part.services = this.#serviceRoomsFor(to as InstanceId, peer);
    batch.load = part;
  }

  receive(batch: Batch, from: Sender): void {
    const { load } = batch;
    const peer = load && parsePeer(from, load, this.#deps.clock.now());
    if (load === undefined || peer === undefined) return;
    this.#peers.set(peer.instance, peer);
    if (peer.zone === this.#deps.zone) this.#deps.prober.absorb(load);
    for (const room of load.services) this.#applyServiceRoom(peer, room);
    if (load.services.length > 0) this.#deps.dispatcher.retry(peer.receivedAt);
  }

  /** The peer with this instance id and incarnation; undefined if unknown. */
  findPeer(identity: ForwardIdentity): ForwardingInstance | undefined {
    const peer = this.#peers.get(identity.instance as InstanceId);
    return peer?.incarnation === identity.incarnation ? peer : undefined;
  }

  /** Load that an instance last reported; undefined if unknown. */
  loadOf(instance: InstanceId): number | undefined {
    return this.#peers.get(instance)?.load;
  }

  tick(now: number): void {
    for (const [id, peer] of this.#peers) {
      if (now - peer.receivedAt > PEER_EXPIRY_MS) this.#peers.delete(id);
    }
    this.#deps.grants.tick(now);
    this.#deps.remoteCapacity.retain(new Set(this.#peers.keys()));
  }

  #serviceRoomsFor(to: InstanceId, peer: KnownPeer | undefined): ServiceRoom[] {
    const { clock, grants, dispatcher, services } = this.#deps;
    const now = clock.now();
    const requested = new Set(grants.servicesRequestedBy(to, now));
    return services().flatMap((service) => {
      const wanted = dispatcher.wanted(service);
      if (wanted === 0 && !requested.has(service)) return [];
      const granted = requested.has(service)
        ? grants.grant(
          { instance: to, service },
          this.#grantableCapacity(service, peer, now),
          now,
        )
        : 0;
      return [create(ServiceRoomSchema, { service, wanted, granted })];
    });
  }

  /** Capacity to grant; none over a link without bandwidth for the responses. */
  #grantableCapacity(
    service: ServiceId,
    peer: KnownPeer | undefined,
    now: number,
  ): number {
    const { forwardedAdmission, links, region } = this.#deps;
    if (peer === undefined) return 0;
    if (peer.region !== region && !links.canSend(peer.region, now)) return 0;
    return forwardedAdmission.forwardedCapacity(service, now);
  }

  #applyServiceRoom(peer: KnownPeer, room: ServiceRoom): void {
    const service = ServiceId.safeParse(room.service);
    if (!service.success) return;
    const from = { instance: peer.instance, service: service.data };
    this.#deps.grants.request(from, room.wanted, peer.receivedAt);
    this.#deps.remoteCapacity.update(service.data, peer, {
      granted: room.granted,
      now: peer.receivedAt,
    });
  }
}

function parsePeer(
  from: Sender,
  { load }: LoadPart,
  receivedAt: number,
): KnownPeer | undefined {
  const instance = InstanceId.safeParse(from.instance);
  const zone = ZoneId.safeParse(from.zone);
  const region = RegionId.safeParse(from.region);
  if (!instance.success || !zone.success || !region.success) return undefined;
  return {
    instance: instance.data,
    zone: zone.data,
    region: region.data,
    peerUrl: from.peerUrl,
    incarnation: from.incarnation,
    load,
    receivedAt,
  };
}
