/**
 * What instances tell each other of load: probe results within the zone, how
 * busy each is, and how much room one grants another.
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

/** What the exchange of load needs. */
export interface LoadExchangeDeps {
  readonly clock: Clock;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly prober: Prober;
  readonly grants: CapacityGrants;
  readonly intake: ForwardedAdmission;
  readonly rooms: RemoteCapacityTable;
  readonly links: LinkBudgets;
  readonly dispatcher: RegionDispatcher;
  readonly services: () => readonly ServiceId[];
  /** How busy this instance is, from 0 up. */
  readonly load: () => number;
}

/** A peer as its last batch showed it. */
interface HeardPeer extends RemotePeer {
  readonly incarnation: string;
  readonly load: number;
  readonly heardAt: number;
}

/** A peer that was silent this long is known no more, in milliseconds. */
const FORGET_MS = 60_000;

/** Owns the load part of the batch. */
export class LoadExchange implements PeerSubsystem {
  readonly #deps: LoadExchangeDeps;
  readonly #heard = new Map<InstanceId, HeardPeer>();

  constructor(deps: LoadExchangeDeps) {
    this.#deps = deps;
  }

  fill(batch: Batch, to: string): void {
    const part = create(LoadPartSchema, { load: this.#deps.load() });
    const peer = this.#heard.get(to as InstanceId);
    if (peer?.zone === this.#deps.zone) this.#deps.prober.fill(part);
    part.services = this.#roomsFor(to as InstanceId, peer);
    batch.load = part;
  }

  receive(batch: Batch, from: Sender): void {
    const { load } = batch;
    const peer = load && parsePeer(from, load, this.#deps.clock.now());
    if (load === undefined || peer === undefined) return;
    this.#heard.set(peer.instance, peer);
    if (peer.zone === this.#deps.zone) this.#deps.prober.absorb(load);
    for (const room of load.services) this.#absorbRoom(peer, room);
    if (load.services.length > 0) this.#deps.dispatcher.retry(peer.heardAt);
  }

  /** The peer whose present life has this token; undefined if none was heard. */
  peerOf(identity: ForwardIdentity): ForwardingInstance | undefined {
    const peer = this.#heard.get(identity.instance as InstanceId);
    return peer?.incarnation === identity.incarnation ? peer : undefined;
  }

  /** How busy an instance said it is; undefined if it was not heard. */
  loadOf(instance: InstanceId): number | undefined {
    return this.#heard.get(instance)?.load;
  }

  tick(now: number): void {
    for (const [id, peer] of this.#heard) {
      if (now - peer.heardAt > FORGET_MS) this.#heard.delete(id);
    }
    this.#deps.grants.tick(now);
    this.#deps.rooms.retain(new Set(this.#heard.keys()));
  }

  #roomsFor(to: InstanceId, peer: HeardPeer | undefined): ServiceRoom[] {
    const { clock, grants, dispatcher, services } = this.#deps;
    const now = clock.now();
    const asked = new Set(grants.servicesRequestedBy(to, now));
    return services().flatMap((service) => {
      const wanted = dispatcher.wanted(service);
      if (wanted === 0 && !asked.has(service)) return [];
      const granted = asked.has(service)
        ? grants.grant(
          { instance: to, service },
          this.#shareable(service, peer, now),
          now,
        )
        : 0;
      return [create(ServiceRoomSchema, { service, wanted, granted })];
    });
  }

  /** Nothing is granted over a link that has no room for the answers. */
  #shareable(
    service: ServiceId,
    peer: HeardPeer | undefined,
    now: number,
  ): number {
    const { intake, links, region } = this.#deps;
    if (peer === undefined) return 0;
    if (peer.region !== region && !links.canSend(peer.region, now)) return 0;
    return intake.forwardedCapacity(service, now);
  }

  #absorbRoom(peer: HeardPeer, room: ServiceRoom): void {
    const service = ServiceId.safeParse(room.service);
    if (!service.success) return;
    const from = { instance: peer.instance, service: service.data };
    this.#deps.grants.request(from, room.wanted, peer.heardAt);
    this.#deps.rooms.update(service.data, peer, {
      granted: room.granted,
      now: peer.heardAt,
    });
  }
}

function parsePeer(
  from: Sender,
  { load }: LoadPart,
  heardAt: number,
): HeardPeer | undefined {
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
    heardAt,
  };
}
