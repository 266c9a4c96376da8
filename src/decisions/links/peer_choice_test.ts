import test from "ava";
import type { RegionId } from "../../core/mod.ts";
import { peersFor } from "./mod.ts";

const EAST = "east" as RegionId;
const WEST = "west" as RegionId;
const SERVING = [{ region: EAST }, { region: WEST }, { region: WEST }];

function regionsOf(isolated: number, allowed?: RegionId): string[] {
  const regions = allowed === undefined ? undefined : new Set([allowed]);
  const opts = { region: EAST, isolated, allowed: regions };
  return peersFor(SERVING, opts).map(({ region }) => region);
}

test("instances of the region serve while half of it is left", (t) => {
  t.deepEqual(regionsOf(1), ["east"]);
});

// Guards against the one instance left in a region that gets all of its load.
test("every region serves when most of one is isolated", (t) => {
  t.deepEqual(regionsOf(2), ["east", "west", "west"]);
});

test("a request that is bound to a region stays there", (t) => {
  t.deepEqual(regionsOf(3, WEST), ["west", "west"]);
  t.deepEqual(regionsOf(3, EAST), ["east"]);
});
