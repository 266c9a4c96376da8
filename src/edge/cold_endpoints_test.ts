import test from "ava";
import type { EndpointId, InstanceId, RegionId } from "../core/mod.ts";
import { ColdEndpoints } from "./cold_endpoints.ts";
import { endpoint, plan } from "./testing/traffic_fixtures.ts";
import { TrafficState } from "./traffic_state.ts";

const INSTANCES = 74;
const RATE_PER_S = 12;
/** What a second may hold: 1.5 times the rate, and 5. */
const MOST_PER_S = RATE_PER_S * 1.5 + 5;

/** A cold endpoint, and instances that have all just started. */
function restartedFleet(fleet: {
  readonly fleetSize: () => number;
  readonly isFleetKnown: () => boolean;
}) {
  const state = new TrafficState(() => "r1" as RegionId, {
    added: () => {},
    removed: () => {},
  });
  state.adopt(plan());
  state.endpoints.put(endpoint({ id: "e1" as EndpointId, coldMs: 60_000 }), 0);
  const [row] = [...state.endpoints.rows()];
  const members = Array.from(
    { length: INSTANCES },
    (_, i) =>
      new ColdEndpoints({ ...fleet, state, own: `i${i}` as InstanceId }),
  );
  return { row: row!, members };
}

/** Requests of all instances to the endpoint within a second. */
function sentInSecond({ row, members }: ReturnType<typeof restartedFleet>) {
  let sent = 0;
  for (let now = 0; now < 1_000; now += 10) {
    for (const cold of members) {
      if (!cold.hasRoom(row, now)) continue;
      cold.take(row, now);
      sent++;
    }
  }
  return sent;
}

// Guards against large fleets that restart and divide a rate by a few instances.
test("instances that do not know the size of their fleet spare cold endpoints", (t) => {
  const fleet = { fleetSize: () => 12, isFleetKnown: () => false };
  t.true(sentInSecond(restartedFleet(fleet)) <= MOST_PER_S);
});

test("instances that know it send to cold endpoints at their rate", (t) => {
  const fleet = { fleetSize: () => INSTANCES, isFleetKnown: () => true };
  const sent = sentInSecond(restartedFleet(fleet));
  t.true(sent > 0 && sent <= MOST_PER_S, `${sent}`);
});
