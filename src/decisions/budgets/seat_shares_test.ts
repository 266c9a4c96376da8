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

test("a seat is settled once its former holder's requests have ended", (t) => {
  // Guards against an operator who replaces instances one by one stopping the
  // next one while the new one's seat is still on hold: the zone would have no
  // usable slots and refuse its callers.
  const shares = sharesOf([seat(2)]);
  t.false(shares.settled(0, HOLD_MS));
  t.false(shares.settled(HOLD_MS - 1, HOLD_MS));
  t.true(shares.settled(HOLD_MS, HOLD_MS));
});

test("a first holder is settled at once, an instance without seats never", (t) => {
  t.true(sharesOf([seat(1)]).settled(0, HOLD_MS));
  t.false(sharesOf([]).settled(0, HOLD_MS));
});
