/**
 * Instances that follow one store and gossip with each other, in memory and on
 * one manual clock.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { ok } from "neverthrow";
import {
  type EndpointId,
  fail,
  type InstanceId,
  ManualClock,
  type Random,
  type RegionId,
  SeededRandom,
  type ZoneId,
} from "../../core/mod.ts";
import {
  type DatagramTransport,
  FleetMember,
  type InstanceProfile,
  NameDictionary,
} from "../../fleet/mod.ts";
import { RESOURCE_KINDS } from "../steering_watchers.ts";
import { StoreFollower } from "../store_follower.ts";
import { TrafficState } from "../traffic_state.ts";
import { MemoryStore } from "./memory_store.ts";
import { RecordedLog } from "./recorded_log.ts";

const STEP_MS = 10;
/** Turns of the microtask queue in which the calls of a step end. */
const TURNS_PER_STEP = 12;
const DATAGRAM_MS = 5;
const REGION = "r1" as RegionId;

/** An instance that is stopped and started. */
export class FollowerInstance {
  readonly profile: InstanceProfile;
  readonly log = new RecordedLog();
  reachesStore = true;
  reachesPeers = true;
  /** Undefined while its process does not run. */
  state: TrafficState | undefined;
  follower: StoreFollower | undefined;
  member: FleetMember | undefined;
  receive: (bytes: Uint8Array) => void = () => {};

  constructor(zone: string, index: number) {
    const id = `${zone}-${index}`;
    this.profile = {
      id: id as InstanceId,
      zone: zone as ZoneId,
      region: zone.slice(0, 1) as RegionId,
      callerAddress: `${id}:80`,
      digestAddress: `${id}:70`,
    };
  }

  /** Whether requests may be sent to an endpoint. */
  uses(id: string): boolean {
    return this.state?.endpoints.get(id as EndpointId) !== undefined;
  }

  /** Whether it watches the store itself. */
  get isStoreWatcher(): boolean {
    return this.log.of("roles_changed").at(-1)?.storeWatcher === true;
  }

  /** Ends its process. */
  kill(): void {
    this.follower?.close();
    void this.member?.close();
    this.state = undefined;
    this.follower = undefined;
    this.member = undefined;
    this.receive = () => {};
  }

  /** Cuts it off from the store and the other instances, or restores both. */
  setPartitioned(isPartitioned: boolean): void {
    this.reachesStore = !isPartitioned;
    this.reachesPeers = !isPartitioned;
  }
}

/** A fleet of instances that follow a store. */
export class FollowerFleet {
  readonly clock = new ManualClock();
  readonly store = new MemoryStore(this.clock);
  readonly instances: readonly FollowerInstance[];
  readonly #random: Random;
  readonly #byAddress = new Map<string, FollowerInstance>();

  /** @param zones Their first letters are the regions. */
  constructor(
    zones: readonly string[],
    { perZone, seed }: { readonly perZone: number; readonly seed: number },
  ) {
    this.#random = new SeededRandom(seed);
    this.instances = zones.flatMap((zone) =>
      Array.from({ length: perZone }, (_, i) => new FollowerInstance(zone, i))
    );
    for (const instance of this.instances) {
      this.#byAddress.set(instance.profile.digestAddress, instance);
    }
  }

  instancesOf(zone: string): FollowerInstance[] {
    return this.instances.filter(({ profile }) => profile.zone === zone);
  }

  /** Starts the instances that do not run. */
  start(): void {
    for (const instance of this.instances) {
      if (instance.member === undefined) this.#start(instance);
    }
  }

  /** Kills all instances and starts them again. */
  restart(): void {
    for (const instance of this.instances) instance.kill();
    this.start();
  }

  async advance(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= STEP_MS) {
      this.clock.advance(STEP_MS);
      for (let i = 0; i < TURNS_PER_STEP; i++) await Promise.resolve();
    }
  }

  /** Advances time; returns for how long one of some instances used an endpoint. */
  async usedFor(
    id: string,
    ms: number,
    instances: readonly FollowerInstance[] = this.instances,
  ): Promise<number> {
    let usedMs = 0;
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      if (instances.some((instance) => instance.uses(id))) {
        usedMs = passedMs;
      }
      await this.advance(STEP_MS);
    }
    return usedMs;
  }

  #start(instance: FollowerInstance): void {
    const { profile, log } = instance;
    const { clock } = this;
    const random = new SeededRandom(1 + Math.floor(this.#random.next() * 1e9));
    const state = new TrafficState(() => REGION, {
      added: () => {},
      removed: () => {},
    });
    const follower: StoreFollower = new StoreFollower({
      state,
      sources: this.store.sources(() => instance.reachesStore),
      clock,
      random,
      log,
      peersFirstMs: 0,
      relay: (changes) => member.relay(changes),
      fetch: (kind, atLeast) =>
        Promise.resolve(
          this.#snapshot(
            instance,
            member.instancesWithRevision(kind, atLeast),
            kind,
          ),
        ),
      onPlanAdopted: () => {},
      onEndpointsListed: () => {},
    });
    const dictionary = new NameDictionary();
    for (const kind of RESOURCE_KINDS) dictionary.add(kind);
    const member: FleetMember = new FleetMember({
      profile,
      capacity: 1,
      firstStart: false,
      assumedFleetSize: 2,
      seeds: [],
      transport: this.#transport(instance),
      dictionary,
      clock,
      random,
      log,
      report: () => ({
        ...follower.report(),
        state: follower.endpointsListed ? "serving" : "starting",
        planVersion: state.planVersion,
        uses: new Map(),
        inFlight: new Map(),
        limits: new Map(),
        reservations: [],
      }),
      events: {
        reported: (report, now) => follower.onReport(report, now),
        suspect: () => {},
        unreachable: () => {},
        removed: () => {},
        relayed: (changes) => follower.onRelayed(changes),
        roles: (roles) => {
          const { isRelay: relay, isStoreWatcher: storeWatcher } = roles;
          log.event("roles_changed", { relay, storeWatcher });
          follower.onRoles(roles, member.storeWatch);
        },
      },
    });
    Object.assign(instance, { state, follower, member });
    member.start();
    member.onInstanceList(this.instances.map((i) => i.profile));
    follower.run();
  }

  #snapshot(
    to: FollowerInstance,
    from: readonly InstanceProfile[],
    kind: string,
  ) {
    for (const { digestAddress } of from) {
      const peer = this.#byAddress.get(digestAddress);
      if (peer === undefined || !to.reachesPeers || !peer.reachesPeers) {
        continue;
      }
      const snapshot = peer.follower?.snapshot(kind);
      if (snapshot !== undefined) return ok(snapshot);
    }
    return fail("peer_unavailable", "no peer returned a snapshot");
  }

  #transport(from: FollowerInstance): DatagramTransport {
    return {
      send: (address, bytes) => this.#send(from, address, bytes),
      onDatagram: (take) => from.receive = take,
      close: () => Promise.resolve(),
    };
  }

  #send(from: FollowerInstance, address: string, bytes: Buffer): void {
    const to = this.#byAddress.get(address);
    if (to === undefined || !from.reachesPeers) return;
    this.clock.after(DATAGRAM_MS, () => {
      if (to.reachesPeers && to.profile !== from.profile) to.receive(bytes);
    });
  }
}
