import test from "ava";
import type { ZoneId } from "../../core/mod.ts";
import type { HeldSeat } from "../../membership/mod.ts";
import { SeatShares } from "./seat_shares.ts";

const HOLD_MS = 3_000;
const ZONE = "z1" as ZoneId;

function seat(epoch: number): HeldSeat {
  return { zone: ZONE, index: 0, epoch, part: 1, until: Infinity };
}

function sharesOf(held: readonly HeldSeat[]): SeatShares {
  return new SeatShares({
    instance: "i1",
    seats: { entries: () => [], held: () => [...held] },
    holdMs: () => HOLD_MS,
  });
}

test("a seat that changed hands is settled once its former holder's work ended", (t) => {
  // An operator replaces an instance, sees that the new one serves, and stops
  // the next. The new one's seat still rests, so the zone has no slot in use
  // and its callers are refused.
  const shares = sharesOf([seat(2)]);
  t.false(shares.settled(0, HOLD_MS));
  t.false(shares.settled(HOLD_MS - 1, HOLD_MS));
  t.true(shares.settled(HOLD_MS, HOLD_MS));
});

test("a seat's first holder waits for nobody, and without a seat nothing is settled", (t) => {
  t.true(sharesOf([seat(1)]).settled(0, HOLD_MS));
  t.false(sharesOf([]).settled(0, HOLD_MS));
});
