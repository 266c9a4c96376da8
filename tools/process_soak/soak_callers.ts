/**
 * The callers of a soak, which never rest.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { FakeCaller } from "../../platform/testing/fake_caller.ts";
import type { Random } from "../../src/core/mod.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type { Promises, SentAttempt } from "./promises.ts";
import { HOST, type SoakOperators } from "./soak_operators.ts";

const CALLERS = 12;
const BETWEEN_REQUESTS_MS = 15;
const CLIENT_TIMEOUT_MS = 2_000;
const OBJECTS = 40;
/** How often a caller goes to another instance without a reason. */
const MOVE_CHANCE = 0.05;
/** How often a request takes the newest route. */
const NEWEST_CHANCE = 0.15;
const RATE_EXCEEDED = 429;

/** What the callers work with. */
export interface SoakCallersOptions {
  readonly instances: readonly InstanceProcess[];
  readonly operators: SoakOperators;
  readonly promises: Promises;
  readonly random: Random;
}

/** Requests since a moment, and those served as they should be. */
export interface Served {
  of: number;
  well: number;
}

/** Callers of one run. */
export class SoakCallers {
  readonly #opts: SoakCallersOptions;
  #loops: Promise<void>[] = [];
  #requests = 0;
  #served: Served = { of: 0, well: 0 };
  #ended = false;

  constructor(opts: SoakCallersOptions) {
    this.#opts = opts;
  }

  /** Requests sent so far. */
  get requests(): number {
    return this.#requests;
  }

  start(): void {
    this.#loops = Array.from({ length: CALLERS }, (_, i) => this.#call(i));
  }

  /** Counts anew what is served, for as long as `forMs`. */
  async servedIn(forMs: number): Promise<Served> {
    this.#served = { of: 0, well: 0 };
    await sleep(forMs);
    return { ...this.#served };
  }

  /** Resolves once what was sent has ended. */
  async end(): Promise<void> {
    this.#ended = true;
    await Promise.all(this.#loops);
  }

  /** Calls without a break, over a connection that is kept while it lasts. */
  async #call(number: number): Promise<void> {
    const { promises, random } = this.#opts;
    let instance = this.#anyInstance();
    let { life } = instance;
    let caller = new FakeCaller(instance.callerAddress);
    while (!this.#ended) {
      const attempt = this.#attempt(number, instance);
      promises.sent(attempt);
      const result = await caller.send(attempt);
      promises.answered(attempt, result);
      this.#requests++;
      this.#served.of++;
      const fair = result.kind === "not-run" && result.status === RATE_EXCEEDED;
      if (result.kind === "answer" || fair) this.#served.well++;
      const broken = result.kind === "broken" || result.kind === "late" ||
        instance.life !== life;
      if (broken || random.next() < MOVE_CHANCE) {
        await caller.close();
        instance = this.#anyInstance();
        ({ life } = instance);
        caller = new FakeCaller(instance.callerAddress);
      }
      await sleep(BETWEEN_REQUESTS_MS);
    }
    await caller.close();
  }

  #anyInstance(): InstanceProcess {
    const { instances, random } = this.#opts;
    return instances[random.below(instances.length)]!;
  }

  #attempt(number: number, instance: InstanceProcess): SentAttempt {
    const { operators, random } = this.#opts;
    const { large, small, version } = operators;
    const account = random.next() < 0.5 ? large : small;
    const newest = version > 1 && random.next() < NEWEST_CHANCE;
    const idempotent = newest || random.next() < 0.5;
    const since = newest ? version : 1;
    const usual = idempotent ? "reads" : "writes";
    return {
      request: `q${number}-${this.#requests}-${random.hex(4)}`,
      host: HOST,
      path: newest ? `/since${since}/x` : `/${usual}/x`,
      key: account.keys[random.below(account.keys.length)] ?? "",
      object: String(random.below(OBJECTS)),
      idempotent,
      clientTimeoutMs: CLIENT_TIMEOUT_MS,
      account: account.id,
      instance: instance.opts.id,
      life: instance.life,
      sentAt: Date.now(),
      since,
    };
  }
}
