/**
 * Callers of a soak that give up early, and the requests of theirs that reach
 * endpoints later.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { FakeCaller } from "../../platform/testing/fake_caller.ts";
import type { Random } from "../../src/core/mod.ts";
import { LATE_MS } from "../standins/departing_callers.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type {
  Disturbances,
  PropertyChecker,
  SentAttempt,
} from "./property_checker.ts";
import { buildAttempt } from "./soak_attempt.ts";
import type { SoakOperators } from "./soak_operators.ts";

const LEAVERS = 6;
const THINK_TIME_MS = 60;
/** How long a caller waits at most, less than it says. */
const MAX_PATIENCE_MS = 400;
/** Late requests that are tolerated in a run. */
const MAX_LATE = 3;

/** Dependencies of the callers. */
export interface EarlyLeaversOptions {
  readonly instances: readonly InstanceProcess[];
  readonly operators: () => SoakOperators;
  readonly checker: PropertyChecker;
  readonly disturbances: Pick<Disturbances, "endpoint" | "cutUntil">;
  readonly random: Random;
  /** How late this process reads, in milliseconds. */
  readonly lagMs: () => number;
}

/** A request whose caller left. */
interface Departed {
  readonly instance: string;
  readonly at: number;
}

/** The callers of one run; each request has a connection of its own. */
export class EarlyLeavers {
  readonly #opts: EarlyLeaversOptions;
  readonly #departed = new Map<string, Departed>();
  #loops: Promise<void>[] = [];
  #sent = 0;
  #left = 0;
  #late = 0;
  #ended = false;

  constructor(opts: EarlyLeaversOptions) {
    this.#opts = opts;
  }

  /** Requests whose callers left before the response. */
  get left(): number {
    return this.#left;
  }

  /** Requests that reached an endpoint too late after that. */
  get late(): number {
    return this.#late;
  }

  start(): void {
    this.#loops = Array.from({ length: LEAVERS }, () => this.#run());
  }

  async end(): Promise<void> {
    this.#ended = true;
    await Promise.all(this.#loops);
  }

  /** Checks a request that arrives at an endpoint. */
  arrived(endpoint: string, request: string): void {
    const departed = this.#departed.get(request);
    if (departed === undefined) return;
    const { checker, disturbances, lagMs } = this.#opts;
    // What this process reads late may have arrived earlier.
    const arrivedAt = Date.now() - lagMs();
    if (arrivedAt <= departed.at + LATE_MS) return;
    const isHeldUp = disturbances.endpoint(endpoint) >= departed.at - LATE_MS ||
      disturbances.cutUntil(departed.instance) >= departed.at - LATE_MS;
    if (isHeldUp) return;
    this.#late++;
    if (this.#late <= MAX_LATE) return;
    checker.violate("endpoints get no requests of callers that left", request);
  }

  async #run(): Promise<void> {
    const { checker, instances, random } = this.#opts;
    while (!this.#ended) {
      const instance = instances[random.below(instances.length)]!;
      const attempt = this.#buildAttempt(instance);
      checker.sent(attempt);
      const caller = new FakeCaller(instance.callerAddress);
      const result = await caller.send(attempt, {
        patienceMs: random.below(MAX_PATIENCE_MS),
      });
      if (result.kind === "late") {
        this.#left++;
        this.#departed.set(attempt.request, {
          instance: instance.opts.id,
          at: Date.now(),
        });
      }
      await caller.close();
      await sleep(THINK_TIME_MS);
    }
  }

  #buildAttempt(instance: InstanceProcess): SentAttempt {
    const { operators, random } = this.#opts;
    const idempotent = random.next() < 0.5;
    return buildAttempt(operators().large, instance, {
      name: `left${this.#sent++}`,
      path: idempotent ? "/reads/x" : "/writes/x",
      idempotent,
      since: 1,
      random,
    });
  }
}
