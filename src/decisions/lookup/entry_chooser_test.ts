import test from "ava";
import {
  type InstanceId,
  type RegionId,
  SeededRandom,
  type ZoneId,
} from "../../core/mod.ts";
import { EntryChooser, MAX_REUSE_MS } from "./entry_chooser.ts";

function choice(name: string, zone: string, region = "r1") {
  return {
    instance: name as InstanceId,
    url: `http://${name}`,
    zone: zone as ZoneId,
    region: region as RegionId,
  };
}

const CANDIDATES = [
  choice("a1", "za"),
  choice("a2", "za"),
  choice("a3", "za"),
  choice("b1", "zb"),
  choice("b2", "zb"),
  choice("c1", "zc", "r2"),
];

function setup() {
  const chooser = new EntryChooser(new SeededRandom(5));
  const firsts = (candidates = CANDIDATES, draws = 3_000) => {
    const counts = new Map<string, number>();
    chooser.prepare(candidates);
    const location = { zone: "za" as ZoneId, region: "r1" as RegionId };
    for (let i = 0; i < draws; i++) {
      const first = chooser.choose(location)[0]!.instance;
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    return counts;
  };
  const load = (name: string, load: number, now: number) =>
    chooser.observe(name as InstanceId, load, now);
  return { chooser, firsts, load };
}

test("answers spread over the zone and name nearer instances first", (t) => {
  const { chooser, firsts } = setup();
  const counts = firsts();
  t.deepEqual([...counts.keys()].sort(), ["a1", "a2", "a3"]);
  for (const n of counts.values()) t.true(n > 900 && n < 1_100);
  const location = { zone: "zc" as ZoneId, region: "r2" as RegionId };
  const names = chooser.choose(location).map((c) => c.instance);
  t.is(names[0], "c1" as InstanceId);
  t.is(names.length, 4);
});

test("when an instance leaves, its callers spread over all that remain", (t) => {
  // One of three instances stops. If all its callers had the same next choice,
  // that instance would get twice its load at once and might fail too.
  const { firsts } = setup();
  const counts = firsts(CANDIDATES.filter((c) => c.instance !== "a1"));
  for (const id of ["a2", "a3"]) {
    t.true(Math.abs((counts.get(id) ?? 0) - 1_500) < 120);
  }
});

test("a busy instance gets fewer callers, but a single load report moves few", (t) => {
  const { firsts, load } = setup();
  for (const id of ["a1", "a2", "a3"]) load(id, 0.25, 0);
  load("a1", 4, 100);
  const after = firsts().get("a1") ?? 0;
  t.true(after > 600, `one report left ${after} of 1000`);
  for (let now = 200; now <= 30_000; now += 100) load("a1", 4, now);
  const sustained = firsts().get("a1") ?? 0;
  t.true(sustained > 250 && sustained < 450, `lasting load left ${sustained}`);
});

test("an overloaded zone spills part of its callers to the next zone, not most", (t) => {
  const { firsts, load } = setup();
  for (const id of ["a1", "a2", "a3"]) load(id, 5, 0);
  const counts = firsts();
  const spilled = (counts.get("b1") ?? 0) + (counts.get("b2") ?? 0);
  t.true(spilled > 1_300 && spilled < 1_700, `${spilled} of 3000`);
});

test("reuse times are jittered, so that callers do not return together", (t) => {
  const { chooser } = setup();
  const times = Array.from({ length: 200 }, () => chooser.reuseMs());
  t.true(Math.max(...times) <= MAX_REUSE_MS);
  t.true(new Set(times).size > 100);
});
