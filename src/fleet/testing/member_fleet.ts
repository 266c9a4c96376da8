/**
 * Many members over a network in memory, on one clock that a test moves.
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

/** One member, and what it was told. */
export interface TestMember {
  readonly profile: InstanceProfile;
  readonly capacity: number;
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
  state: InstanceState;
  alive: boolean;
  /** Cut off from all others. */
  cut: boolean;
  take: (bytes: Uint8Array) => void;
  /** Parts that go by what is told; none by default. */
  takes?: {
    readonly reported: (news: GroupReport, now: number) => void;
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

  reported(news: GroupReport, now: number): void {
    this.#entry.groups.set(news.group, news);
    this.#entry.takes?.reported(news, now);
  }

  suspect(group: InstanceId): void {
    this.#entry.suspect.push(group);
    this.#entry.takes?.suspect?.(group);
  }

  unreachable(group: InstanceId): void {
    this.#entry.groups.delete(group);
  }

  removed(group: InstanceId): void {
    this.#entry.groups.delete(group);
    this.#entry.takes?.removed?.(group);
  }

  roles(roles: Roles): void {
    this.#entry.roles = roles;
  }

  relayed(changes: RelayedChanges): void {
    this.#entry.relayed.push(changes);
  }
}

const STEP_MS = 10;
const STRONG = 1.35;
const WEAK = 0.27;

/** A fleet of members; the first of each zone are the strong ones. */
export class MemberFleet {
  readonly clock = new ManualClock();
  readonly members: TestMember[] = [];
  /** Datagrams sent, and of these such that cross between regions, in bytes. */
  readonly sent = { count: 0, bytes: 0, acrossBytes: 0 };
  /** Names that all members know, as from the plan and the registry. */
  readonly book = new NameDictionary();
  readonly #random = new SeededRandom(1);
  readonly #byAddress = new Map<string, TestMember>();

  constructor(zones: readonly string[], perZone: number) {
    for (const zone of zones) {
      for (let i = 0; i < perZone; i++) this.#add(zone, i);
    }
    const profiles = this.members.map((m) => m.profile);
    for (const { member } of this.members) {
      member.start();
      member.listed(profiles);
    }
  }

  of(zone: string): TestMember[] {
    return this.members.filter((m) => m.profile.zone === zone);
  }

  kill(member: TestMember): void {
    member.alive = false;
    void member.member.close();
  }

  pass(ms: number): void {
    for (let left = ms; left > 0; left -= STEP_MS) this.clock.advance(STEP_MS);
  }

  /** Starts a member that was killed anew. */
  restart(entry: TestMember): void {
    entry.groups.clear();
    entry.alive = true;
    entry.member = this.#member(entry, { firstStart: false });
    // It takes what is sent to it from the next microtask on.
    queueMicrotask(() => {
      entry.member.start();
      entry.member.listed(this.members.map((m) => m.profile));
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
      capacity: index < 2 ? STRONG : WEAK,
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
      take: () => {},
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
      firstStart,
      assumed: 2,
      seeds: [],
      transport: this.#transport(profile, () => entry),
      clock: this.clock,
      book: this.book,
      random: this.#random,
      log: new SilentLog(),
      report: () => ({
        ...this.#known(entry),
        state: entry.state,
        planVersion: 1,
        storeInTouch: entry.storeInTouch,
        changes: new Map([["plans", 1]]),
        limits: entry.limits,
        reservations: entry.takes?.reservations() ?? [],
      }),
      events: new Recorder(entry),
    });
  }

  /** What a member uses and has in flight, whose names all others know. */
  #known({ uses: set, inFlight, limits, takes }: TestMember) {
    const uses = takes?.report(this.clock.now()) ?? set;
    for (
      const name of [
        ...uses.keys(),
        ...inFlight.keys(),
        "plans",
        ...limits.keys(),
      ]
    ) {
      this.book.add(name);
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
        // The member is being made while it says who takes.
        queueMicrotask(() => own().take = take);
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
    if (to.alive) to.take(bytes);
  }
}
