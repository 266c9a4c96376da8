import test from "ava";
import type { AccountId, InstanceId } from "../../core/mod.ts";
import { type Demand, DemandShares } from "./demand_shares.ts";

const ACCOUNT = "importers" as AccountId;
const ZONES = 6;
const PER_ZONE = 13;

function demandOf(perS: number): Demand {
  return new Map([[ACCOUNT, perS]]);
}

/** Requests a second at an instance, unevenly spread. */
function demandAt(zone: number, index: number): number {
  return index === 0 ? 10 + zone : 0.1 * index;
}

function zoneSum(zone: number): number {
  let sum = 0;
  for (let i = 0; i < PER_ZONE; i++) sum += demandAt(zone, i);
  return sum;
}

/** Shares at an instance that gets its own zone's reports one by one. */
function sharesAt(zone: number, index: number): DemandShares {
  const own = `${zone}-${index}` as InstanceId;
  const shares = new DemandShares(own, () => ZONES * PER_ZONE);
  // Two rounds, so that more than one snapshot is kept.
  for (let round = 0; round < 2; round++) {
    for (let i = 0; i < PER_ZONE; i++) {
      if (i === index) continue;
      shares.applyReport(
        `${zone}-${i}` as InstanceId,
        demandOf(demandAt(zone, i)),
      );
    }
    for (let z = 0; z < ZONES; z++) {
      if (z === zone) continue;
      shares.applyReport(`zone ${z}` as InstanceId, demandOf(zoneSum(z)), {
        instances: PER_ZONE,
      });
    }
    shares.tick(demandOf(demandAt(zone, index)));
  }
  return shares;
}

function sumOfShares(change: (shares: DemandShares, zone: number) => void) {
  let sum = 0;
  for (let zone = 0; zone < ZONES; zone++) {
    for (let i = 0; i < PER_ZONE; i++) {
      const shares = sharesAt(zone, i);
      change(shares, zone);
      sum += shares.own(ACCOUNT);
    }
  }
  return sum;
}

test("shares sum to the rate when other zones report as aggregates", (t) => {
  // Guards against a zone's aggregate that counts as one instance: the equal
  // shares of all instances would then sum to several times the rate.
  const sum = sumOfShares(() => {});
  t.true(Math.abs(sum - 1) < 1e-9, `${sum}`);
});

test("the share of an unreachable zone stays reserved", (t) => {
  // Guards against dividing the share of a partitioned zone that still spends.
  const unreachable = "zone 5" as InstanceId;
  const sum = sumOfShares((shares, zone) => {
    if (zone !== 5) shares.markUnreachable(unreachable);
  });
  t.true(sum <= 1 + 1e-9, `${sum}`);
  t.true(sum > 0.95, `${sum}`);
});

// Guards against an instance that hears a part of the fleet and does not show it.
test("the number of reporting instances leaves out unreachable ones", (t) => {
  const shares = sharesAt(0, 0);
  t.is(shares.reporting, ZONES * PER_ZONE);
  shares.markUnreachable("zone 3" as InstanceId);
  t.is(shares.reporting, (ZONES - 1) * PER_ZONE);
});
