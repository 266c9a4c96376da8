import test from "ava";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stop } from "esbuild";
import { bundleStandalone } from "../bundle/bundle.ts";
import type { ScheduledFault } from "./fault_schedule.ts";
import type { FaultName } from "./faults.ts";
import { mutateSource, type SourceMutation } from "./planted_fault.ts";
import { ProcessSoak } from "./process_soak.ts";

const SECONDS = 20;

// The bundler's child process would keep this process from exiting.
test.after.always(() => void stop());

/** Bundles the program, with the source mutation if one is given. */
async function program(fault?: SourceMutation): Promise<string> {
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-bundle-"));
  const file = join(dir, "magnoliahook.cjs");
  await bundleStandalone(
    file,
    fault === undefined ? [] : [mutateSource(fault)],
  );
  return file;
}

test.serial("processes keep what is promised while faults strike from outside", async (t) => {
  // Guards against foreign responses, duplicate execution and failure to
  // recover while instances are killed, stopped and frozen, links and the store
  // fail, endpoints are replaced and plans change, all at once.
  const soak = new ProcessSoak({
    seed: 3,
    seconds: SECONDS,
    perZone: 1,
    program: await program(),
  });
  const { violations, requests, bulkAnswered, faults } = await soak.run();
  t.deepEqual(violations, []);
  t.true(requests > 0);
  t.true(bulkAnswered > 0);
  t.true(faults > 0);
});

test.serial("an instance that is told to stop twice cuts nothing", async (t) => {
  // Guards against connections closed under running requests when a rollout is
  // restarted midway: instances then receive SIGTERM a second time while they
  // drain their requests.
  const soak = new ProcessSoak({
    seed: 7,
    seconds: SECONDS,
    perZone: 2,
    program: await program(),
    only: ["stop in turn"],
  });
  const { violations } = await soak.run();
  t.deepEqual(violations, []);
});

// Guards against endpoints that work for callers which left while an instance was
// frozen.
test.serial("endpoints get no requests of callers that left while instances were frozen", async (t) => {
  const soak = new ProcessSoak({
    seed: 11,
    seconds: SECONDS,
    perZone: 1,
    program: await program(),
    only: ["freeze"],
  });
  const { violations, left } = await soak.run();
  t.deepEqual(violations, []);
  t.true(left > 0);
});

// Guards against a fleet that exceeds an endpoint's announced rate limit.
test.serial("endpoints in need get no more than the rate they name", async (t) => {
  const soak = new ProcessSoak({
    seed: 5,
    seconds: SECONDS,
    perZone: 2,
    program: await program(),
    only: ["endpoint in need"],
  });
  const { violations, faults } = await soak.run();
  t.deepEqual(violations, []);
  t.true(faults > 0);
});

// Guards against requests to an endpoint that refused one with a Retry-After.
test.serial("endpoints that refuse with a Retry-After get no requests until then", async (t) => {
  const soak = new ProcessSoak({
    seed: 11,
    seconds: SECONDS,
    perZone: 2,
    program: await program(),
    only: ["endpoint backoff"],
  });
  const { violations, faults } = await soak.run();
  t.deepEqual(violations, []);
  t.true(faults > 0);
});

// Guards against new requests to an endpoint that only its responses show to leave.
test.serial("endpoints that announce their leaving get no new work", async (t) => {
  const soak = new ProcessSoak({
    seed: 12,
    seconds: SECONDS,
    perZone: 2,
    program: await program(),
    only: ["endpoint leaving"],
  });
  const { violations, faults } = await soak.run();
  t.deepEqual(violations, []);
  t.true(faults > 0);
});

// Guards against instances that keep refusing callers while they reach no endpoint.
test.serial("callers of instances that are cut off from all endpoints are served", async (t) => {
  const soak = new ProcessSoak({
    seed: 21,
    seconds: SECONDS,
    perZone: 2,
    program: await program(),
    schedule: [
      { name: "cut silent", atMs: 500 },
      { name: "cut reset", atMs: 9_500 },
      { name: "cut live", atMs: 18_500 },
    ],
  });
  const { violations } = await soak.run();
  t.deepEqual(violations, []);
});

const PLANTED: readonly {
  readonly name: string;
  readonly fault: SourceMutation;
  readonly only: readonly FaultName[];
  readonly property: string;
}[] = [
  {
    name: "a request that may have run is sent again",
    fault: {
      file: "request_flow.ts",
      text: "ctx.route.idempotent && this.#takeRetry(ctx, reason)",
      replacement: "this.#takeRetry(ctx, reason)",
    },
    only: ["endpoint answers"],
    property: "what may run once runs once",
  },
  {
    name: "a drain is ignored",
    fault: {
      file: "traffic_state.ts",
      text: "!row.isEnding",
      replacement: "!row.leaving",
    },
    only: ["endpoint drain"],
    property: "an endpoint that leaves gets no new work",
  },
  {
    name: "what others admit is not counted",
    fault: {
      file: "fleet_bucket.ts",
      text: "this.#spend(Math.max(0, report.admitted - from), now);",
      replacement: "void from;",
    },
    only: ["plan"],
    property: "no account passes its rate",
  },
];

const STOPS: readonly ScheduledFault[] = [
  { name: "stop in turn", atMs: 500 },
  { name: "stop in turn", atMs: 5_500 },
];

/** Defects that only uploads, pipelined requests or slow endpoints show. */
const PLANTED_FOR_BULK: readonly {
  readonly name: string;
  readonly fault: SourceMutation;
  readonly schedule: readonly ScheduledFault[];
  readonly property: string;
}[] = [
  {
    name: "an upload loses its last block",
    fault: {
      file: "body_blocks.ts",
      text: "return this.#blocks;",
      replacement: "return this.#blocks.slice(0, -1);",
    },
    schedule: [],
    property: "a caller gets its own whole answer",
  },
  {
    name: "a response closes the connection before those of forwarded requests",
    fault: {
      file: "caller_connection.ts",
      text: "behind.some(({ isTaken }) => isTaken)",
      replacement: "behind.length < 0",
    },
    schedule: STOPS,
    property: "what is behind a response that closes does not run",
  },
  {
    name: "a stop does not wait for slow endpoints",
    fault: {
      file: "stop_plan.ts",
      text: `stopListeningMs: graceMs * LISTENING_SHARE,
    forceCloseMs: Math.max(0, graceMs - EXIT_MARGIN_MS),`,
      replacement: `stopListeningMs: graceMs * 0.05,
    forceCloseMs: graceMs * 0.05 + EXIT_MARGIN_MS,`,
    },
    schedule: STOPS,
    property: "a planned stop cuts no request",
  },
];

for (const { name, fault, schedule, property } of PLANTED_FOR_BULK) {
  test.serial(`the soak finds it where ${name}`, async (t) => {
    // A check that misses this defect would miss it in the program too.
    const soak = new ProcessSoak({
      seed: 4,
      seconds: SECONDS,
      perZone: 1,
      program: await program(fault),
      schedule,
    });
    const { violations } = await soak.run();
    t.true(
      violations.some((v) =>
        v.property === property && v.detail.includes('"account":"bulk"')
      ),
    );
  });
}

for (const { name, fault, only, property } of PLANTED) {
  test.serial(`the soak finds it where ${name}`, async (t) => {
    // A check that misses this defect would miss it in the program too.
    const soak = new ProcessSoak({
      seed: 4,
      seconds: SECONDS,
      perZone: 2,
      program: await program(fault),
      only,
    });
    const { violations } = await soak.run();
    t.true(violations.some((v) => v.property === property));
  });
}
