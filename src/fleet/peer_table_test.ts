import test from "ava";
import { hash, type InstanceId } from "../core/mod.ts";
import {
  type AggregateMember,
  PeerTable,
  RELAY_MODE_SUSPECT_AFTER_MS,
} from "./mod.ts";
import { digest, profile } from "./testing/digest_fixtures.ts";

/** Enough instances in other zones that the zone has a relay. */
const OTHER_INSTANCES = 24;

function zoneTable() {
  const suspected: InstanceId[] = [];
  const table = new PeerTable(profile("i0"), 1, {
    reported: () => {},
    suspect: (peer) => suspected.push(peer.profile.id),
    unreachable: () => {},
    removed: () => {},
  });
  const far = Array.from(
    { length: OTHER_INSTANCES },
    (_, i) => profile(`f${i}`, "bay"),
  );
  table.onInstanceList([profile("relay"), profile("zonePeer"), ...far], 0);
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

// Guards against a dead relay that becomes suspect only after the longer
// timeout of the instances it reported.
test("a silent relay becomes suspect before the instances it reported", (t) => {
  const { table, suspected } = zoneTable();
  table.heard(digest("relay"), 0);
  table.applyZoneStatus(AGGREGATE, 1);
  table.tick(RELAY_MODE_SUSPECT_AFTER_MS + 2);
  t.deepEqual(suspected, ["relay" as InstanceId]);
});

// Guards against instances that stay in use after the relay lost contact.
test("an instance that the relay no longer lists becomes suspect", (t) => {
  const { table, suspected } = zoneTable();
  table.applyZoneStatus(AGGREGATE, 1);
  table.applyZoneStatus({ ...AGGREGATE, members: [member("relay")] }, 251);
  t.deepEqual(suspected, ["zonePeer" as InstanceId]);
});
