import test from "ava";
import { type EndpointId, type Random, SeededRandom } from "../core/mod.ts";
import { RequestPath } from "./testing/request_path.ts";
import { responded, ScriptedSender, shed } from "./testing/scripted_sender.ts";
import { endpoint } from "./testing/traffic_fixtures.ts";

const SEEDS = 200;
const STEPS = 300;
const ENDPOINTS = ["e1", "e2", "e3", "e4"];
const MAX_STEP_MS = 200;
const MAX_RETRY_AFTER_MS = 4_000;

/** What each start of an endpoint has stated so far. */
interface Stated {
  bornAt: number;
  leaving: boolean;
  noneBefore: number;
}

/** Endpoints that refuse, leave, fail and restart at random; one instance. */
class RandomRun {
  readonly violations: string[] = [];
  readonly #random: Random;
  readonly #path: RequestPath;
  readonly #stated = new Map<string, Stated>();

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    for (const id of ENDPOINTS) this.#stated.set(id, fresh(1));
    this.#path = new RequestPath({
      endpoints: ENDPOINTS.map((id) => ({ id: id as EndpointId })),
      sender: new ScriptedSender().answers((id) => this.#respond(id)),
    });
  }

  async run(): Promise<void> {
    for (let i = 0; i < STEPS; i++) {
      this.#disturb(ENDPOINTS[this.#random.below(ENDPOINTS.length)] ?? "");
      const affinityKey = `o${this.#random.below(20)}`;
      await this.#path.send({ affinityKey });
      this.#path.clock.advance(this.#random.below(MAX_STEP_MS));
    }
  }

  #respond(id: string) {
    const stated = this.#stated.get(id)!;
    const now = this.#path.clock.now();
    if (stated.leaving) this.violations.push(`${now} ms: ${id} leaves`);
    if (now < stated.noneBefore) this.violations.push(`${now} ms: ${id} waits`);
    const draw = this.#random.next();
    if (draw < 0.1) return { kind: "unsent", reason: "refused" } as const;
    if (draw < 0.15) return { kind: "unknown", reason: "broken" } as const;
    stated.leaving ||= draw > 0.98;
    const { leaving } = stated;
    if (draw < 0.7) return responded(200, { leaving });
    const ms = this.#random.below(MAX_RETRY_AFTER_MS);
    stated.noneBefore = Math.max(stated.noneBefore, now + ms);
    return shed({ leaving, retryAfter: { kind: "delay", ms } });
  }

  /** An entry is read again, lapses and comes back, or shows a restart. */
  #disturb(id: string): void {
    const { endpoints } = this.#path.state;
    const stated = this.#stated.get(id)!;
    const draw = this.#random.next();
    if (draw < 0.8) return;
    if (draw < 0.9) endpoints.remove(id as EndpointId);
    if (draw > 0.97) this.#stated.set(id, fresh(stated.bornAt + 1));
    const { bornAt } = this.#stated.get(id)!;
    const record = endpoint({ id: id as EndpointId, bornAt });
    endpoints.put(record, this.#path.clock.now());
  }
}

function fresh(bornAt: number): Stated {
  return { bornAt, leaving: false, noneBefore: -Infinity };
}

// Guards against a way around a backoff or a leaving: ejections, retries, entries
// that lapse or are read late.
test("no random run sends to an endpoint that wants no requests", async (t) => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const run = new RandomRun(seed);
    await run.run();
    t.deepEqual(run.violations, [], `seed ${seed}`);
  }
});
