import test from "ava";
import {
  type EndpointId,
  hash,
  type RegionId,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../../core/mod.ts";
import { EndpointRow } from "../../traffic/mod.ts";
import {
  EndpointOrder,
  EndpointRanking,
  KeyDemand,
  LatencyEstimator,
  MAX_REPLICAS,
  MIN_LARGE_REPLICAS,
  MIN_REPLICAS,
  NOTHING_PINNED,
  type PlacementRequest,
  ReplicaSetPlacement,
  requestsAt,
  slowdownOf,
} from "./mod.ts";

const SLOTS = 4;
const WEST = "west" as RegionId;

function rows(count: number, region = WEST, slots = SLOTS): EndpointRow[] {
  return Array.from({ length: count }, (_, i) => {
    const id = `e-${region}-${i}` as EndpointId;
    const record = {
      id,
      service: "s" as ServiceId,
      address: "",
      zone: region as string as ZoneId,
      slots,
      draining: false,
      coldMs: 0,
      bornAt: undefined,
    };
    return new EndpointRow(record, region, { seed: hash(id), now: 0 });
  });
}

function request(more: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    affinityKey: "o1",
    region: WEST,
    regions: [WEST],
    pinned: NOTHING_PINNED,
    priority: 0,
    meanLatencyMs: 250,
    meanWorkMs: 250,
    now: 1_000,
    leftMs: 4_000,
    instances: 1,
    usable: () => true,
    ...more,
  };
}

function placement(): ReplicaSetPlacement {
  return new ReplicaSetPlacement({ random: new SeededRandom(1) });
}

/** The first endpoints of a key's order. */
function orderOf(all: readonly EndpointRow[], req = request()): EndpointRow[] {
  return new EndpointRanking().order(
    all,
    { ...req, affinityKey: req.affinityKey! },
    all.length,
  );
}

function chosen(
  all: readonly EndpointRow[],
  req = request(),
  by = placement(),
): { readonly ids: Set<string>; readonly reasons: Set<string> } {
  const ids = new Set<string>();
  const reasons = new Set<string>();
  for (let i = 0; i < 60; i++) {
    const result = by.choose(all, { ...req, now: req.now! + i * 20_000 });
    ids.add(result.endpoint?.id ?? "none");
    if (result.endpoint !== undefined) reasons.add(result.why);
  }
  return { ids, reasons };
}

test("a key with little demand stays within the first endpoints of its order", (t) => {
  // Each further endpoint would have to load the key into its cache.
  const all = rows(30);
  const members = orderOf(all).slice(0, MIN_REPLICAS).map(({ id }) => id);
  const { ids, reasons } = chosen(all);
  t.deepEqual([...ids].sort(), [...members].sort());
  t.deepEqual([...reasons], ["replica"]);
});

test("a key without much demand has fewer copies at endpoints with many slots", (t) => {
  // Two members with nine slots have room for bursts, and each further copy is
  // loaded at each restart.
  const all = rows(30, WEST, 9);
  t.is(chosen(all).ids.size, MIN_LARGE_REPLICAS);
});

test("the order has the endpoints in the ranking of the primary and secondary", (t) => {
  const all = [...rows(8), ...rows(5, "east" as RegionId)];
  const order = new EndpointOrder();
  for (const affinityKey of ["a", "b", "c"]) {
    const req = { ...request(), affinityKey };
    const { primary, secondary } = new EndpointRanking().rank(all, req);
    const first = order.first(all, req, 2, () => true);
    t.deepEqual(first, [primary, secondary]);
  }
});

test("the next endpoint of the order takes the place of one that cannot be used", (t) => {
  // It was in the set or is the next to join it; other members keep their keys.
  const all = rows(30);
  const [first, ...others] = orderOf(all);
  const usable = (row: EndpointRow) => row !== first;
  const { ids } = chosen(all, request({ usable }));
  const expected = others.slice(0, MIN_REPLICAS).map(({ id }) => id);
  t.deepEqual([...ids].sort(), expected.sort());
});

test("an order is found although more endpoints are unusable than are cached", (t) => {
  const all = rows(60);
  const last = orderOf(all).slice(-2);
  const usable = (row: EndpointRow) => last.includes(row);
  const found = new EndpointOrder().first(
    all,
    { ...request(), affinityKey: "o1" },
    MAX_REPLICAS,
    usable,
  );
  t.deepEqual(found, last);
});

test("a request goes to the member where it completes first", (t) => {
  const all = rows(30);
  const members = orderOf(all).slice(0, MIN_REPLICAS);
  const [a, b, c] = members as [EndpointRow, EndpointRow, EndpointRow];
  [a.inFlight, b.peersInFlight, c.inFlight] = [SLOTS + 3, SLOTS + 2, SLOTS - 1];
  t.deepEqual([...chosen(all).ids], [c.id]);
});

test("a member on a slow host is avoided until its report is old", (t) => {
  // 0.15 of the hosts take 2.5 times as long, and change every 600 ms.
  const all = rows(3);
  const [slow] = all as [EndpointRow];
  const report = { running: 0, waiting: 0, slots: SLOTS, hostSlowdown: 2.5 };
  slow.applyReport(report, 1_000);
  t.is(slowdownOf(slow, 1_000), 2.5);
  t.true(slowdownOf(slow, 1_600) < 1.6);
  t.true(slowdownOf(slow, 5_000) < 1.01);
  const by = placement();
  for (let i = 0; i < 60; i++) {
    t.not(by.choose(all, request()).endpoint, slow);
  }
});

test("no request is refused while an endpoint up to the largest set has a free slot", (t) => {
  const all = rows(30);
  const order = orderOf(all);
  for (const row of order) row.inFlight = SLOTS * 3;
  const last = order[MAX_REPLICAS - 1]!;
  last.inFlight = SLOTS - 1;
  for (const priority of [0, 1, 2]) {
    const result = placement().choose(all, request({ priority }));
    t.like(result, { endpoint: last, why: "beyond-set" });
  }
  last.inFlight = SLOTS;
  t.is(placement().choose(all, request()).endpoint, undefined);
});

test("what would complete after its deadline is refused with the time until a slot is free", (t) => {
  // All have seven requests on four slots: one slot is free after the four that
  // are ahead of the next, which is the work of one request.
  const all = rows(30);
  for (const row of all) row.inFlight = SLOTS + 3;
  const late = placement().choose(all, request({ leftMs: 400 }));
  t.deepEqual(late, { endpoint: undefined, waitMs: 250 });
  const inTime = placement().choose(all, request({ leftMs: 600 }));
  t.like(inTime, { why: "replica-queue" });
});

test("a request with little time left is not refused while a slot is free", (t) => {
  // The usual duration may be that of another route of the service. Refused, the
  // requests of the faster route would never correct it.
  const all = rows(30);
  const slow = { leftMs: 400, meanWorkMs: 5_000 };
  t.like(placement().choose(all, request(slow)), { why: "replica" });
});

test("less urgent requests are refused first while members queue", (t) => {
  // Utilization of 2: below the bound of the most urgent (2.2), not of others.
  const all = rows(30);
  for (const row of all) row.inFlight = SLOTS * 2;
  const isChosen = [0, 1, 2].map((priority) =>
    placement().choose(all, request({ priority })).endpoint !== undefined
  );
  t.deepEqual(isChosen, [true, false, false]);
});

test("an endpoint with an open connection is preferred among near equals only", (t) => {
  const all = rows(30);
  const members = orderOf(all).slice(0, MIN_REPLICAS);
  const open = members[1]!;
  const isConnected = (row: EndpointRow) => row === open;
  t.deepEqual([...chosen(all, request({ isConnected })).ids], [open.id]);
  open.inFlight = SLOTS + 2;
  t.false(chosen(all, request({ isConnected })).ids.has(open.id));
});

test("a hot key gets a larger set within two seconds, which shrinks slowly", (t) => {
  // Four requests a second at each of 27 instances of the region are 108, which
  // need twelve members of nine requests a second.
  const demand = new KeyDemand();
  const sizing = { instances: 27, memberPerS: 9, min: 3, max: 8 };
  let now = 0;
  for (; now <= 2_000; now += 250) demand.count("hot", now);
  t.true(demand.sizeOf("hot", sizing, now) > sizing.min);
  for (; now <= 8_000; now += 250) demand.count("hot", now);
  t.is(demand.sizeOf("hot", sizing, now), 8);
  t.is(demand.sizeOf("hot", sizing, now + 5_000), 7);
  t.is(demand.sizeOf("hot", sizing, now + 60_000), 3);
});

test("a few requests by chance do not enlarge a set", (t) => {
  // At ten requests a second per instance, two of a key within a second are no
  // sign of demand. Every key whose set grew by chance costs cold runs.
  const demand = new KeyDemand();
  const sizing = { instances: 27, memberPerS: 9, min: 3, max: 8 };
  demand.count("k", 0);
  demand.count("k", 800);
  t.is(demand.sizeOf("k", sizing, 800), 3);
});

test("an endpoint's own report counts if it is fresh and higher", (t) => {
  const [row] = rows(1) as [EndpointRow];
  row.inFlight = 1;
  row.applyReport({ running: 4, waiting: 2, slots: SLOTS }, 1_000);
  t.is(requestsAt(row, 1_050), 6);
  t.is(requestsAt(row, 1_400), 1);
  row.applyReport({ running: 0, waiting: 0, slots: SLOTS }, 2_000);
  t.is(requestsAt(row, 2_000), 1);
});

test("the duration of a request is estimated without its wait for a slot", (t) => {
  // An estimate that includes the wait grows with the queue that it is used to
  // bound, and requests are refused that would be in time.
  const latency = new LatencyEstimator();
  const service = "s" as ServiceId;
  for (let i = 0; i < 300; i++) {
    latency.sent(service, 1);
    latency.add(service, 500);
  }
  t.true(Math.abs(latency.workOf(service) - 250) < 5);
});

test("requests without an affinity key use all endpoints, the least loaded first", (t) => {
  const all = rows(12);
  for (const row of all.slice(0, 8)) row.inFlight = SLOTS + 1;
  const { ids, reasons } = chosen(all, request({ affinityKey: undefined }));
  t.deepEqual([...ids].sort(), all.slice(8).map(({ id }) => id).sort());
  t.deepEqual([...reasons], ["least-loaded"]);
});
