import test from "ava";
import type {
  AccountId,
  EndpointId,
  RegionId,
  ServiceId,
  ZoneId,
} from "../../core/mod.ts";
import { hash } from "../../core/mod.ts";
import { EndpointRow } from "../../traffic/mod.ts";
import {
  AffinityPlacement,
  boundDemand,
  LeastLoadPlacement,
  NOTHING_BOUND,
  ObjectRanking,
  regionWeights,
} from "./mod.ts";
import { play, type PlayOptions } from "./testing/placement_play.ts";

/** Work of a brokerage's price service: few endpoints where the store is. */
const PRICES = {
  placement: () => new AffinityPlacement(),
  endpoints: { riga: 2, frankfurt: 8, osaka: 10 },
  slots: 9,
  remembers: 72,
  objects: 110,
  workMs: 480,
  warmPart: 0.3,
  aimMs: 300,
  deadlineMs: 2_500,
  perS: (_region: string, _now: number) => 180,
  forMs: 16_000,
} satisfies PlayOptions;

/** Long work on small endpoints: closure maps. */
const MAPS = {
  ...PRICES,
  endpoints: { gulf: 6, piedmont: 6, delta: 6 },
  slots: 4,
  remembers: 19,
  objects: 28,
  workMs: 880,
  aimMs: 600,
  deadlineMs: 4_000,
  perS: () => 53,
} satisfies PlayOptions;

/** Endpoints by region, all alike. */
function rows(counts: Readonly<Record<string, number>>): EndpointRow[] {
  return Object.entries(counts).flatMap(([region, count]) =>
    Array.from({ length: count }, (_, i) => {
      const id = `e-${region}-${i}` as EndpointId;
      const record = {
        id,
        service: "s" as ServiceId,
        address: "",
        zone: region as ZoneId,
        slots: 9,
        draining: false,
        coldMs: 0,
        bornAt: undefined,
      };
      return new EndpointRow(record, region as RegionId, {
        seed: hash(id),
        now: 0,
      });
    })
  );
}

test("a load that warm endpoints bear is served in time, from cold on", (t) => {
  // 540 requests a second reach endpoints that remember nothing. The first
  // visits overfill them; the requests must not be spread over endpoints that
  // do not know their objects either, or it never ends.
  const result = play(PRICES);
  t.true(result.inAim > 0.8, JSON.stringify(result));
  const plain = play({ ...PRICES, placement: () => new LeastLoadPlacement() });
  t.true(plain.inAim < 0.1, JSON.stringify(plain));
});

test("long work on small endpoints is served in time", (t) => {
  const result = play(MAPS);
  t.true(result.inAim > 0.7, JSON.stringify(result));
});

test("a burst passes: after it callers are served as before", (t) => {
  // Twice the load for three seconds fills the endpoints. The burst's callers
  // may be late; those that come two seconds after it must not be.
  const perS = (_: string, now: number) =>
    now > 8_000 && now < 11_000 ? 400 : 180;
  const after = play({ ...PRICES, perS, forMs: 20_000, countFromMs: 13_000 });
  t.true(after.inAim > 0.93, JSON.stringify(after));
});

test("at more than the endpoints can do, the most are still served in time", (t) => {
  // Half as much again as warm endpoints bear. What cannot be served is refused
  // at once; what is let in must be worth something to its caller.
  const perS = () => 450;
  const result = play({ ...PRICES, perS, forMs: 12_000, countFromMs: 4_000 });
  t.true(result.inAim > 0.3, JSON.stringify(result));
});

test("when an endpoint ends, only its objects are visited anew", (t) => {
  const loses = { at: 8_000, endpoint: "e-osaka-3" };
  const options = { ...PRICES, perS: () => 120, forMs: 16_000 };
  const calm = play({ ...options, countFromMs: 8_000 });
  const lost = play({ ...options, loses, countFromMs: 8_000 });
  t.true(lost.inAim > calm.inAim - 0.03, JSON.stringify({ calm, lost }));
});

test("callers are served in their region as far as its endpoints go", (t) => {
  // Riga has a tenth of the slots and a third of the callers: 70% of its work
  // has to go abroad, and none of the others' does.
  const result = play({ ...PRICES, perS: () => 100, countFromMs: 4_000 });
  t.true(result.abroad > 0.2 && result.abroad < 0.28, JSON.stringify(result));
});

test("a region's work is divided by the slots that regions can spare", (t) => {
  const all = rows({ riga: 2, frankfurt: 8, osaka: 10 });
  const regions = ["riga", "frankfurt", "osaka"] as RegionId[];
  const weights = regionWeights(all, regions, "riga" as RegionId);
  const shown = [...weights].map(([r, w]) => [r, Math.round(w * 100)]);
  t.deepEqual(shown, [["riga", 30], ["frankfurt", 20], ["osaka", 50]]);
});

test("requests of a key queue at its primary before they overflow", (t) => {
  // A burst fills a home. Elsewhere each request takes several times as long and
  // pushes out what is at home there.
  const all = rows({ riga: 4 });
  const ask = {
    affinityKey: "o1",
    region: "riga" as RegionId,
    regions: ["riga" as RegionId],
    bound: NOTHING_BOUND,
    rank: 0,
    usualMs: 200,
    usable: () => true,
  };
  const placement = new AffinityPlacement();
  const { primary, secondary } = new ObjectRanking().rank(all, ask);
  const whereAt = (homeHolds: number, secondHolds: number) => {
    primary!.inFlight = homeHolds;
    secondary!.inFlight = secondHolds;
    return placement.choose(all, ask);
  };
  t.like(whereAt(8, 0), { endpoint: primary, why: "primary" });
  t.like(whereAt(18, 0), { endpoint: primary, why: "queue" });
  t.like(whereAt(20, 8), { endpoint: secondary, why: "overflow" });
  // Both full: others that do not know the object are left alone.
  t.is(whereAt(20, 9).endpoint, undefined);
});

test("work that may be done elsewhere leaves a small region to work bound to it", (t) => {
  // A large account may be served in one region only, which has a sixth of the
  // slots. Where other accounts' requests go there too, its callers are refused
  // while slots are free in the other regions.
  const load = {
    ...PRICES,
    endpoints: { west: 2, central: 4, north: 6 },
    slots: 3,
    objects: 24,
    remembers: 25,
    aimMs: 400,
    perS: () => 30,
  } satisfies PlayOptions;
  const bound = { region: "west", part: 0.3 };
  const mixed = play({ ...load, bound: { ...bound, known: false } });
  const apart = play({ ...load, bound: { ...bound, known: true } });
  const shown = JSON.stringify({ mixed, apart });
  t.true(apart.refused <= mixed.refused / 2, shown);
  t.true(apart.inAim >= mixed.inAim + 0.05, shown);
});

test("slots that bound work needs are not divided among the rest", (t) => {
  const all = rows({ riga: 2, frankfurt: 8, osaka: 10 });
  const regions = ["riga", "frankfurt", "osaka"] as RegionId[];
  const weights = (from: string, bound: Record<string, number>) => {
    const parts = new Map(Object.entries(bound)) as Map<RegionId, number>;
    const of = regionWeights(all, regions, from as RegionId, parts);
    return [...of].map(([r, w]) => [r, Math.round(w * 100)]);
  };
  t.deepEqual(weights("riga", { riga: 0.3 }), [
    ["riga", 0],
    ["frankfurt", 33],
    ["osaka", 67],
  ]);
  t.deepEqual(weights("osaka", { riga: 0.3 }), [["osaka", 100]]);
  // All of the work is bound: what is left is divided as if none were.
  const everything = { riga: 0.1, frankfurt: 0.4, osaka: 0.5 };
  t.deepEqual(weights("riga", everything), weights("riga", {}));
});

test("accounts' rates say how much work is bound", (t) => {
  const account = (id: string, ratePerS: number, allowed: string[]) => ({
    id: id as AccountId,
    keys: [],
    priority: 0,
    ratePerS,
    burst: ratePerS,
    allowedRegions: allowed as RegionId[],
  });
  const accounts = [
    account("large", 30, ["riga"]),
    account("free", 50, []),
    account("two", 20, ["riga", "osaka"]),
  ];
  t.deepEqual([...boundDemand(accounts)], [["riga", 0.4], ["osaka", 0.1]]);
  t.deepEqual([...boundDemand([account("unlimited", 0, ["riga"])])], []);
});

test("a region without endpoints, or callers beyond all, is still placed", (t) => {
  const regions = ["riga", "frankfurt", "osaka"] as RegionId[];
  const only = rows({ osaka: 3 });
  const ask = {
    affinityKey: "7",
    region: "riga" as RegionId,
    regions,
    bound: NOTHING_BOUND,
    usable: () => true,
  };
  const { primary, secondary } = new ObjectRanking().rank(only, ask);
  t.true(
    primary !== undefined && secondary !== undefined && primary !== secondary,
  );
  const none = new ObjectRanking().rank([], ask);
  t.deepEqual(none, { primary: undefined, secondary: undefined });
});

test("an object keeps its places when another endpoint comes", (t) => {
  // A service gets an endpoint more. Objects that moved without need would all
  // be visited anew.
  const regions = ["riga", "frankfurt", "osaka"] as RegionId[];
  const before = rows({ riga: 2, frankfurt: 8, osaka: 10 });
  const after = rows({ riga: 2, frankfurt: 8, osaka: 11 });
  const ranking = new ObjectRanking();
  let moved = 0;
  for (let i = 0; i < 300; i++) {
    const ask = {
      affinityKey: `o${i}`,
      region: "osaka" as RegionId,
      regions,
      bound: NOTHING_BOUND,
      usable: () => true,
    };
    const a = ranking.rank(before, ask);
    const b = ranking.rank(after, ask);
    if (a.primary?.id !== b.primary?.id) moved++;
  }
  t.true(moved / 300 < 0.15, `${moved} of 300 moved`);
});
