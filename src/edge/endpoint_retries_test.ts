import test from "ava";
import { ManualClock, MemoryMetrics, type ServiceId } from "../core/mod.ts";
import { SharedRetryBudget } from "../decisions/retries/mod.ts";
import type { SendResult } from "./endpoint_sender.ts";
import { EndpointRetries } from "./endpoint_retries.ts";
import { RecordedLog } from "./testing/recorded_log.ts";
import { outcomeOf, RequestPath } from "./testing/request_path.ts";
import { ScriptedSender, shed } from "./testing/scripted_sender.ts";

const SERVICE = "s" as ServiceId;

function retriesOfTwo() {
  const clock = new ManualClock();
  const log = new RecordedLog();
  const retries = new EndpointRetries({
    budget: new SharedRetryBudget(
      { ratio: 0.2, slack: 10, windowMs: 10_000 },
      clock.now(),
    ),
    fleetSize: () => 2,
    isFleetKnown: () => false,
    clock,
    log,
    metrics: new MemoryMetrics(),
  });
  return { retries, clock, log };
}

test("retries at a service are logged with its budget and the fleet size, once a second", (t) => {
  const { retries, clock, log } = retriesOfTwo();
  for (let i = 0; i < 100; i++) {
    retries.request(SERVICE);
    if (retries.take(SERVICE, "shed")) {
      retries.arrived(SERVICE, { reason: "shed", decidedAt: clock.now() - i });
    }
    clock.advance(25);
  }
  const lines = log.of("retry_budget_state");
  t.is(lines.length, 3);
  t.like(lines.at(-1)!, {
    service: SERVICE,
    instances: 2,
    sizeKnown: false,
    credit: 0,
  });
  const sum = (field: string) =>
    lines.reduce((total, line) => total + Number(line[field]), 0);
  t.is(sum("taken") + sum("refused"), sum("requests"));
  t.is(sum("taken"), sum("arrived"));
  t.true(sum("taken") > 0 && sum("taken") <= sum("earnedByRequests"));
  t.is(sum("earnedOverTime"), 0);
  t.true(Number(lines.at(-1)!["longestMs"]) >= 40);
});

/** Results of a request whose first attempt ended like this, without a budget. */
async function withoutBudget(first: SendResult): Promise<string> {
  const path = new RequestPath({
    sender: new ScriptedSender(first),
    retries: { ratio: 0, slack: 0, windowMs: 10_000 },
  });
  return outcomeOf(await path.send());
}

// Guards against refusals of requests that no endpoint has received yet.
test("a request that no endpoint received needs no budget for another attempt", async (t) => {
  const result = { kind: "unsent", reason: "refused" } as const;
  t.is(await withoutBudget(result), "answer 200");
});

test("a request that an endpoint received needs budget for another attempt", async (t) => {
  t.is(await withoutBudget(shed()), "no_capacity not-run");
  const lost = { kind: "unknown", reason: "broken" } as const;
  t.is(await withoutBudget(lost), "endpoint_failed unknown");
});

test("an attempt that follows one that was refused counts as a repeat", async (t) => {
  const path = new RequestPath({ sender: new ScriptedSender(shed()) });
  await path.send();
  t.is(path.metrics.counts.get("endpoint.repeats"), 1);
});

test("a first attempt counts as no repeat", async (t) => {
  const path = new RequestPath();
  await path.send();
  t.is(path.metrics.counts.get("endpoint.repeats"), undefined);
});
