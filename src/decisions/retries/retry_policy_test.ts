import test from "ava";
import { failure, SeededRandom, type ServiceId } from "../../core/mod.ts";
import { type FailedTry, RetryPolicy } from "./retry_policy.ts";

const SERVICE = "s" as ServiceId;

function failed(change: Partial<FailedTry> = {}): FailedTry {
  return {
    service: SERVICE,
    tries: 1,
    failure: failure("endpoint_failed", "broke", { outcome: "unknown" }),
    idempotent: true,
    replayable: true,
    deadline: 1_000,
    ...change,
  };
}

const notRun = failure("endpoint_failed", "shed", { outcome: "not-run" });
const late = failure("deadline_exceeded", "late", { outcome: "unknown" });

const CASES = [
  { name: "idempotent, outcome unknown", change: {}, again: true },
  { name: "not idempotent", change: { idempotent: false }, again: false },
  {
    name: "not idempotent but surely not run",
    change: { idempotent: false, failure: notRun },
    again: true,
  },
  { name: "body already sent", change: { replayable: false }, again: false },
  { name: "third try failed", change: { tries: 3 }, again: false },
  { name: "deadline near", change: { deadline: 5 }, again: false },
  { name: "deadline passed", change: { failure: late }, again: false },
];

for (const { name, change, again } of CASES) {
  test(`${again ? "tries again" : "gives up"}: ${name}`, (t) => {
    const policy = new RetryPolicy(new SeededRandom(1));
    t.is(policy.next(failed(change), 0) !== undefined, again);
  });
}

test("a pool that fails wholly gets a tenth more load, not three times", (t) => {
  // Every endpoint of a pool fails at once. Retries of all requests would keep
  // it down after the cause is gone, and callers would wait longer to fail.
  const policy = new RetryPolicy(new SeededRandom(1));
  const retriesIn = (from: number, seconds: number, perS: number) => {
    let retries = 0;
    for (let i = 0; i < seconds * perS; i++) {
      const now = from + i * 1_000 / perS;
      policy.request(SERVICE, now);
      for (let tries = 1; tries < 3; tries++) {
        const deadline = now + 1_000;
        if (policy.next(failed({ tries, deadline }), now) === undefined) break;
        retries += 1;
      }
    }
    return retries;
  };
  retriesIn(0, 1, 1_000);
  const retries = retriesIn(1_000, 10, 1_000);
  t.true(retries <= 10 * (1_000 * 0.1 + 3) + 1, `${retries} retries`);
});
