import test from "ava";
import { type EndpointId, SeededRandom } from "../core/mod.ts";
import { ReplicaSetPlacement } from "../decisions/placement/mod.ts";
import { outcomeOf, RequestPath } from "./testing/request_path.ts";

const ENDPOINTS = Array.from(
  { length: 12 },
  (_, i) => ({ id: `e${i}` as EndpointId, slots: 4 }),
);

/** A path with replica sets. */
function pathWithSets(): RequestPath {
  const placement = new ReplicaSetPlacement({ random: new SeededRandom(1) });
  return new RequestPath({ endpoints: ENDPOINTS, placement });
}

test("an endpoint with an idle connection is preferred among the members of a set", async (t) => {
  // Each new connection costs a round trip and processor time at both ends.
  const path = pathWithSets();
  await path.send();
  const [first] = path.sender.sent;
  path.sender.idle.add(first!.endpoint);
  for (let i = 0; i < 10; i++) await path.send();
  const used = new Set(path.sender.sent.map(({ endpoint }) => endpoint));
  t.deepEqual([...used], [first!.endpoint]);
});

test("a request that would be late at every endpoint is refused at once", async (t) => {
  // Queued, it would hold a slot for a response that its caller does not get.
  const path = pathWithSets();
  for (const row of path.state.endpoints.rows()) row.peersInFlight = 7;
  const early = await path.send({ clientTimeoutMs: 150 });
  t.is(outcomeOf(early), "no_capacity not-run");
  t.true(early.kind === "refusal" && (early.failure.retryAfterMs ?? 0) >= 20);
  t.is(path.sender.sent.length, 0);
  t.is(outcomeOf(await path.send({ clientTimeoutMs: 1_500 })), "answer 200");
});

test("choices are counted by their reason", async (t) => {
  const path = pathWithSets();
  const reasons: unknown[] = [];
  path.metrics.count = (name, tags) => {
    if (name === "endpoint.chosen") reasons.push(tags);
  };
  const service = "s";
  for (const load of [0, 6, 20]) {
    for (const row of path.state.endpoints.rows()) row.peersInFlight = load;
    await path.send();
  }
  t.deepEqual(reasons, [
    { service, reason: "replica" },
    { service, reason: "replica-queue" },
    { service, reason: "none" },
  ]);
});
