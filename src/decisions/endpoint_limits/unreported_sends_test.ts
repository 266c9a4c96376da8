import test from "ava";
import { boundUnreported } from "./unreported_sends.ts";

test("a small fleet divides the room whatever the demand", (t) => {
  const bound = boundUnreported({ left: 25, instances: 12, requests: 1e6 });
  t.deepEqual(bound, { sends: 2, fraction: 1 });
});

// Guards against a sum over many instances that exceeds the room.
test("in a large fleet the instances with a request stay within the room", (t) => {
  for (const left of [0, 5, 20, 60]) {
    for (const requests of [30, 100, 400]) {
      const instances = 74;
      const { sends, fraction } = boundUnreported({
        left,
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
