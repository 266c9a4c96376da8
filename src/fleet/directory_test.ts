import test from "ava";
import type { InstanceId, RegionId } from "../core/mod.ts";
import { callerAddresses, type InstanceState } from "./mod.ts";
import { profile } from "./testing/digest_fixtures.ts";

const GULF = "gulf" as RegionId;

/** Addresses for callers of `gulf`, by an instance of it in this state. */
function addresses(
  state: InstanceState,
  others: {
    readonly serving?: string[];
    readonly isolated?: string[];
    readonly reserves?: string[];
  },
): string[] {
  const { serving = [], isolated = [], reserves = [] } = others;
  const own = { profile: profile("own"), state };
  const far = profile("far", "delta");
  const lists = {
    serving: [far, ...serving.map((id) => profile(id))],
    isolated: isolated.map((id) => profile(id)),
    reserves: new Set(reserves as InstanceId[]),
  };
  return callerAddresses(lists, own, GULF).map((a) => a.split(":")[0] ?? "");
}

test("callers are sent to instances that reach the endpoints", (t) => {
  t.deepEqual(addresses("isolated", { serving: ["i1"] }), ["i1"]);
  t.deepEqual(
    addresses("serving", { serving: ["i1"], isolated: ["i2"] }),
    ["i1", "own"],
  );
});

// Guards against the one instance left in a region that gets all of its callers.
test("isolated instances stay listed where most of a region is isolated", (t) => {
  const listed = addresses("isolated", { serving: ["i1"], isolated: ["i2"] });
  t.deepEqual(listed, ["i1", "i2", "own"]);
});

test("a region that is isolated as a whole keeps its callers", (t) => {
  t.deepEqual(addresses("isolated", { isolated: ["i1"] }), ["i1", "own"]);
});

// Guards against an empty directory while no instance reaches an endpoint.
test("the directory is never empty while instances are isolated", (t) => {
  const own = { profile: profile("own", "delta"), state: "isolated" as const };
  const none = { serving: [], isolated: [] };
  t.deepEqual(callerAddresses(none, own, GULF), ["own:80"]);
});

test("reserves are left out while enough others are serving", (t) => {
  const serving = ["i1", "i2", "i3"];
  t.deepEqual(
    addresses("serving", { serving, reserves: ["i3", "own"] }),
    ["i1", "i2"],
  );
});

// Guards against the last strong instance that gets all callers of its region.
test("reserves are listed where fewer than two others are serving", (t) => {
  const serving = ["i1", "i2", "i3"];
  const all = ["i1", "i2", "i3", "own"];
  t.deepEqual(
    addresses("serving", { serving, reserves: ["i2", "i3", "own"] }),
    all,
  );
  t.deepEqual(addresses("serving", { serving, reserves: all }), all);
});

// Guards against strong instances that get the callers of isolated ones alone.
test("reserves are listed where others are too few for the isolated ones", (t) => {
  const serving = ["i1", "i2", "i3", "i4"];
  const isolated = ["i5", "i6", "i7"];
  const reserves = ["i3", "i4"];
  t.deepEqual(
    addresses("isolated", { serving, isolated: isolated.slice(2), reserves }),
    ["i1", "i2"],
  );
  t.deepEqual(
    addresses("isolated", { serving, isolated, reserves }),
    ["i1", "i2", "i3", "i4"],
  );
});
