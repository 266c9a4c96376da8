import test from "ava";
import { type EndpointId, SeededRandom } from "../core/mod.ts";
import { LimitedSends } from "../decisions/endpoint_limits/mod.ts";
import {
  allowed,
  LIMIT_WINDOW_MS,
} from "../decisions/endpoint_limits/testing/limit_fleet.ts";
import { FleetDemand } from "../decisions/quotas/mod.ts";
import {
  AdmissionTimes,
  arrivals,
} from "../decisions/quotas/testing/arrivals.ts";
import { MemberFleet, type TestMember } from "./testing/member_fleet.ts";

const E1 = "e1" as EndpointId;
const STEP_MS = 10;
const RATE_PER_S = 5.2;

/** A fleet of which every member sends to one endpoint with a limit. */
class LimitedFleet {
  readonly members: TestMember[];
  readonly #fleet: MemberFleet;
  readonly #sends = new Map<TestMember, LimitedSends>();
  readonly #random = new SeededRandom(3);
  #sent = new AdmissionTimes();

  private constructor(fleet: MemberFleet) {
    this.#fleet = fleet;
    this.members = fleet.members;
    for (const member of fleet.members) this.#equip(member);
  }

  static async start(perZone: number): Promise<LimitedFleet> {
    const fleet = new MemberFleet(["a1", "b1", "c1"], perZone);
    const limited = new LimitedFleet(fleet);
    await Promise.resolve();
    fleet.pass(6_000);
    return limited;
  }

  /** Lets requests come at `times` the limit; gives how many were sent. */
  run(forMs: number, times: number): number {
    const before = this.#sent.count;
    const { clock, members } = this.#fleet;
    const perStep = RATE_PER_S * times * STEP_MS / 1_000 / members.length;
    for (let left = forMs; left > 0; left -= STEP_MS) {
      this.#fleet.pass(STEP_MS);
      for (const [member, sends] of this.#sends) {
        if (!member.alive) continue;
        for (let i = arrivals(perStep, this.#random); i > 0; i--) {
          const req = { ratePerS: RATE_PER_S, rank: 1 };
          if (sends.take(E1, req, clock.now())) this.#sent.add(clock.now());
        }
      }
    }
    return this.#sent.count - before;
  }

  countAnew(): void {
    this.#sent = new AdmissionTimes();
  }

  get worst(): number {
    return this.#sent.mostWithin(LIMIT_WINDOW_MS);
  }

  /** Cuts the zones' relays off from all others. */
  cutRelays(): void {
    for (const member of this.members) member.cut = member.roles.isRelay;
  }

  heal(): void {
    for (const member of this.members) member.cut = false;
  }

  #equip(member: TestMember): void {
    const { id } = member.profile;
    const demand = new FleetDemand(id, () => member.member.fleetSize);
    const sends = new LimitedSends(id, {
      demand,
      gossipDelayMs: () => member.member.gossipDelayMs,
    });
    sends.begin(E1, this.#fleet.clock.now());
    this.#sends.set(member, sends);
    member.takes = {
      reported: (news, now) => {
        const from = { ...news, instance: news.group };
        demand.reported(from, news.uses);
        sends.reported(from, news.uses, now);
      },
      suspect: (group) => {
        demand.shares.unreachable(group);
        sends.unreachable(group);
      },
      removed: (group) => {
        demand.shares.forget(group);
        sends.unreachable(group);
      },
      report: (now) => {
        demand.tick(now);
        return sends.uses();
      },
      reservations: () => demand.shares.reservations,
    };
  }
}

for (const perZone of [4, 9]) {
  // Guards against sums of relays that hide sends, or count them twice.
  test(`${3 * perZone} instances keep to a limit, and use it, as digests report`, async (t) => {
    const fleet = await LimitedFleet.start(perZone);
    fleet.run(3_000, 3);
    fleet.countAnew();
    const sent = fleet.run(15_000, 3);
    t.true(fleet.worst <= allowed(RATE_PER_S), `${fleet.worst}`);
    t.true(sent >= RATE_PER_S * 15 * 0.6, `${sent}`);
  });
}

// Guards against a limit that is spent anew when relays are replaced.
test("a limit holds while relays are cut off and come back", async (t) => {
  const fleet = await LimitedFleet.start(9);
  fleet.run(3_000, 3);
  fleet.countAnew();
  fleet.run(4_000, 3);
  fleet.cutRelays();
  fleet.run(6_000, 3);
  fleet.heal();
  fleet.run(6_000, 3);
  t.true(fleet.worst <= allowed(RATE_PER_S), `${fleet.worst}`);
});
