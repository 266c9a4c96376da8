/**
 * A service whose callers send at rates that do not depend on what they get. For
 * some seconds its endpoints refuse nearly everything, so that retry budgets are
 * used up. One burst of requests ends shortly after they begin to refuse, another
 * one falls into the second half of the budget's window from then on.
 *
 * @module
 */
import { FakeCaller } from "../../platform/testing/fake_caller.ts";
import { FakeEndpoint } from "../../platform/testing/fake_endpoint.ts";
import type { Random } from "../../src/core/mod.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type { PropertyChecker } from "./property_checker.ts";
import { RepeatChecker } from "./repeat_checker.ts";
import { buildAttempt } from "./soak_attempt.ts";
import { type SoakOperators, STEADY_SERVICE } from "./soak_operators.ts";
import { TcpProxy } from "./tcp_proxy.ts";

const ENDPOINTS = 4;
const SLOTS = 40;
const WORK_MS = 40;
const REQUESTS_PER_S = 40;
const MS_PER_S = 1_000;
/** When endpoints refuse, from the first request on, and how many of them. */
const REFUSE_AFTER_MS = 6_000;
const REFUSE_FOR_MS = 9_500;
const REFUSE_PERIOD_MS = 18_000;
const REFUSED_FRACTION = 0.9;
/** Requests in a burst, relative to the time between bursts. */
const BURST_FACTOR = 4;
const BURST_MS = 4_500;
/** When the first burst ends and the second begins, from the first refusal on. */
const FIRST_BURST_END_MS = 300;
const SECOND_BURST_MS = 5_000;

/** Dependencies of the service. */
export interface SteadyServiceOptions {
  readonly instances: readonly InstanceProcess[];
  readonly operators: () => SoakOperators;
  readonly checker: PropertyChecker;
  readonly random: Random;
  /** Writes the entry of an endpoint to the store. */
  readonly register: (endpoint: FakeEndpoint, link: TcpProxy) => void;
}

/** A caller's connection that carries no request. */
interface IdleConnection {
  readonly caller: FakeCaller;
  readonly life: number;
}

/** The endpoints and callers of the service. */
export class SteadyService {
  readonly links: TcpProxy[] = [];
  readonly #opts: SteadyServiceOptions;
  readonly #repeats: RepeatChecker;
  readonly #endpoints: FakeEndpoint[] = [];
  readonly #idle = new Map<InstanceProcess, IdleConnection[]>();
  readonly #pending = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #startedAt = 0;
  #sent = 0;

  constructor(opts: SteadyServiceOptions) {
    this.#opts = opts;
    this.#repeats = new RepeatChecker((request) =>
      opts.checker.violate(
        "a service gets no more repeats than the retry budget",
        request,
      )
    );
  }

  /** Fullest window of repeats, as a fraction of what it may hold. */
  get fullestWindow(): number {
    return this.#repeats.fullest;
  }

  /** Opens the endpoints. */
  async open(): Promise<void> {
    const { checker, random, register } = this.#opts;
    for (let i = 0; i < ENDPOINTS; i++) {
      const endpoint = await FakeEndpoint.listen({
        id: `steady${i}`,
        service: STEADY_SERVICE,
        zone: ["a1", "a2", "b1"][i % 3]!,
        slots: SLOTS,
        workMs: WORK_MS,
        random: () => random.next(),
        onRun: (run) => checker.requestStarted(run),
        onArrival: ({ request }) => this.#repeats.arrived(request, Date.now()),
      });
      const link = await TcpProxy.listen(endpoint.port);
      this.#endpoints.push(endpoint);
      this.links.push(link);
      register(endpoint, link);
    }
  }

  /** Starts the callers. */
  start(): void {
    this.#startedAt = Date.now();
    this.#timer = setInterval(() => this.#tick(), MS_PER_S / REQUESTS_PER_S);
  }

  /** Stops the callers; resolves once all requests have ended. */
  async end(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
  }

  async close(): Promise<void> {
    for (const idle of this.#idle.values()) {
      await Promise.all(idle.map(({ caller }) => caller.close()));
    }
    await Promise.all(this.links.map((link) => link.close()));
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.close()));
  }

  #tick(): void {
    const sinceRefusalMs = this.#sinceRefusalMs();
    const refuses = sinceRefusalMs >= 0 && sinceRefusalMs < REFUSE_FOR_MS;
    for (const { faults } of this.#endpoints) {
      faults.refuse = refuses ? REFUSED_FRACTION : 0;
    }
    const requests = isInBurst(sinceRefusalMs) ? BURST_FACTOR : 1;
    for (let i = 0; i < requests; i++) {
      const request = this.#send();
      this.#pending.add(request);
      void request.finally(() => this.#pending.delete(request));
    }
  }

  /** Time since endpoints last began to refuse; before the first time negative. */
  #sinceRefusalMs(): number {
    const ageMs = Date.now() - this.#startedAt;
    return (ageMs - REFUSE_AFTER_MS) % REFUSE_PERIOD_MS;
  }

  async #send(): Promise<void> {
    const { instances, operators, checker, random } = this.#opts;
    const instance = instances[random.below(instances.length)]!;
    const { life } = instance;
    const attempt = buildAttempt(operators().steady, instance, {
      name: `steady${this.#sent++}`,
      path: "/steady/x",
      idempotent: true,
      since: 1,
      random,
    });
    checker.sent(attempt);
    this.#repeats.sent(attempt.sentAt);
    const caller = this.#takeIdle(instance) ??
      new FakeCaller(instance.callerAddress);
    const result = await caller.send(attempt);
    checker.answered(attempt, result);
    const isReusable = result.kind === "answer" || result.kind === "not-run";
    if (!isReusable) return await caller.close();
    this.#idleOf(instance).push({ caller, life });
  }

  /** A connection to the running process of an instance. */
  #takeIdle(instance: InstanceProcess): FakeCaller | undefined {
    const idle = this.#idleOf(instance);
    for (let next = idle.shift(); next; next = idle.shift()) {
      if (next.life === instance.life) return next.caller;
      void next.caller.close();
    }
    return undefined;
  }

  #idleOf(instance: InstanceProcess): IdleConnection[] {
    const idle = this.#idle.get(instance) ?? [];
    this.#idle.set(instance, idle);
    return idle;
  }
}

/** Whether a burst lasts at a time relative to the last first refusal. */
function isInBurst(sinceRefusalMs: number): boolean {
  const burstEnds = [
    FIRST_BURST_END_MS,
    SECOND_BURST_MS + BURST_MS,
    FIRST_BURST_END_MS + REFUSE_PERIOD_MS,
  ];
  return burstEnds.some((end) =>
    sinceRefusalMs >= end - BURST_MS && sinceRefusalMs < end
  );
}
