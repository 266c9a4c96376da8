import test from "ava";
import {
  decodeStatus,
  encodeStatus,
  type InstanceStatus,
} from "./status_bits.ts";

const PLAIN: InstanceStatus = {
  state: "serving",
  storeInTouch: true,
  isStoreWatcher: false,
  relays: true,
};
/** Flag of the message itself. */
const MESSAGE_FLAG = 32;
/** Bits that the previous build reads. */
const PREVIOUS_BITS = 31;

test("a status is decoded as it was encoded", (t) => {
  t.deepEqual(decodeStatus(encodeStatus(PLAIN)), PLAIN);
  for (const utilization of [0, 0.31, 1]) {
    for (const linkClass of [1, 20, 31]) {
      const status = { ...PLAIN, isReserve: true, utilization, linkClass };
      t.deepEqual(decodeStatus(encodeStatus(status)), status);
    }
  }
});

test("a utilization beyond the range is limited", (t) => {
  const over = { ...PLAIN, utilization: 7 };
  t.deepEqual(decodeStatus(encodeStatus(over)), {
    ...PLAIN,
    utilization: 1.26,
  });
});

// Guards against digests that the previous build rejects during an upgrade, and
// against the flag that aggregates keep in the same number.
test("the previous build reads a reserve as an instance that is serving", (t) => {
  const bits = encodeStatus({
    ...PLAIN,
    isReserve: true,
    utilization: 1,
    linkClass: 31,
  });
  t.is(bits & PREVIOUS_BITS, encodeStatus(PLAIN));
  t.is(bits & MESSAGE_FLAG, 0);
});

// Guards against an instance of the previous build that counts as idle.
test("in a status of the previous build the utilization is unknown", (t) => {
  t.is(decodeStatus(1)?.utilization, undefined);
  t.is(decodeStatus(1 | MESSAGE_FLAG)?.linkClass, undefined);
});
