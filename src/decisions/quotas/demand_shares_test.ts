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
function asked(zone: number, index: number): number {
  return index === 0 ? 10 + zone : 0.1 * index;
}

function zoneSum(zone: number): number {
  let sum = 0;
  for (let i = 0; i < PER_ZONE; i++) sum += asked(zone, i);
  return sum;
}

/** Shares as an instance sees them that hears its zone one by one. */
function sharesAt(zone: number, index: number): DemandShares {
  const own = `${zone}-${index}` as InstanceId;
  const shares = new DemandShares(own, () => ZONES * PER_ZONE);
  // Twice: what is told is kept with the division of that moment.
  for (let round = 0; round < 2; round++) {
    for (let i = 0; i < PER_ZONE; i++) {
      if (i === index) continue;
      shares.reported(`${zone}-${i}` as InstanceId, demandOf(asked(zone, i)));
    }
    for (let z = 0; z < ZONES; z++) {
      if (z === zone) continue;
      shares.reported(`zone ${z}` as InstanceId, demandOf(zoneSum(z)), {
        instances: PER_ZONE,
      });
    }
    shares.tick(demandOf(asked(zone, index)));
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

test("shares of instances that hear other zones as wholes add up to the rate", (t) => {
  // Each works its share out from other numbers: its zone one by one, the
  // others summed. Were a zone taken for one instance, the floors that all hold
  // would add up to several rates.
  const sum = sumOfShares(() => {});
  t.true(Math.abs(sum - 1) < 1e-9, `${sum}`);
});

test("the share of a zone that is not heard stays set aside", (t) => {
  // A zone is cut off and spends on. What the others divide leaves its share.
  const unreachable = "zone 5" as InstanceId;
  const sum = sumOfShares((shares, zone) => {
    if (zone !== 5) shares.unreachable(unreachable);
  });
  t.true(sum <= 1 + 1e-9, `${sum}`);
  t.true(sum > 0.95, `${sum}`);
});
