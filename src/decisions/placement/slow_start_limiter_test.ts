import test from "ava";
import {
  type EndpointId,
  type InstanceId,
  type RegionId,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../../core/mod.ts";
import { EndpointRow } from "../../traffic/mod.ts";
import { SlowStartLimiter } from "./mod.ts";

function coldRow(): EndpointRow {
  const record = {
    id: "e1" as EndpointId,
    service: "s" as ServiceId,
    address: "",
    zone: "z" as ZoneId,
    slots: 9,
    draining: false,
    coldMs: 60_000,
    bornAt: undefined,
  };
  return new EndpointRow(record, "r" as RegionId, { seed: 1, now: 0 });
}

/** Requests of a fleet to one cold endpoint, in the busiest second and in all. */
function busiestSecond(
  fleet: { readonly instances: number; readonly ratePerS: number },
  intervalMs: number,
  seed: number,
): { most: number; all: number } {
  const random = new SeededRandom(seed);
  // Monotonic clocks of different processes have different origins.
  const members = Array.from({ length: fleet.instances }, (_, i) => ({
    limits: new SlowStartLimiter(`i${i}` as InstanceId),
    startedAt: random.below(100_000),
    nextAt: random.below(intervalMs),
  }));
  const row = coldRow();
  row.coldUntil = Infinity;
  const sent: number[] = [];
  for (let now = 0; now < 20_000; now += 5) {
    for (const member of members) {
      if (now < member.nextAt) continue;
      member.nextAt = now + random.below(2 * intervalMs);
      if (member.limits.take(row, fleet, now + member.startedAt)) {
        sent.push(now);
      }
    }
  }
  let most = 0;
  for (const at of sent) {
    most = Math.max(most, sent.filter((s) => s >= at && s < at + 1_000).length);
  }
  return { most, all: sent.length };
}

const FLEETS = [
  { name: "ten instances", instances: 10, ratePerS: 4, bound: 4 * 1.5 + 5 },
  { name: "twelve instances", instances: 12, ratePerS: 15, bound: 27.5 },
  { name: "eighty instances", instances: 80, ratePerS: 15, bound: 30.5 },
];

for (const { name, bound, ...fleet } of FLEETS) {
  test(`a cold endpoint is not overloaded by ${name} in any second`, (t) => {
    // All instances discover a new endpoint at the same time, and each has many
    // or few requests for it. Well above its rate the endpoint crashes.
    for (const intervalMs of [10, 100, 400]) {
      for (const seed of [1, 2, 3, 4]) {
        const { most, all } = busiestSecond(fleet, intervalMs, seed);
        t.true(
          most <= bound,
          `${most} in one second at intervals of ${intervalMs} ms`,
        );
        if (intervalMs === 10) t.true(all > fleet.ratePerS * 20 * 0.6);
      }
    }
  });
}
