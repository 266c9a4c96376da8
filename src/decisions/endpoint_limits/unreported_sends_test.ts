import test from "ava";
import { boundUnreported } from "./unreported_sends.ts";

test("a small fleet divides the room whatever the demand", (t) => {
  const bound = boundUnreported({
    left: 25,
    share: 1 / 12,
    instances: 12,
    requests: 1e6,
  });
  t.deepEqual(bound, { sends: 2, fraction: 1 });
});

// Guards against a sum over many instances that exceeds the room.
test("in a large fleet the instances with a request stay within the room", (t) => {
  for (const left of [0, 5, 20, 60]) {
    for (const requests of [30, 100, 400]) {
      const instances = 74;
      const { sends, fraction } = boundUnreported({
        left,
        share: 1 / instances,
        instances,
        requests,
      });
      t.is(sends, 1);
      const senders = instances *
        (1 - Math.exp(-requests * fraction / instances));
      t.true(senders <= left + 1e-9, `${left}, ${requests}: ${senders}`);
    }
  }
});

// Guards against a few instances with all of the demand that use little of a limit.
test("instances with most of the demand have most of the room", (t) => {
  const room = { left: 40, instances: 74, requests: 150 };
  t.is(boundUnreported({ ...room, share: 0.08 }).sends, 3);
  t.deepEqual(
    boundUnreported({ ...room, share: 0.003 }),
    boundUnreported({ ...room, share: 0.01 }),
  );
});
