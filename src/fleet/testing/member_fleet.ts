/**
 * Many members over an in-memory network, on one manual clock.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import {
  type EndpointId,
  type InstanceId,
  ManualClock,
  type RegionId,
  SeededRandom,
  SilentLog,
  type ZoneId,
} from "../../core/mod.ts";
import type {
  RateLimitId,
  RateUse,
  Reservation,
} from "../../decisions/quotas/mod.ts";
import type { ObservedLimit } from "../../decisions/endpoint_limits/mod.ts";
import type { RelayedChanges } from "../../watcher/mod.ts";
import {
  type DatagramTransport,
  type FleetEvents,
  FleetMember,
  type GroupReport,
  type InstanceProfile,
  type InstanceState,
  NameDictionary,
  type Roles,
} from "../mod.ts";

/** One member and the events it received. */
export interface TestMember {
  readonly profile: InstanceProfile;
  readonly capacity: number;
  /** Share of the capacity in use; unknown by default. */
  utilization?: number;
  member: FleetMember;
  readonly groups: Map<string, GroupReport>;
  readonly relayed: RelayedChanges[];
  /** Groups that became suspect, in order. */
  readonly suspect: string[];
  readonly uses: Map<RateLimitId, RateUse>;
  readonly inFlight: Map<EndpointId, number>;
  readonly limits: Map<EndpointId, ObservedLimit>;
  roles: Roles;
  storeInTouch: boolean;
  storeContactMs?: number;
  state: InstanceState;
  alive: boolean;
  /** Partitioned from all others. */
  cut: boolean;
  receive: (bytes: Uint8Array) => void;
  /** Consumer of the events and source of reports; none by default. */
  consumer?: {
    readonly reported: (report: GroupReport, now: number) => void;
    readonly suspect?: (group: InstanceId) => void;
    readonly removed?: (group: InstanceId) => void;
    readonly report: (now: number) => Map<RateLimitId, RateUse>;
    readonly reservations: () => readonly Reservation[];
  };
}

/** Records the events of a member. */
class Recorder implements FleetEvents {
  readonly #entry: TestMember;

  constructor(entry: TestMember) {
    this.#entry = entry;
  }

  reported(report: GroupReport, now: number): void {
    this.#entry.groups.set(report.group, report);
    this.#entry.consumer?.reported(report, now);
  }

  suspect(group: InstanceId): void {
    this.#entry.suspect.push(group);
    this.#entry.consumer?.suspect?.(group);
  }

  unreachable(group: InstanceId): void {
    this.#entry.groups.delete(group);
  }

  removed(group: InstanceId): void {
    this.#entry.groups.delete(group);
    this.#entry.consumer?.removed?.(group);
  }

  roles(roles: Roles): void {
    this.#entry.roles = roles;
  }

  relayed(changes: RelayedChanges): void {
    this.#entry.relayed.push(changes);
  }
}

/** Selects the part of the instance list that a member reads. */
export type ListedInstances = (
  member: InstanceProfile,
  all: readonly InstanceProfile[],
) => readonly InstanceProfile[];

const STEP_MS = 10;
const LARGE_CAPACITY = 1.35;
const SMALL_CAPACITY = 0.27;

/** A fleet of members; the first two of each zone have the larger capacity. */
export class MemberFleet {
  readonly clock = new ManualClock();
  readonly members: TestMember[] = [];
  /** Datagrams and bytes sent, and bytes sent between regions. */
  readonly sent = { count: 0, bytes: 0, acrossBytes: 0 };
  /** Delay of each datagram, in milliseconds. */
  datagramDelayMs: () => number = () => 0;
  /** Names known to all members, as from the plan and the registry. */
  readonly dictionary = new NameDictionary();
  readonly #random = new SeededRandom(1);
  readonly #byAddress = new Map<string, TestMember>();

  /** @param listed The part of the instance list that a member reads. */
  constructor(
    zones: readonly string[],
    perZone: number,
    listed: ListedInstances = (_member, all) => all,
  ) {
    for (const zone of zones) {
      for (let i = 0; i < perZone; i++) this.#add(zone, i);
    }
    const profiles = this.members.map((m) => m.profile);
    for (const { member, profile } of this.members) {
      member.start();
      member.onInstanceList(listed(profile, profiles));
    }
  }

  membersOf(zone: string): TestMember[] {
    return this.members.filter((m) => m.profile.zone === zone);
  }

  kill(member: TestMember): void {
    member.alive = false;
    void member.member.close();
  }

  advance(ms: number): void {
    for (let left = ms; left > 0; left -= STEP_MS) this.clock.advance(STEP_MS);
  }

  /**
   * Restarts a member that was killed.
   *
   * @param opts `listAfterMs` until it has read the instance list.
   */
  restart(
    entry: TestMember,
    { listAfterMs = 0 }: { readonly listAfterMs?: number } = {},
  ): void {
    entry.groups.clear();
    entry.alive = true;
    entry.member = this.#member(entry, { firstStart: false });
    const profiles = this.members.map((m) => m.profile);
    const readList = () => entry.member.onInstanceList(profiles);
    // Its transport delivers datagrams from the next microtask on.
    queueMicrotask(() => {
      entry.member.start();
      if (listAfterMs === 0) readList();
      else this.clock.after(listAfterMs, readList);
    });
  }

  #add(zone: string, index: number): void {
    const id = `${zone}-${index}`;
    const profile: InstanceProfile = {
      id: id as InstanceId,
      zone: zone as ZoneId,
      region: zone.slice(0, 1) as RegionId,
      callerAddress: `${id}:80`,
      digestAddress: `${id}:70`,
    };
    const entry: Omit<TestMember, "member"> = {
      profile,
      capacity: index < 2 ? LARGE_CAPACITY : SMALL_CAPACITY,
      groups: new Map(),
      relayed: [],
      suspect: [],
      uses: new Map(),
      inFlight: new Map(),
      limits: new Map(),
      roles: { isRelay: true, isStoreWatcher: true },
      storeInTouch: true,
      state: "serving",
      alive: true,
      cut: false,
      receive: () => {},
    };
    const member = entry as TestMember;
    member.member = this.#member(member, { firstStart: true });
    this.members.push(member);
    this.#byAddress.set(profile.digestAddress, member);
  }

  #member(
    entry: TestMember,
    { firstStart }: { readonly firstStart: boolean },
  ): FleetMember {
    const { profile, capacity } = entry;
    return new FleetMember({
      profile,
      capacity,
      utilization: () => entry.utilization,
      firstStart,
      assumedFleetSize: 2,
      seeds: [],
      transport: this.#transport(profile, () => entry),
      clock: this.clock,
      dictionary: this.dictionary,
      random: this.#random,
      log: new SilentLog(),
      report: () => ({
        ...this.#usage(entry),
        state: entry.state,
        planVersion: 1,
        storeInTouch: entry.storeInTouch,
        storeContactMs: entry.storeContactMs,
        changes: new Map([["plans", 1]]),
        limits: entry.limits,
        reservations: entry.consumer?.reservations() ?? [],
      }),
      events: new Recorder(entry),
    });
  }

  /** Usage and requests in flight of a member; adds their names for all. */
  #usage({ uses: set, inFlight, limits, consumer }: TestMember) {
    const uses = consumer?.report(this.clock.now()) ?? set;
    for (
      const name of [
        ...uses.keys(),
        ...inFlight.keys(),
        "plans",
        ...limits.keys(),
      ]
    ) {
      this.dictionary.add(name);
    }
    return { uses, inFlight };
  }

  #transport(
    from: InstanceProfile,
    own: () => TestMember,
  ): DatagramTransport {
    return {
      send: (address, bytes) => this.#send(from, address, bytes),
      onDatagram: (take) => {
        // The handler is set while the member is still being constructed.
        queueMicrotask(() => own().receive = take);
      },
      close: () => Promise.resolve(),
    };
  }

  #send(from: InstanceProfile, address: string, bytes: Buffer): void {
    const to = this.#byAddress.get(address);
    if (to === undefined || to.cut) return;
    if (this.#byAddress.get(from.digestAddress)?.cut === true) return;
    this.sent.count++;
    this.sent.bytes += bytes.length;
    if (to.profile.region !== from.region) {
      this.sent.acrossBytes += bytes.length;
    }
    const delayMs = this.datagramDelayMs();
    if (delayMs === 0) return this.#deliver(to, bytes);
    this.clock.after(delayMs, () => this.#deliver(to, bytes));
  }

  #deliver(to: TestMember, bytes: Buffer): void {
    if (to.alive && !to.cut) to.receive(bytes);
  }
}
