import test from "ava";
import { AcceptHold } from "./mod.ts";

test("nothing is held while connections are accepted in time", (t) => {
  const hold = new AcceptHold();
  for (let now = 0; now < 1_000; now += 10) {
    t.false(hold.isHeld(now % 50, now));
  }
});

// Guards against connections that wait unread while requests are started.
test("requests are held until all connections are accepted", (t) => {
  const hold = new AcceptHold();
  hold.isHeld(0, 0);
  t.false(hold.isHeld(50, 50));
  t.true(hold.isHeld(60, 60));
  t.true(hold.isHeld(30, 80));
  t.false(hold.isHeld(0, 90));
  t.false(hold.isHeld(40, 130));
});

// Guards against a flood of connections that ends all service.
test("requests are started at times while connections keep waiting", (t) => {
  const hold = new AcceptHold();
  let started = 0;
  for (let now = 0; now < 3_000; now += 10) {
    if (!hold.isHeld(500, now)) started++;
  }
  t.true(started >= 80, `${started} of 300`);
  t.true(started <= 150, `${started} of 300`);
});

test("a hold that does not suffice shows until all connections are accepted", (t) => {
  const hold = new AcceptHold();
  for (let now = 0; now < 140; now += 10) hold.isHeld(500, now);
  t.true(hold.isOverrun);
  hold.isHeld(0, 150);
  t.false(hold.isOverrun);
});
