import test from "ava";
import type { InstanceId, ZoneId } from "../core/mod.ts";
import { EntryKind } from "../gen/ledger_pb.ts";
import { SeatSet } from "./home_seat.ts";
import { answerOf, FakeFleet, told } from "./testing/fake_fleet.ts";

const ID = "op";

interface Setup {
  readonly fleet: FakeFleet;
  readonly owner: string;
  readonly mate: string;
  readonly far: string;
}

/** Who holds the seat that is an id's home. */
function holderOf(fleet: FakeFleet, id: string): string {
  const seat = new SeatSet(fleet.zones).homeOf({ account: "a1", id });
  return fleet.seats.find((s) =>
    s.zone === seat?.zone && s.index === seat.index
  )
    ?.holder ?? "";
}

/** A fleet that knows itself, and how its nodes stand to the id's home. */
async function makeSetup(): Promise<Setup> {
  const fleet = new FakeFleet();
  await fleet.pass(1_500);
  const owner = holderOf(fleet, ID);
  const names = [...fleet.nodes.keys()];
  const { zone } = fleet.node(owner);
  const mate = names.find((n) => n !== owner && fleet.node(n).zone === zone);
  const far = names.find((n) => fleet.node(n).zone !== zone);
  return { fleet, owner, mate: mate ?? "", far: far ?? "" };
}

/**
 * A caller without the library places a hold and gets no answer, since the
 * holder of its home seat died at some point. The seat passes to a zone-mate;
 * the caller repeats the hold there. It must not be placed twice, and the mate
 * must not say "not run" of a hold that stands.
 */
const HOLDER_DIES: {
  at: string;
  arm: (s: Setup) => void;
  alsoDies?: "far" | "mate";
  retry: string;
  runs: number;
}[] = [
  {
    at: "before its intent was recorded",
    arm: ({ fleet, owner }) => {
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
    arm: ({ fleet, owner }) => {
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
    arm: ({ fleet, owner }) => {
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
    at: "after dispatch, and its whole other zone",
    arm: ({ fleet, owner }) => {
      fleet.onDispatch = (d) => {
        if (d.by === owner) fleet.kill(owner);
        return Promise.resolve(answerOf(d.attempt));
      };
    },
    alsoDies: "far",
    retry: "unknown",
    runs: 1,
  },
];

for (const { at, arm, alsoDies, retry, runs } of HOLDER_DIES) {
  test(`seat's holder dies ${at}; retry at the next holder`, async (t) => {
    const setup = await makeSetup();
    const { fleet, owner, mate, far } = setup;
    arm(setup);
    fleet.send(owner, { id: ID });
    await fleet.pass(500);
    if (alsoDies === "far") {
      const { zone } = fleet.node(far);
      for (const n of fleet.nodes.values()) {
        if (n.zone === zone) n.alive = false;
      }
    }
    fleet.kill(owner);
    await fleet.pass(5_000);
    fleet.moveSeats(owner, mate);
    await fleet.pass(200);
    const again = fleet.send(mate, { id: ID });
    await fleet.pass(3_000);
    t.is(told(again), retry);
    t.is(fleet.dispatches.length, runs);
    t.deepEqual(fleet.violations(), []);
  });
}

/**
 * The home's holder is gone and nobody has its seat yet. A new request is
 * surely not run; a repeated one may have run, and being told "not run" its
 * caller would place the order again under another id.
 */
test("without a home, only a new id is told not-run", async (t) => {
  const { fleet, owner, mate, far } = await makeSetup();
  fleet.onDispatch = (d) => {
    fleet.kill(owner);
    return Promise.resolve(answerOf(d.attempt));
  };
  fleet.send(owner, { id: ID });
  await fleet.pass(200);
  const again = fleet.send(far, { id: ID });
  const id =
    Array.from({ length: 99 }, (_, i) => `n${i}`).find((n) =>
      holderOf(fleet, n) === owner
    ) ?? "";
  const fresh = fleet.send(mate, { id });
  await fleet.pass(1_000);
  t.deepEqual([told(again), told(fresh)], ["unknown", "not-run"]);
  t.deepEqual(fleet.violations(), []);
});

/**
 * A holder is paused while its seat passes on. When it goes on with an intent
 * of its old epoch, the new holder has run the id already.
 */
test("a paused holder of an earlier epoch is shut out", async (t) => {
  const { fleet, owner, mate } = await makeSetup();
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
  await fleet.pass(5_000);
  fleet.moveSeats(owner, mate);
  await fleet.pass(200);
  const again = fleet.send(mate, { id: ID });
  await fleet.pass(2_000);
  fleet.node(owner).resume();
  await fleet.pass(2_000);
  t.is(told(again), "done by 1");
  t.not(told(first), "done by 0");
  t.is(fleet.dispatches.length, 1);
  t.deepEqual(fleet.violations(), []);
});

/**
 * Two instances are lost within minutes, and a third takes a seat over. Both
 * records of a hold may be gone with them, so nobody can say it was not placed.
 */
test("after two losses an id of an old seat is unknown", async (t) => {
  const { fleet, owner, mate, far } = await makeSetup();
  fleet.kill(far);
  await fleet.pass(4_000);
  fleet.kill(owner);
  await fleet.pass(4_000);
  fleet.moveSeats(owner, mate);
  await fleet.pass(200);
  const asked = fleet.send(mate, { id: ID });
  await fleet.pass(1_000);
  t.is(told(asked), "unknown");
  t.deepEqual(fleet.dispatches, []);
});

/**
 * Messages between instances are lost, so one that has just started knows of a
 * place only by what the others say. That place holds the record of an order,
 * and its owner leaves. The newcomer takes the seat over, asks everybody it
 * knows, and the order of a caller that repeats it would be placed twice.
 */
test("a newcomer does not take for new what an unheard place may know", async (t) => {
  const { fleet, owner } = await makeSetup();
  let second = "";
  fleet.onMessage = ({ entries, to }) => {
    if (entries.includes(EntryKind.INTENT)) second = to;
    return "deliver";
  };
  const first = fleet.send(owner, { id: ID });
  await fleet.pass(300);
  const { zone, region } = fleet.node(owner);
  fleet.start("newcomer", { zone, region });
  fleet.cut("newcomer", second);
  await fleet.pass(1_500);
  fleet.node(owner).leaving = true;
  await fleet.pass(100);
  const handed = fleet.node(owner).operations.handOver();
  await fleet.pass(300);
  t.true(await handed);
  fleet.kill(owner);
  fleet.moveSeats(owner, "newcomer");
  await fleet.pass(200);
  const again = fleet.send("newcomer", { id: ID });
  await fleet.pass(1_000);
  t.deepEqual([first, again].map(told), ["done by 0", "unknown"]);
  t.deepEqual(fleet.violations(), []);
});

/**
 * A single instance without any peer records in the store, and the store goes
 * down. Dispatching without a second record would make the next crash a
 * doubled run, so it refuses until the store is back.
 */
test("a lone instance uses the store as second place", async (t) => {
  const fleet = new FakeFleet({ zones: [["r1", "r1-a"]], perZone: 1 });
  await fleet.pass(200);
  const home = fleet.node("r1-a-1").operations.homeOf("r1-a-1");
  const first = fleet.send("r1-a-1", { id: "1", home });
  const plain = fleet.send("r1-a-1", { id: "2" });
  await fleet.pass(300);
  t.deepEqual([first, plain].map(told), ["done by 0", "done by 1"]);
  fleet.platformDown = true;
  const refused = fleet.send("r1-a-1", { id: "3", home });
  await fleet.pass(300);
  fleet.platformDown = false;
  await fleet.pass(3_000);
  const later = fleet.send("r1-a-1", { id: "4", home });
  await fleet.pass(300);
  t.deepEqual([refused, later].map(told), ["not-run", "done by 3"]);
});

/**
 * The lone owner dies and another instance, which reaches the store, is asked
 * in its stead. An owner that was only paused finds its object closed.
 */
test("the store answers and fences in a lone owner's stead", async (t) => {
  const fleet = new FakeFleet({ zones: [["r1", "r1-a"]], perZone: 1 });
  await fleet.pass(200);
  const lone = fleet.node("r1-a-1");
  const home = lone.operations.homeOf("r1-a-1");
  fleet.send("r1-a-1", { id: "ran", home });
  await fleet.pass(300);
  lone.pause();
  const asker = fleet.start("r2-a-1", { zone: "r2-a", region: "r2" });
  await fleet.pass(200);
  const ran = fleet.send(asker.name, { id: "ran", home });
  const fresh = fleet.send(asker.name, { id: "new", home });
  await fleet.pass(300);
  lone.resume();
  const late = fleet.send("r1-a-1", { id: "new", home });
  await fleet.pass(300);
  t.deepEqual([ran, fresh, late].map(told), ["unknown", "not-run", "not-run"]);
  t.deepEqual(fleet.dispatches.map((d) => d.id), ["ran"]);
});

/**
 * Every instance is replaced one after another, each gracefully. Retries come
 * with tokens of instances that are long gone and must find their records.
 */
test("records outlive a rolling replacement", async (t) => {
  const fleet = new FakeFleet();
  await fleet.pass(1_500);
  const names = [...fleet.nodes.keys()];
  const homes = names.map((n) => fleet.node(n).operations.homeOf(n));
  homes.forEach((home, i) => fleet.send(names[i] ?? "", { id: `t${i}`, home }));
  names.forEach((n, i) => fleet.send(n, { id: `p${i}` }));
  await fleet.pass(500);
  for (const name of names) {
    const node = fleet.node(name);
    node.leaving = true;
    await fleet.pass(300);
    const handed = node.operations.handOver();
    await fleet.pass(500);
    t.true(await handed);
    fleet.kill(name);
    fleet.start(name, node);
    fleet.moveSeats(name, name);
    await fleet.pass(500);
  }
  const before = fleet.dispatches.length;
  const again = names.flatMap((n, i) => [
    fleet.send(n, { id: `t${i}`, home: homes[i] }),
    fleet.send(n, { id: `p${i}` }),
  ]);
  const fresh = homes.map((home, i) =>
    fleet.send(names[i] ?? "", { id: `f${i}`, home })
  );
  await fleet.pass(1_000);
  t.deepEqual(again.map(told).filter((w) => !w.startsWith("done")), []);
  // An heir that never heard the owner cannot tell how old its token is.
  t.deepEqual(fresh.map(told), ["unknown", "unknown", "not-run", "not-run"]);
  t.is(fleet.dispatches.length, before);
  t.deepEqual(fleet.violations(), []);
});

/**
 * An operator gives a zone one more instance. Some ids get another home by
 * that, and a retry would run there as if it were new.
 */
test("an id whose home moved with the seats is not run again", async (t) => {
  const fleet = new FakeFleet();
  await fleet.pass(1_500);
  const ids = Array.from({ length: 12 }, (_, i) => `m${i}`);
  const before = ids.map((id) => holderOf(fleet, id));
  ids.forEach((id) => fleet.send("r1-a-1", { id }));
  await fleet.pass(300);
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
  await fleet.pass(1_500);
  const again = ids.map((id) => fleet.send("r1-a-1", { id }));
  await fleet.pass(1_000);
  t.true(ids.some((id, i) => holderOf(fleet, id) !== before[i]));
  t.deepEqual(again.map(told), ids.map((_, i) => `done by ${i}`));
  t.deepEqual(fleet.violations(), []);
});
