/**
 * The closed-loop load generator of a soak.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { FakeCaller } from "../../platform/testing/fake_caller.ts";
import type { Random } from "../../src/core/mod.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type { PropertyChecker, SentAttempt } from "./property_checker.ts";
import { buildAttempt } from "./soak_attempt.ts";
import type { SoakOperators } from "./soak_operators.ts";

/** Concurrent callers by default. */
export const DEFAULT_CALLERS = 12;
const THINK_TIME_MS = 15;
/** Probability of reconnecting to a random instance after a response. */
const RECONNECT_CHANCE = 0.05;
/** Probability that a request uses the newest route. */
const NEWEST_ROUTE_CHANCE = 0.15;
const RATE_EXCEEDED = 429;
const REGIONS = ["east", "west"];
/** How long callers use an address list; some use it longer. */
const DIRECTORY_TTL_MS = 1_000;
const LONG_CACHING_EVERY = 4;
const LONG_CACHING_FACTOR = 3;

/** Dependencies of the callers. */
export interface SoakCallersOptions {
  readonly instances: readonly InstanceProcess[];
  readonly operators: SoakOperators;
  readonly checker: PropertyChecker;
  readonly random: Random;
  readonly callers: number;
  /** Whether callers use the addresses that the directory lists. */
  readonly useDirectory: boolean;
}

/** Requests in a window, and those of them answered or rate limited. */
export interface RequestCounts {
  total: number;
  succeeded: number;
}

/** The addresses that a caller may use, and when it asks for new ones. */
interface AddressList {
  addresses: readonly string[];
  validUntil: number;
}

/** The callers of one run. */
export class SoakCallers {
  readonly #opts: SoakCallersOptions;
  #loops: Promise<void>[] = [];
  #requests = 0;
  #counts: RequestCounts = { total: 0, succeeded: 0 };
  #ended = false;

  constructor(opts: SoakCallersOptions) {
    this.#opts = opts;
  }

  /** Requests sent so far. */
  get requests(): number {
    return this.#requests;
  }

  start(): void {
    const { callers: length } = this.#opts;
    this.#loops = Array.from({ length }, (_, i) => this.#runCaller(i));
  }

  /** Resets the counts and returns those of the next `forMs`. */
  async measure(forMs: number): Promise<RequestCounts> {
    this.#counts = { total: 0, succeeded: 0 };
    await sleep(forMs);
    return { ...this.#counts };
  }

  /** Stops the callers; resolves once all requests have ended. */
  async end(): Promise<void> {
    this.#ended = true;
    await Promise.all(this.#loops);
  }

  /** Sends requests one after another over a persistent connection. */
  async #runCaller(number: number): Promise<void> {
    const { checker, random } = this.#opts;
    const list: AddressList = { addresses: [], validUntil: 0 };
    let instance = await this.#selectInstance(number, list);
    let { life } = instance;
    let caller = new FakeCaller(instance.callerAddress);
    while (!this.#ended) {
      const attempt = this.#buildAttempt(number, instance);
      checker.sent(attempt);
      const result = await caller.send(attempt);
      checker.answered(attempt, result);
      this.#requests++;
      this.#counts.total++;
      const rateLimited = result.kind === "not-run" &&
        result.status === RATE_EXCEEDED;
      if (result.kind === "answer" || rateLimited) this.#counts.succeeded++;
      const broken = result.kind === "broken" || result.kind === "late" ||
        instance.life !== life || !await this.#isListed(instance, number, list);
      if (broken || random.next() < RECONNECT_CHANCE) {
        await caller.close();
        instance = await this.#selectInstance(number, list);
        ({ life } = instance);
        caller = new FakeCaller(instance.callerAddress);
      }
      await sleep(THINK_TIME_MS);
    }
    await caller.close();
  }

  async #selectInstance(
    caller: number,
    list: AddressList,
  ): Promise<InstanceProcess> {
    const { instances, random } = this.#opts;
    await this.#refresh(caller, list);
    const listed = instances.filter((i) =>
      list.addresses.includes(i.callerAddress)
    );
    const from = listed.length > 0 ? listed : instances;
    return from[random.below(from.length)]!;
  }

  async #isListed(
    instance: InstanceProcess,
    caller: number,
    list: AddressList,
  ): Promise<boolean> {
    await this.#refresh(caller, list);
    return list.addresses.length === 0 ||
      list.addresses.includes(instance.callerAddress);
  }

  /** Asks for new addresses when the caller's own are out of date. */
  async #refresh(caller: number, list: AddressList): Promise<void> {
    const { instances, random, useDirectory } = this.#opts;
    if (!useDirectory || Date.now() < list.validUntil) return;
    const asked = instances[random.below(instances.length)]!;
    const region = REGIONS[caller % REGIONS.length] ?? "";
    const addresses = await asked.directory(region);
    if (addresses.length > 0) list.addresses = addresses;
    const factor = caller % LONG_CACHING_EVERY === 0 ? LONG_CACHING_FACTOR : 1;
    list.validUntil = Date.now() + DIRECTORY_TTL_MS * factor;
  }

  #buildAttempt(number: number, instance: InstanceProcess): SentAttempt {
    const { operators, random } = this.#opts;
    const { large, small, version } = operators;
    const account = random.next() < 0.5 ? large : small;
    const newest = version > 1 && random.next() < NEWEST_ROUTE_CHANCE;
    const idempotent = newest || random.next() < 0.5;
    const since = newest ? version : 1;
    const service = idempotent ? "reads" : "writes";
    return buildAttempt(account, instance, {
      name: `q${number}-${this.#requests}`,
      path: newest ? `/since${since}/x` : `/${service}/x`,
      idempotent,
      since,
      random,
    });
  }
}
