import test from "ava";
import { failure, SeededRandom, type ServiceId } from "../../core/mod.ts";
import { type FailedAttempt, RetryPolicy } from "./retry_policy.ts";

const SERVICE = "s" as ServiceId;

function failed(change: Partial<FailedAttempt> = {}): FailedAttempt {
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
  { name: "idempotent, outcome unknown", change: {}, retried: true },
  { name: "not idempotent", change: { idempotent: false }, retried: false },
  {
    name: "not idempotent but certainly not run",
    change: { idempotent: false, failure: notRun },
    retried: true,
  },
  { name: "body already sent", change: { replayable: false }, retried: false },
  { name: "third attempt failed", change: { tries: 3 }, retried: false },
  { name: "deadline near", change: { deadline: 5 }, retried: false },
  { name: "deadline passed", change: { failure: late }, retried: false },
];

for (const { name, change, retried } of CASES) {
  test(`${retried ? "retries" : "does not retry"}: ${name}`, (t) => {
    const policy = new RetryPolicy(new SeededRandom(1));
    t.is(policy.nextBackoffMs(failed(change), 0) !== undefined, retried);
  });
}

test("retries add a tenth to the load of a pool that fails, not twice the load", (t) => {
  // Every endpoint of a pool fails at once. Guards against retries of all
  // requests, which keep the pool down after the cause is gone.
  const policy = new RetryPolicy(new SeededRandom(1));
  const retriesIn = (from: number, seconds: number, perS: number) => {
    let retries = 0;
    for (let i = 0; i < seconds * perS; i++) {
      const now = from + i * 1_000 / perS;
      policy.request(SERVICE, now);
      for (let tries = 1; tries < 3; tries++) {
        const deadline = now + 1_000;
        if (
          policy.nextBackoffMs(failed({ tries, deadline }), now) === undefined
        ) break;
        retries += 1;
      }
    }
    return retries;
  };
  retriesIn(0, 1, 1_000);
  const retries = retriesIn(1_000, 10, 1_000);
  t.true(retries <= 10 * (1_000 * 0.1 + 3) + 1, `${retries} retries`);
});
