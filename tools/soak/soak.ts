/**
 * One long randomised run, and the search for a smaller set of faults that
 * still makes it fail.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { SeededRandom } from "../../src/core/mod.ts";
import { sha256 } from "../../src/document/mod.ts";
import type { ComponentOverrides } from "../../src/instance/mod.ts";
import { inject } from "./inject.ts";
import { type Attempt, SoakChecks, type Violation } from "./soak_checks.ts";
import { ACCOUNTS, keyOf, ZONES } from "./soak_document.ts";
import { type SoakNode, SoakWorld } from "./soak_world.ts";

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly steps: number;
  /** Component overrides, used to check that an injected defect is detected. */
  readonly parts?: ComponentOverrides;
  /** Kinds of fault to skip, to shorten a trace. */
  readonly without?: ReadonlySet<string>;
  /** Faults by step, replacing the random schedule. */
  readonly script?: ReadonlyMap<number, readonly FaultKind[]>;
}

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly steps: number;
  readonly operations: number;
  readonly answered: number;
  readonly notRun: number;
  readonly faults: number;
  readonly violations: readonly Violation[];
  /** Injected faults, in order. */
  readonly trace: readonly string[];
}

const WARM_UP_STEPS = 80;
const REQUESTS_PER_STEP = 3;
const FAULT_CHANCE = 0.03;
const REPAIR_CHANCE = 0.2;
const RETRY_CHANCE = 0.3;
const MAX_BODY_BYTES = 2_000;
const MAX_INSTANCES_PER_ZONE = 3;

/** Kinds of fault, in the order in which `shortenTrace` tries to omit them. */
export const FAULTS = [
  "kill",
  "region dies",
  "measurements stop",
  "pause",
  "cut",
  "one-way cut",
  "store down",
  "store loses answers",
  "store stale",
  "messages dropped",
  "answers lost",
  "stop",
  "withdraw",
  "drain",
  "race",
  "mend",
] as const;

/** A kind of fault. */
export type FaultKind = typeof FAULTS[number];

/** Runs until all steps are done or a property is violated. */
export async function soak(opts: SoakOptions): Promise<SoakResult> {
  const run = new SoakRun(opts);
  return await run.run();
}

class SoakRun {
  readonly #opts: SoakOptions;
  readonly #world: SoakWorld;
  readonly #checks: SoakChecks;
  readonly #random: SeededRandom;
  readonly #trace: string[] = [];
  readonly #keys = new Map(Object.keys(ACCOUNTS).map((a) => [a, 0]));
  readonly #retries: Attempt[] = [];
  #operations = 0;
  #step = 0;
  #faults = 0;
  #answered = 0;
  #notRun = 0;

  constructor(opts: SoakOptions) {
    this.#opts = opts;
    this.#world = new SoakWorld(opts.seed, opts.parts);
    this.#checks = new SoakChecks(this.#world);
    this.#random = new SeededRandom(opts.seed + 1);
  }

  async run(): Promise<SoakResult> {
    await this.#world.open();
    this.#checks.accepted(1);
    for (let i = 0; i < WARM_UP_STEPS; i++) await this.#world.step();
    const violations: Violation[] = [];
    while (this.#step < this.#opts.steps && violations.length === 0) {
      this.#step += 1;
      this.#injectFaultsAt(this.#step);
      for (let i = 0; i < REQUESTS_PER_STEP; i++) this.#sendRequest();
      await this.#world.step();
      this.#checks.step();
      violations.push(...this.#checks.takeViolations());
    }
    await this.#world.close();
    return {
      seed: this.#opts.seed,
      steps: this.#step,
      operations: this.#operations,
      answered: this.#answered,
      notRun: this.#notRun,
      faults: this.#faults,
      violations,
      trace: this.#trace,
    };
  }

  #pick<T>(from: readonly T[]): T | undefined {
    return from[this.#random.below(Math.max(1, from.length))];
  }

  /** Sends a new request, or retries an earlier one on any running instance. */
  #sendRequest(): void {
    const node = this.#pick(this.#world.running().filter((n) => !n.stopping));
    if (node === undefined) return;
    const retried = this.#random.next() < RETRY_CHANCE
      ? this.#retries.shift()
      : undefined;
    const account = retried?.account ?? this.#pick(Object.keys(ACCOUNTS)) ?? "";
    const request = `q${this.#operations++}`;
    const writes = retried !== undefined || this.#random.next() < 0.4;
    const attempt: Attempt = {
      request,
      account,
      key: keyOf(account, this.#keys.get(account) ?? 0),
      operation: writes ? retried?.operation ?? `o${request}` : undefined,
      body: retried?.body ??
        (writes ? 1 + this.#random.below(MAX_BODY_BYTES) : 0),
      node: node.name,
      status: undefined,
      outcome: undefined,
      text: "",
      ended: false,
    };
    this.#checks.begin(attempt);
    void this.#send(node, attempt);
  }

  async #send(node: SoakNode, attempt: Attempt): Promise<void> {
    if (node.handlers === undefined) return;
    node.open += 1;
    const writes = attempt.operation !== undefined;
    const answer = await inject(node.handlers.caller, {
      method: writes ? "POST" : "GET",
      url: `/services/${writes ? "writes" : "reads"}/x`,
      headers: {
        authorization: `Bearer ${attempt.key}`,
        "x-request-id": attempt.request,
        ...(attempt.operation ? { "idempotency-key": attempt.operation } : {}),
      },
      body: Buffer.alloc(attempt.body, "x"),
    });
    node.open -= 1;
    if (node.clock.ended) return;
    attempt.status = answer.status;
    attempt.outcome = answer.headers["x-magnoliahook-outcome"];
    attempt.text = Buffer.from(answer.body).toString();
    this.#checks.end(attempt);
    if (answer.status === 200) this.#answered += 1;
    if (attempt.outcome === "not-run") this.#notRun += 1;
    if (writes && answer.status !== 200) this.#retries.push(attempt);
  }

  #injectFaultsAt(step: number): void {
    const { script } = this.#opts;
    const kinds = script?.get(step) ?? [];
    for (const kind of kinds) this.#injectFault(kind);
    if (script === undefined && this.#random.next() < FAULT_CHANCE) {
      const repair = this.#random.next() < REPAIR_CHANCE;
      this.#injectFault(repair ? "mend" : this.#pick(FAULTS) ?? "mend");
    }
  }

  #injectFault(kind: FaultKind): void {
    if (this.#opts.without?.has(kind)) return;
    const target = this.#applyFault(kind);
    if (target === undefined) return;
    this.#faults += 1;
    this.#trace.push(`step ${this.#step}: ${kind} ${target}`);
    this.#updateCalmSince();
  }

  #updateCalmSince(): void {
    const { network, nodes, endpoints, clock } = this.#world;
    const faulty = network.cuts.size > 0 || network.faults.drop > 0 ||
      endpoints.faults.lose > 0 ||
      nodes.some((n) =>
        n.clock.paused || n.platform.faults.down > 0 ||
        n.platform.faults.stale > 0 || n.platform.faults.lost > 0
      );
    if (faulty) this.#checks.calmSince = undefined;
    else this.#checks.calmSince ??= clock.now();
  }

  /** Injects a fault or repairs all; returns the target for the trace. */
  #applyFault(kind: FaultKind): string | undefined {
    if (kind === "mend") return this.#repairAll();
    const { network, nodes, endpoints } = this.#world;
    const node = this.#pick(nodes.filter((n) => !n.stopping));
    const other = this.#pick(nodes);
    if (node === undefined || other === undefined) return undefined;
    const { faults } = node.platform;
    switch (kind) {
      case "kill":
        this.#world.kill(node);
        this.#startMissing(node.zone);
        return node.name;
      case "region dies":
        return this.#killRegion();
      case "measurements stop":
        endpoints.faults.probes = 1;
        return "everywhere";
      case "stop":
        return this.#stop(node);
      case "pause":
        if (node.clock.paused) node.clock.resume(() => this.#checks.step());
        else node.clock.pause();
        return node.name;
      case "cut":
        network.cuts.add(`${node.name} ${other.name}`);
        network.cuts.add(`${other.name} ${node.name}`);
        return `${node.name} ${other.name}`;
      case "one-way cut":
        network.cuts.add(`${node.name} ${other.name}`);
        return `${node.name} to ${other.name}`;
      case "store down":
        for (const n of nodes) n.platform.faults.down = 1;
        return "everywhere";
      case "store loses answers":
        faults.lost = 0.5;
        return node.name;
      case "store stale":
        faults.stale = 0.5;
        return node.name;
      case "messages dropped":
        Object.assign(network.faults, { drop: 0.1, repeat: 0.1 });
        return "a tenth";
      case "answers lost":
        endpoints.faults.lose = 0.05;
        return "a twentieth";
      case "withdraw":
        return this.#withdraw();
      case "drain":
        return this.#drain();
      case "race":
        void this.#edit("rates");
        void this.#edit("drains");
        return "rates and drains";
    }
  }

  #repairAll(): string {
    const { network, nodes, endpoints } = this.#world;
    network.cuts.clear();
    Object.assign(network.faults, { drop: 0, repeat: 0 });
    Object.assign(endpoints.faults, { lose: 0, probes: 0 });
    for (const n of nodes) {
      n.clock.resume(() => this.#checks.step());
      Object.assign(n.platform.faults, { down: 0, lost: 0, stale: 0 });
    }
    for (const { zone } of ZONES) {
      this.#startMissing(zone);
      this.#startMissing(zone);
    }
    return "all";
  }

  /** Kills every instance of a region; "mend" starts new ones. */
  #killRegion(): string {
    const region = this.#pick(ZONES)?.region ?? "";
    const zones = ZONES.filter((z) => z.region === region).map((z) => z.zone);
    const there = this.#world.nodes.filter((n) => zones.includes(n.zone));
    for (const node of there) this.#world.kill(node);
    return region;
  }

  #startMissing(zone: string): void {
    const there = this.#world.nodes.filter((n) => n.zone === zone);
    const region = ZONES.find((z) => z.zone === zone)?.region ?? "";
    if (there.length < 2) this.#world.start(zone, region);
  }

  /** Starts a replacement and stops the instance, unless it is paused. */
  #stop(node: SoakNode): string | undefined {
    if (node.instance === undefined || node.clock.paused) return undefined;
    const zonePeers = this.#world.nodes.filter((n) => n.zone === node.zone);
    if (zonePeers.length >= MAX_INSTANCES_PER_ZONE) return undefined;
    const region = ZONES.find((z) => z.zone === node.zone)?.region ?? "";
    this.#world.start(node.zone, region);
    void this.#world.stop(node).then(() => this.#checks.stopped(node));
    return node.name;
  }

  #withdraw(): string {
    const account = this.#pick(Object.keys(ACCOUNTS)) ?? "";
    const number = this.#keys.get(account) ?? 0;
    const keys = [{
      id: `k${number + 1}`,
      sha256: sha256(keyOf(account, number + 1)),
    }];
    this.#world.sections["accounts"].accounts[account].keys = keys;
    void this.#edit("accounts").then((done) => {
      if (done) this.#checks.withdrew(keyOf(account, number));
    });
    this.#keys.set(account, number + 1);
    return keyOf(account, number);
  }

  #drain(): string {
    const service = this.#world.sections["services"].services.reads;
    const endpoint = this.#pick(Object.keys(service.endpoints)) ?? "";
    const drains = [{ kind: "endpoint", id: endpoint }];
    this.#world.sections["drains"] = { drains };
    void this.#edit("drains").then((done) => {
      if (done) this.#checks.drained(endpoint);
    });
    return endpoint;
  }

  async #edit(section: string): Promise<boolean> {
    const generation = await this.#world.publish(section);
    if (generation === undefined) return false;
    this.#checks.accepted(generation);
    return true;
  }
}

/** Omits one kind of fault after another as long as the run still fails. */
export async function shortenTrace(failed: SoakResult, opts: SoakOptions) {
  let best = failed;
  const without = new Set<string>();
  for (const kind of FAULTS) {
    const tried = new Set([...without, kind]);
    const run = await soak({ ...opts, steps: best.steps, without: tried });
    if (run.violations.length === 0) continue;
    without.add(kind);
    if (run.trace.length <= best.trace.length) best = run;
  }
  return best;
}
