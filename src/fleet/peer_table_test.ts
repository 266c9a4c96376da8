import test from "ava";
import { hash, type InstanceId } from "../core/mod.ts";
import {
  type AggregateMember,
  PeerTable,
  SUSPECT_AGGREGATED_MS,
} from "./mod.ts";
import { digest, profile } from "./testing/digest_fixtures.ts";

/** Enough instances, in other zones, that the zone has a relay. */
const OTHERS = 24;

function tableOfZone() {
  const suspected: InstanceId[] = [];
  const table = new PeerTable(profile("i0"), 1, {
    reported: () => {},
    suspect: (peer) => suspected.push(peer.profile.id),
    unreachable: () => {},
    removed: () => {},
  });
  const far = Array.from({ length: OTHERS }, (_, i) => profile(`f${i}`, "bay"));
  table.listed([profile("relay"), profile("zonePeer"), ...far], 0);
  return { table, suspected };
}

function member(id: string): AggregateMember {
  return {
    idHash: hash(id),
    startHash: hash("s1"),
    seq: 1,
    state: "serving",
    isStoreWatcher: false,
    storeInTouch: false,
    relays: id === "relay",
    upToDate: true,
    capacity: 1,
  };
}

const AGGREGATE = {
  relay: profile("relay"),
  members: [member("relay"), member("zonePeer")],
  changes: new Map(),
};

// Guards against a dead relay that is missed for as long as those it reported.
test("a relay that becomes unreachable is suspected before those it reported", (t) => {
  const { table, suspected } = tableOfZone();
  table.heard(digest("relay"), 0);
  table.heardZone(AGGREGATE, 1);
  table.tick(SUSPECT_AGGREGATED_MS + 2);
  t.deepEqual(suspected, ["relay" as InstanceId]);
});

// Guards against instances that stay in use after their relay lost them.
test("an instance that the relay does not name any more is suspected", (t) => {
  const { table, suspected } = tableOfZone();
  table.heardZone(AGGREGATE, 1);
  table.heardZone({ ...AGGREGATE, members: [member("relay")] }, 251);
  t.deepEqual(suspected, ["zonePeer" as InstanceId]);
});
