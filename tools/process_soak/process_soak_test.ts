import test from "ava";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stop } from "esbuild";
import { bundleStandalone } from "../bundle/bundle.ts";
import type { FaultName } from "./faults.ts";
import { planted, type PlantedFault } from "./planted_fault.ts";
import { ProcessSoak } from "./process_soak.ts";

const SECONDS = 20;

// The bundler's own process would keep this one from its end.
test.after.always(() => void stop());

/** Bundles the program, with a mistake if one is given. */
async function program(fault?: PlantedFault): Promise<string> {
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-bundle-"));
  const file = join(dir, "magnoliahook.cjs");
  await bundleStandalone(file, fault === undefined ? [] : [planted(fault)]);
  return file;
}

test.serial("processes keep what is promised while faults strike from outside", async (t) => {
  // Instances are killed, stopped and frozen, links are cut, the store fails,
  // endpoints come and go, plans change, all at once. No caller gets another's
  // answer, nothing runs twice, and all is served again once it is over.
  const soak = new ProcessSoak({
    seed: 3,
    seconds: SECONDS,
    perZone: 1,
    program: await program(),
  });
  const { violations, requests, faults } = await soak.run();
  t.deepEqual(violations, []);
  t.true(requests > 0);
  t.true(faults > 0);
});

test.serial("an instance that is told to stop twice cuts nothing", async (t) => {
  // A roll-out is begun anew while it is under way, so that instances get the
  // signal a second time while they let their requests end. Callers whose
  // requests run see their connections close.
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

// Guards against instances that pass together the rate that an endpoint names.
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

const PLANTED: readonly {
  readonly name: string;
  readonly fault: PlantedFault;
  readonly only: readonly FaultName[];
  readonly property: string;
}[] = [
  {
    name: "a request that may have run is sent again",
    fault: {
      file: "request_flow.ts",
      text: "ctx.route.idempotent && this.#takeRetry(ctx)",
      instead: "this.#takeRetry(ctx)",
    },
    only: ["endpoint answers"],
    property: "what may run once runs once",
  },
  {
    name: "a drain is ignored",
    fault: {
      file: "traffic_state.ts",
      text: "!row.record.draining && ",
      instead: "",
    },
    only: ["endpoint drain"],
    property: "an endpoint that leaves gets no new work",
  },
  {
    name: "what others admit is not counted",
    fault: {
      file: "fleet_bucket.ts",
      text: "this.#spend(Math.max(0, report.admitted - from), now);",
      instead: "void from;",
    },
    only: ["plan"],
    property: "no account passes its rate",
  },
];

for (const { name, fault, only, property } of PLANTED) {
  test.serial(`the soak finds it where ${name}`, async (t) => {
    // A check that lets this pass would let the same mistake pass in the
    // program.
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
