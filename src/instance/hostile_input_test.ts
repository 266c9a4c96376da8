import test from "ava";
import { toBinary } from "@bufbuild/protobuf";
import fc from "fast-check";
import { request } from "undici";
import { type Log, type LogFields, MemoryMetrics } from "../core/mod.ts";
import { BatchSchema } from "../gen/peer_pb.ts";
import { arbitraryMessage } from "./testing/arbitrary_message.ts";
import { startTestInstance, TEST_KEY } from "./testing/test_instance.ts";

const RUNS = { seed: 20_261_202, numRuns: 150 };
const EXCHANGE = "/magnoliahook.peer.v1.PeerService/Exchange";

/** Records the errors thrown by tick tasks. */
class FailureLog implements Log {
  readonly failures: LogFields[] = [];

  event(name: string, fields: LogFields = {}): void {
    if (name === "system_failed") this.failures.push(fields);
  }

  child(): Log {
    return this;
  }
}

function setup() {
  return startTestInstance({
    log: new FailureLog(),
    metrics: new MemoryMetrics(),
  });
}

test.serial("any look-up body gets a response or a structured error", async (t) => {
  const one = await setup();
  t.teardown(() => one.close());
  const body = fc.oneof(
    fc.string(),
    fc.json(),
    fc.anything().map((v) => JSON.stringify({ lookups: [v] })),
    fc.constant(JSON.stringify({ lookups: Array(5_000).fill({}) })),
    fc.constant("[".repeat(50_000)),
    fc.constant(`"${"x".repeat(400_000)}"`),
  );
  await fc.assert(
    fc.asyncProperty(body, async (sent) => {
      const res = await request(`${one.instance.callerUrl}/v1/lookup`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: sent,
      });
      const got = await res.body.json() as Record<string, unknown>;
      t.true([200, 400, 413].includes(res.statusCode), sent.slice(0, 80));
      t.true(res.statusCode === 200 || typeof got["code"] === "string");
    }),
    RUNS,
  );
  t.is((await fetch(`${one.instance.callerUrl}/v1/lookup`)).status, 200);
});

test.serial("any request header values get a response or a structured error", async (t) => {
  const one = await setup();
  t.teardown(() => one.close());
  const value = fc.oneof(
    fc.string({
      unit: fc.constantFrom(..."abc019-./ =,;:\"'{}\u00e9"),
      maxLength: 60,
    }),
    fc.constantFrom("-1", "0", "1e999", "NaN", "Infinity", "999999999999999"),
    fc.string({ maxLength: 400, unit: fc.constant("x") }),
  );
  const headers = fc.record({
    "x-timeout-ms": value,
    "idempotency-key": value,
    "x-magnoliahook-home": value,
    "x-client-account": value,
    "accept-encoding": value,
  }, { requiredKeys: [] });
  const authorization = fc.oneof(value, fc.constant(`Bearer ${TEST_KEY}`));
  await fc.assert(
    fc.asyncProperty(
      headers,
      authorization,
      fc.constantFrom("GET", "POST", "DELETE"),
      async (given, auth, method) => {
        const url = `${one.instance.callerUrl}/services/mapview/x`;
        const res = await request(url, {
          method: method as "GET",
          headers: { ...given, authorization: auth },
        });
        const text = await res.body.text();
        if (res.statusCode === 200) return;
        const got = JSON.parse(text);
        t.is(typeof got.code, "string");
        t.true(["not-run", "unknown"].includes(got.outcome), text);
      },
    ),
    RUNS,
  );
});

test.serial("any bytes and any batch from a peer leave the instance serving", async (t) => {
  // A peer of a newer version, or another program, connects to the peer listener.
  // Its messages may be refused, but the instance must keep serving.
  const log = new FailureLog();
  const one = await startTestInstance({ log, metrics: new MemoryMetrics() });
  t.teardown(() => one.close());
  const body = fc.oneof(
    fc.uint8Array({ maxLength: 300 }),
    arbitraryMessage(BatchSchema).map((batch) =>
      toBinary(BatchSchema, batch as never)
    ),
  );
  await fc.assert(
    fc.asyncProperty(body, async (sent) => {
      const res = await request(`${one.instance.peerUrl}${EXCHANGE}`, {
        method: "POST",
        headers: {
          "content-type": "application/proto",
          "connect-protocol-version": "1",
        },
        body: sent,
      });
      await res.body.dump();
      t.true(res.statusCode < 600);
      t.not(res.statusCode, 500, "a subsystem threw on a peer's batch");
    }),
    RUNS,
  );
  const lookup = await fetch(`${one.instance.callerUrl}/v1/lookup`);
  t.is(lookup.status, 200);
  t.deepEqual(log.failures, []);
});
