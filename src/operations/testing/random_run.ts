/**
 * A randomised run: callers start and retry operations while instances crash,
 * pause, leave and are partitioned, and messages are lost, late or duplicated.
 *
 * @module
 */
import { fail, SeededRandom, sleep } from "../../core/mod.ts";
import type { RunResult } from "../operations.ts";
import {
  answerOf,
  type Attempt,
  type Delivery,
  FakeFleet,
} from "./fake_fleet.ts";

/** The counts and violations of a run. */
export interface RandomRunReport {
  readonly seed: number;
  readonly steps: number;
  readonly operations: number;
  readonly attempts: number;
  readonly dispatches: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly faults: number;
  readonly violations: readonly string[];
}

interface Operation {
  readonly id: string;
  readonly withoutToken: boolean;
  home: string | undefined;
  round: number;
  uncertain: boolean;
  done: boolean;
  outstanding: Attempt[];
}

const STEP_MS = 60;
const TAKEOVER_MS = 5_000;
const MAX_OPEN = 8;
const ZONES = [["r1", "r1-a"], ["r1", "r1-b"], ["r2", "r2-a"]] as const;

/** Runs `steps` random steps from a seed; stops at the first violation. */
export async function randomRun(
  seed: number,
  steps: number,
): Promise<RandomRunReport> {
  const run = new RandomRun(seed);
  await run.start();
  let step = 0;
  while (step < steps && run.violations.length === 0) {
    await run.step();
    step += 1;
  }
  if (run.violations.length === 0) await run.finish();
  return run.report(seed, step);
}

class RandomRun {
  readonly #random: SeededRandom;
  readonly #fleet: FakeFleet;
  readonly #open: Operation[] = [];
  readonly #deadSince = new Map<string, number>();
  readonly #locations: ReadonlyMap<string, { zone: string; region: string }>;
  #leaving = 0;
  #count = 0;
  #faults = 0;
  #faultRate = 0.02;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.#fleet = new FakeFleet({ seed: seed + 1, zones: ZONES });
    this.#fleet.onMessage = () => this.#delivery();
    this.#fleet.onDispatch = (d) => this.#runAtEndpoint(d.attempt);
    this.#locations = new Map(
      [...this.#fleet.nodes.values()].map(({ name, zone, region }) =>
        [name, { zone, region }] as const
      ),
    );
  }

  get violations(): string[] {
    return this.#fleet.violations();
  }

  async start(): Promise<void> {
    await this.#fleet.advance(1_500);
  }

  async step(): Promise<void> {
    const roll = this.#random.next();
    if (roll < 0.45) this.#startOperation();
    else if (roll < 0.85) this.#retry();
    else if (roll < 0.97) this.#injectFault();
    else await this.#fleet.advance(2_000);
    await this.#fleet.advance(STEP_MS);
    this.#handleResults();
    this.#replaceDead();
  }

  /** Removes all faults and lets pending work end. */
  async finish(): Promise<void> {
    this.#faultRate = 0;
    this.#fleet.cuts.clear();
    for (const node of this.#fleet.nodes.values()) node.resume();
    await this.#fleet.advance(10_000);
  }

  report(seed: number, steps: number): RandomRunReport {
    const { attempts, dispatches } = this.#fleet;
    const outcomes = attempts.map((a) =>
      a.result?.isErr() ? a.result.error.outcome : a.result && "answered"
    );
    const count = (outcome: string) =>
      outcomes.filter((o) => o === outcome).length;
    return {
      seed,
      steps,
      operations: this.#count,
      attempts: attempts.length,
      dispatches: dispatches.length,
      answered: count("answered"),
      notRun: count("not-run"),
      unknown: count("unknown"),
      faults: this.#faults,
      violations: this.violations,
    };
  }

  #startOperation(): void {
    const node = this.#randomNode();
    if (node === undefined) return;
    const withoutToken = this.#random.next() < 0.4;
    const home = withoutToken
      ? undefined
      : this.#fleet.node(node).operations.homeTokenOf(
        this.#randomNode() ?? node,
      );
    const op: Operation = {
      id: `op-${this.#count++}`,
      withoutToken: home === undefined,
      home,
      round: 0,
      uncertain: false,
      done: false,
      outstanding: [],
    };
    this.#open.push(op);
    if (this.#open.length > MAX_OPEN) this.#open.shift();
    this.#send(op, node);
  }

  #retry(): void {
    const op = this.#open[this.#random.below(Math.max(1, this.#open.length))];
    const node = this.#randomNode();
    if (op && node) this.#send(op, node);
  }

  #send(op: Operation, node: string): void {
    const home = op.home && op.round > 0 ? `${op.home}~${op.round}` : op.home;
    const maxWaitMs = 100 + this.#random.below(2_000);
    const { id } = op;
    op.outstanding.push(this.#fleet.send(node, { id, home, maxWaitMs }));
  }

  /** Handles results as a caller does; see the caller library. */
  #handleResults(): void {
    for (const op of this.#open) {
      const finished = op.outstanding.filter((a) => a.result !== undefined);
      op.outstanding = op.outstanding.filter((a) => a.result === undefined);
      for (const { result } of finished) {
        if (result === undefined) continue;
        if (result.isOk()) op.done = true;
        else if (result.error.outcome !== "not-run") op.uncertain = true;
      }
      const refusedAtHome = finished.some((a) =>
        a.result?.isErr() && a.result.error.code === "operation_refused"
      );
      if (refusedAtHome && !op.withoutToken && !op.done) this.#switchHome(op);
    }
  }

  #switchHome(op: Operation): void {
    const node = this.#randomNode();
    const home = node && this.#fleet.node(node).operations.homeTokenOf(node);
    if (home === undefined) return;
    op.home = home;
    op.round += 1;
    op.uncertain = false;
    // Attempts still in transit belong to the old home, where nothing runs.
    op.outstanding = [];
  }

  #injectFault(): void {
    this.#faults += 1;
    const name = this.#randomNode();
    if (name === undefined) return;
    const node = this.#fleet.node(name);
    const faults = [
      () => this.#kill(name),
      () => node.pause(),
      () => this.#resumeAll(),
      () => this.#fleet.cut(name, this.#randomNode() ?? name),
      () => this.#fleet.cuts.clear(),
      () => void this.#leave(name),
      () => {
        this.#faultRate = [0, 0.02, 0.2][this.#random.below(3)] ?? 0;
      },
      () => {
        this.#fleet.platformDown = !this.#fleet.platformDown;
      },
    ];
    faults[this.#random.below(faults.length)]?.();
  }

  #kill(name: string): void {
    this.#fleet.kill(name);
    this.#deadSince.set(name, this.#fleet.clock.now());
  }

  #resumeAll(): void {
    for (const node of this.#fleet.nodes.values()) node.resume();
  }

  /** A planned stop: the records are handed over, then the process ends. */
  async #leave(name: string): Promise<void> {
    if (this.#leaving > 0) return;
    this.#leaving += 1;
    const node = this.#fleet.node(name);
    node.leaving = true;
    await sleep(this.#fleet.clock, 300);
    await node.operations.handOver();
    await sleep(this.#fleet.clock, 300);
    if (this.#fleet.nodes.get(name) === node) this.#kill(name);
    this.#leaving -= 1;
  }

  /** Crashed holders lose their seats and are replaced. */
  #replaceDead(): void {
    const now = this.#fleet.clock.now();
    for (const [name, since] of this.#deadSince) {
      if (now - since < TAKEOVER_MS) continue;
      this.#deadSince.delete(name);
      const home = this.#locations.get(name);
      if (home === undefined) continue;
      const zonePeer = [...this.#locations].find(([n, h]) =>
        n !== name && h.zone === home.zone && this.#fleet.node(n).alive
      )?.[0];
      if (zonePeer) this.#fleet.moveSeats(name, zonePeer);
      this.#fleet.start(name, home);
      if (!zonePeer) this.#fleet.moveSeats(name, name);
    }
  }

  #randomNode(): string | undefined {
    const up = [...this.#fleet.nodes.values()]
      .filter((n) => n.alive && !n.paused);
    return up[this.#random.below(Math.max(1, up.length))]?.name;
  }

  #delivery(): Delivery {
    const deliveries: Delivery[] = ["lose", "repeat", "late"];
    if (this.#random.next() >= this.#faultRate) return "deliver";
    this.#faults += 1;
    return deliveries[this.#random.below(deliveries.length)] ?? "deliver";
  }

  async #runAtEndpoint(attempt: number): Promise<RunResult> {
    const roll = this.#random.next();
    await sleep(this.#fleet.clock, 10 + this.#random.below(300));
    if (roll < 0.8) return answerOf(attempt);
    if (roll < 0.9) {
      return fail("endpoint_failed", "shed", { outcome: "not-run" });
    }
    return fail("endpoint_failed", "broke off", { outcome: "unknown" });
  }
}
