import test from "ava";
import type { InstanceId, ZoneId } from "../core/mod.ts";
import { EntryKind } from "../gen/ledger_pb.ts";
import { SeatSet } from "./home_seat.ts";
import { answerOf, FakeFleet, resultText } from "./testing/fake_fleet.ts";

const ID = "op";

interface Setup {
  readonly fleet: FakeFleet;
  readonly owner: string;
  readonly zonePeer: string;
  readonly otherZone: string;
}

/** The holder of the seat that is an id's home. */
function holderOf(fleet: FakeFleet, id: string): string {
  const seat = new SeatSet(fleet.zones).homeOf({ account: "a1", id });
  return fleet.seats.find((s) =>
    s.zone === seat?.zone && s.index === seat.index
  )
    ?.holder ?? "";
}

/** A fleet after gossip, with nodes by their relation to the id's home. */
async function makeSetup(): Promise<Setup> {
  const fleet = new FakeFleet();
  await fleet.advance(1_500);
  const owner = holderOf(fleet, ID);
  const names = [...fleet.nodes.keys()];
  const { zone } = fleet.node(owner);
  const zonePeer = names.find((n) =>
    n !== owner && fleet.node(n).zone === zone
  );
  const otherZone = names.find((n) => fleet.node(n).zone !== zone);
  return { fleet, owner, zonePeer: zonePeer ?? "", otherZone: otherZone ?? "" };
}

/**
 * A caller without the library places a hold and gets no answer, because the
 * holder of its home seat crashed. The seat moves to an instance of the same
 * zone, where the caller retries. The hold must not be placed twice, and a
 * placed hold must not be reported as "not run".
 */
const HOLDER_DIES: {
  at: string;
  inject: (s: Setup) => void;
  alsoCrashes?: "far" | "mate";
  retry: string;
  runs: number;
}[] = [
  {
    at: "before its intent was recorded",
    inject: ({ fleet, owner }) => {
      fleet.onMessage = (m) => {
        if (m.stage !== "request" || !m.entries.includes(EntryKind.INTENT)) {
          return "deliver";
        }
        fleet.kill(owner);
        fleet.onMessage = () => "deliver";
        return "lose";
      };
    },
    retry: "done by 1",
    runs: 1,
  },
  {
    at: "after dispatch",
    inject: ({ fleet, owner }) => {
      fleet.onDispatch = (d) => {
        if (d.by === owner) fleet.kill(owner);
        return Promise.resolve(answerOf(d.attempt));
      };
    },
    retry: "unknown",
    runs: 1,
  },
  {
    at: "after its answer was recorded",
    inject: ({ fleet, owner }) => {
      fleet.onMessage = (m) => {
        const answered = m.stage === "answer" &&
          m.entries.includes(EntryKind.ANSWER);
        if (answered) fleet.kill(owner);
        return "deliver";
      };
    },
    retry: "done by 0",
    runs: 1,
  },
  {
    at: "after dispatch, with the whole other zone",
    inject: ({ fleet, owner }) => {
      fleet.onDispatch = (d) => {
        if (d.by === owner) fleet.kill(owner);
        return Promise.resolve(answerOf(d.attempt));
      };
    },
    alsoCrashes: "far",
    retry: "unknown",
    runs: 1,
  },
];

for (const { at, inject, alsoCrashes, retry, runs } of HOLDER_DIES) {
  test(`seat's holder crashes ${at}; retry at the next holder`, async (t) => {
    const setup = await makeSetup();
    const { fleet, owner, zonePeer, otherZone } = setup;
    inject(setup);
    fleet.send(owner, { id: ID });
    await fleet.advance(500);
    if (alsoCrashes === "far") {
      const { zone } = fleet.node(otherZone);
      for (const n of fleet.nodes.values()) {
        if (n.zone === zone) n.alive = false;
      }
    }
    fleet.kill(owner);
    await fleet.advance(5_000);
    fleet.moveSeats(owner, zonePeer);
    await fleet.advance(200);
    const again = fleet.send(zonePeer, { id: ID });
    await fleet.advance(3_000);
    t.is(resultText(again), retry);
    t.is(fleet.dispatches.length, runs);
    t.deepEqual(fleet.violations(), []);
  });
}

/**
 * The home's holder is gone and its seat has no new holder yet. A new request
 * certainly did not run; a repeated one may have, and if it is answered with
 * "not run", its caller places the order again under another id.
 */
test("without a home, only a new id is reported not-run", async (t) => {
  const { fleet, owner, zonePeer, otherZone } = await makeSetup();
  fleet.onDispatch = (d) => {
    fleet.kill(owner);
    return Promise.resolve(answerOf(d.attempt));
  };
  fleet.send(owner, { id: ID });
  await fleet.advance(200);
  const again = fleet.send(otherZone, { id: ID });
  const id =
    Array.from({ length: 99 }, (_, i) => `n${i}`).find((n) =>
      holderOf(fleet, n) === owner
    ) ?? "";
  const fresh = fleet.send(zonePeer, { id });
  await fleet.advance(1_000);
  t.deepEqual([resultText(again), resultText(fresh)], ["unknown", "not-run"]);
  t.deepEqual(fleet.violations(), []);
});

/**
 * A holder is paused while its seat moves. When it resumes with an intent of
 * its old epoch, the new holder has already run the id.
 */
test("a paused holder of an earlier epoch is fenced off", async (t) => {
  const { fleet, owner, zonePeer } = await makeSetup();
  let paused = false;
  fleet.onMessage = (m) => {
    if (!paused && m.entries.includes(EntryKind.INTENT)) {
      paused = true;
      fleet.node(owner).pause();
      return "lose";
    }
    return "deliver";
  };
  const first = fleet.send(owner, { id: ID });
  await fleet.advance(5_000);
  fleet.moveSeats(owner, zonePeer);
  await fleet.advance(200);
  const again = fleet.send(zonePeer, { id: ID });
  await fleet.advance(2_000);
  fleet.node(owner).resume();
  await fleet.advance(2_000);
  t.is(resultText(again), "done by 1");
  t.not(resultText(first), "done by 0");
  t.is(fleet.dispatches.length, 1);
  t.deepEqual(fleet.violations(), []);
});

/**
 * Two instances are lost within minutes, and a third takes a seat over. Both
 * records of a hold may be gone, so it cannot be reported as not placed.
 */
test("after two losses an id of an old seat is unknown", async (t) => {
  const { fleet, owner, zonePeer, otherZone } = await makeSetup();
  fleet.kill(otherZone);
  await fleet.advance(4_000);
  fleet.kill(owner);
  await fleet.advance(4_000);
  fleet.moveSeats(owner, zonePeer);
  await fleet.advance(200);
  const asked = fleet.send(zonePeer, { id: ID });
  await fleet.advance(1_000);
  t.is(resultText(asked), "unknown");
  t.deepEqual(fleet.dispatches, []);
});

/**
 * Messages between instances are lost, so a new instance knows a replica only
 * from the reports of others. That replica holds the record of an order whose
 * owner leaves. If the new instance takes the seat over and does not query that
 * replica, the order is placed twice when its caller retries.
 */
test("a new instance does not run an id that an unknown replica may have recorded", async (t) => {
  const { fleet, owner } = await makeSetup();
  let backup = "";
  fleet.onMessage = ({ entries, to }) => {
    if (entries.includes(EntryKind.INTENT)) backup = to;
    return "deliver";
  };
  const first = fleet.send(owner, { id: ID });
  await fleet.advance(300);
  const { zone, region } = fleet.node(owner);
  fleet.start("newcomer", { zone, region });
  fleet.cut("newcomer", backup);
  await fleet.advance(1_500);
  fleet.node(owner).leaving = true;
  await fleet.advance(100);
  const handedOver = fleet.node(owner).operations.handOver();
  await fleet.advance(300);
  t.true(await handedOver);
  fleet.kill(owner);
  fleet.moveSeats(owner, "newcomer");
  await fleet.advance(200);
  const again = fleet.send("newcomer", { id: ID });
  await fleet.advance(1_000);
  t.deepEqual([first, again].map(resultText), ["done by 0", "unknown"]);
  t.deepEqual(fleet.violations(), []);
});

/**
 * A single instance without peers records in the store, and the store goes
 * down. Dispatching without a second record would let the next crash cause a
 * double run, so it refuses until the store is back.
 */
test("a lone instance uses the store as backup", async (t) => {
  const fleet = new FakeFleet({ zones: [["r1", "r1-a"]], perZone: 1 });
  await fleet.advance(200);
  const home = fleet.node("r1-a-1").operations.homeTokenOf("r1-a-1");
  const first = fleet.send("r1-a-1", { id: "1", home });
  const plain = fleet.send("r1-a-1", { id: "2" });
  await fleet.advance(300);
  t.deepEqual([first, plain].map(resultText), ["done by 0", "done by 1"]);
  fleet.platformDown = true;
  const refused = fleet.send("r1-a-1", { id: "3", home });
  await fleet.advance(300);
  fleet.platformDown = false;
  await fleet.advance(3_000);
  const later = fleet.send("r1-a-1", { id: "4", home });
  await fleet.advance(300);
  t.deepEqual([refused, later].map(resultText), ["not-run", "done by 3"]);
});

/**
 * The only owner stops and another instance that reaches the store answers on
 * its behalf. An owner that was only paused finds its object closed.
 */
test("the store answers and fences on behalf of a lone owner", async (t) => {
  const fleet = new FakeFleet({ zones: [["r1", "r1-a"]], perZone: 1 });
  await fleet.advance(200);
  const lone = fleet.node("r1-a-1");
  const home = lone.operations.homeTokenOf("r1-a-1");
  fleet.send("r1-a-1", { id: "ran", home });
  await fleet.advance(300);
  lone.pause();
  const asker = fleet.start("r2-a-1", { zone: "r2-a", region: "r2" });
  await fleet.advance(200);
  const ran = fleet.send(asker.name, { id: "ran", home });
  const fresh = fleet.send(asker.name, { id: "new", home });
  await fleet.advance(300);
  lone.resume();
  const late = fleet.send("r1-a-1", { id: "new", home });
  await fleet.advance(300);
  t.deepEqual([ran, fresh, late].map(resultText), [
    "unknown",
    "not-run",
    "not-run",
  ]);
  t.deepEqual(fleet.dispatches.map((d) => d.id), ["ran"]);
});

/**
 * Every instance is replaced in turn, gracefully. Retries with tokens of
 * instances that have left must still find their records.
 */
test("records outlive a rolling replacement", async (t) => {
  const fleet = new FakeFleet();
  await fleet.advance(1_500);
  const names = [...fleet.nodes.keys()];
  const homes = names.map((n) => fleet.node(n).operations.homeTokenOf(n));
  homes.forEach((home, i) => fleet.send(names[i] ?? "", { id: `t${i}`, home }));
  names.forEach((n, i) => fleet.send(n, { id: `p${i}` }));
  await fleet.advance(500);
  for (const name of names) {
    const node = fleet.node(name);
    node.leaving = true;
    await fleet.advance(300);
    const handedOver = node.operations.handOver();
    await fleet.advance(500);
    t.true(await handedOver);
    fleet.kill(name);
    fleet.start(name, node);
    fleet.moveSeats(name, name);
    await fleet.advance(500);
  }
  const before = fleet.dispatches.length;
  const again = names.flatMap((n, i) => [
    fleet.send(n, { id: `t${i}`, home: homes[i] }),
    fleet.send(n, { id: `p${i}` }),
  ]);
  const fresh = homes.map((home, i) =>
    fleet.send(names[i] ?? "", { id: `f${i}`, home })
  );
  await fleet.advance(1_000);
  t.deepEqual(again.map(resultText).filter((w) => !w.startsWith("done")), []);
  // Without gossip from the owner a successor cannot tell the token's age.
  t.deepEqual(fresh.map(resultText), [
    "unknown",
    "unknown",
    "not-run",
    "not-run",
  ]);
  t.is(fleet.dispatches.length, before);
  t.deepEqual(fleet.violations(), []);
});

// Guards against a second run: two instances stop at once, and one copies its
// records to the other after that one has handed over its own.
test("an instance that has handed over takes no records", async (t) => {
  const fleet = new FakeFleet();
  await fleet.advance(1_500);
  const [first = "", second = "", ...others] = fleet.nodes.keys();
  const home = fleet.node(first).operations.homeTokenOf(first);
  const attempt = fleet.send(first, { id: ID, home });
  await fleet.advance(300);
  const handedOver = fleet.node(second).operations.handOver();
  await fleet.advance(200);
  t.true(await handedOver);
  // Only the second instance can be reached.
  for (const other of others) fleet.cut(first, other);
  await fleet.advance(2_500);
  void fleet.node(first).operations.handOver();
  await fleet.advance(500);
  for (const name of [first, second]) fleet.kill(name);
  await fleet.advance(500);
  const again = others.map((name) => fleet.send(name, { id: ID, home }));
  await fleet.advance(1_000);
  t.is(resultText(attempt), "done by 0");
  t.deepEqual(again.map(resultText), others.map(() => "done by 0"));
  t.deepEqual(fleet.violations(), []);
});

/**
 * An operator adds an instance to a zone. The home of some ids changes, and a
 * retry must not run there as if it were new.
 */
test("an id whose home moved with the seats is not run again", async (t) => {
  const fleet = new FakeFleet();
  await fleet.advance(1_500);
  const ids = Array.from({ length: 12 }, (_, i) => `m${i}`);
  const before = ids.map((id) => holderOf(fleet, id));
  ids.forEach((id) => fleet.send("r1-a-1", { id }));
  await fleet.advance(300);
  const added = fleet.start("r1-b-3", { zone: "r1-b", region: "r1" });
  fleet.adopt(
    fleet.zones.map((z) => z.zone === "r1-b" ? { ...z, instances: 3 } : z),
  );
  fleet.seats.push({
    zone: "r1-b" as ZoneId,
    index: 2,
    holder: "r1-b-3" as InstanceId,
    incarnation: added.incarnation,
    epoch: 1,
  });
  await fleet.advance(1_500);
  const again = ids.map((id) => fleet.send("r1-a-1", { id }));
  await fleet.advance(1_000);
  t.true(ids.some((id, i) => holderOf(fleet, id) !== before[i]));
  t.deepEqual(again.map(resultText), ids.map((_, i) => `done by ${i}`));
  t.deepEqual(fleet.violations(), []);
});
