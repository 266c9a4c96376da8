/**
 * The invariants of the soak, checked on every step against what endpoints,
 * callers and operators observed.
 *
 * @module
 */
import type { LogFields } from "../../src/core/mod.ts";
import type { EndpointRun } from "./soak_endpoints.ts";
import {
  ACCOUNTS,
  DEADLINE_MS,
  endpointUrl,
  KEY_GRACE_S,
  LINK_BYTES_PER_S,
  SLOTS,
} from "./soak_document.ts";
import type { SoakWorld } from "./soak_world.ts";

/** A violated property. */
export interface Violation {
  readonly property: string;
  readonly detail: string;
}

/** One request attempt of a caller. */
export interface Attempt {
  readonly request: string;
  readonly account: string;
  readonly key: string;
  readonly operation: string | undefined;
  readonly body: number;
  readonly node: string;
  status: number | undefined;
  outcome: string | undefined;
  text: string;
  ended: boolean;
}

const SETTLE_MS = 6_000;
const MS_PER_S = 1_000;
/** Allowed excess over a link's cap in a second: a body counts at once. */
const LINK_SLACK = 1.5;

interface Bucket {
  tokens: number;
  at: number;
}

/** Records observations and checks them against the invariants. */
export class SoakChecks {
  readonly #world: SoakWorld;
  readonly #violations: Violation[] = [];
  readonly #runs = new Map<string, EndpointRun[]>();
  readonly #operations = new Map<string, number>();
  readonly #attempts = new Map<string, Attempt>();
  readonly #buckets = new Map<string, Bucket>();
  readonly #generations = new Map<string, number>();
  readonly #withdrawn = new Map<string, number>();
  readonly #drained = new Map<string, number>();
  readonly #linkBytes = new Map<string, number>();
  #generation = 0;
  #acceptedAt = 0;
  /** Time since which no fault is active; undefined while one is. */
  calmSince: number | undefined = 0;

  constructor(world: SoakWorld) {
    this.#world = world;
    world.endpoints.onRun = (run) => this.#onRun(run);
    world.onEvent = (name, fields) => this.#onEvent(name, fields);
    world.endpoints.onForward = (from, url, bytes) =>
      this.#onForward(from.name, url, bytes);
  }

  /** Returns and clears the violations found since the last call. */
  takeViolations(): Violation[] {
    return this.#violations.splice(0);
  }

  begin(attempt: Attempt): void {
    this.#attempts.set(attempt.request, attempt);
  }

  /** Checks an attempt that ended in a response, a refusal or a failure. */
  end(attempt: Attempt): void {
    attempt.ended = true;
    const ran = this.#runs.has(attempt.request);
    const { request, status, outcome, text, body } = attempt;
    if (outcome === "not-run" && ran) {
      const runs = JSON.stringify(this.#runs.get(request));
      this.#add(
        "a refusal that says not run is true",
        `${request} ran: ${runs}, refused by ${attempt.node}: ${text}`,
      );
    }
    if (status === 200 && outcome === undefined) {
      const matches = attempt.operation === undefined
        ? text === `${request} ${body}`
        : text.endsWith(` ${body}`) && text.length > 0;
      if (!matches) {
        this.#add(
          "every caller gets its own whole answer",
          `${request} got "${text}"`,
        );
      }
    }
  }

  accepted(generation: number): void {
    this.#generation = generation;
    this.#acceptedAt = this.#world.clock.now();
  }

  withdrew(key: string): void {
    this.#withdrawn.set(key, this.#world.clock.now());
  }

  drained(endpoint: string | undefined): void {
    this.#drained.clear();
    if (endpoint !== undefined) {
      this.#drained.set(endpointUrl(endpoint), this.#world.clock.now());
    }
  }

  /** Checks that a graceful stop left no attempt unfinished. */
  stopped(node: { name: string; open: number }): void {
    const cut = [...this.#attempts.values()].filter((a) =>
      a.node === node.name && !a.ended
    );
    if (cut.length > 0) {
      this.#add(
        "a planned stop cuts no request",
        `${cut[0]?.request} at ${node.name}`,
      );
    }
  }

  /** Checks the invariants that can be evaluated at any time. */
  step(): void {
    for (const [url, n] of this.#world.endpoints.inFlight) {
      if (n > SLOTS) {
        this.#add("no region is overloaded", `${url} runs ${n} of ${SLOTS}`);
      }
    }
    this.#checkSeats();
    this.#checkGenerations();
    for (const [link, bytes] of this.#linkBytes) {
      if (bytes > LINK_BYTES_PER_S * LINK_SLACK) {
        this.#add("a link stays under its cap", `${link}: ${bytes} bytes`);
      }
    }
  }

  /** Parts of a seat in use at one moment never pass the whole. */
  #checkSeats(): void {
    const sums = new Map<string, number>();
    for (const node of this.#world.running()) {
      for (const seat of node.instance?.status().seats ?? []) {
        const name = `${seat.zone}/${seat.index}`;
        sums.set(name, (sums.get(name) ?? 0) + seat.part);
      }
    }
    for (const [name, sum] of sums) {
      if (sum > 1 + 1e-9) {
        this.#add(
          "no client account gets more than its rate",
          `seat ${name}: ${sum}`,
        );
      }
    }
  }

  #checkGenerations(): void {
    const now = this.#world.clock.now();
    const calm = this.#calmFor(now, this.#acceptedAt);
    for (const { name, instance } of this.#world.running()) {
      const generation = instance?.status().generation ?? -1;
      const before = this.#generations.get(name) ?? -1;
      this.#generations.set(name, generation);
      if (generation < before) {
        this.#add(
          "a document never reverts",
          `${name}: ${before} to ${generation}`,
        );
      }
      if (calm && generation < this.#generation) {
        this.#add(
          "a document is in force in seconds",
          `${name} has ${generation}`,
        );
      }
    }
  }

  /** Whether no fault has been active for the settling time after `since`. */
  #calmFor(now: number, since: number): boolean {
    if (this.calmSince === undefined) return false;
    return now > Math.max(this.calmSince, since) + SETTLE_MS;
  }

  #onRun(run: EndpointRun): void {
    const runs = this.#runs.get(run.request) ?? [];
    this.#runs.set(run.request, [...runs, run]);
    const attempt = this.#attempts.get(run.request);
    if (run.keySeen) this.#add("no endpoint sees a key", run.request);
    if (attempt === undefined) return;
    if (attempt.account !== run.account) {
      this.#add("a request runs for its own account", run.request);
    }
    if (attempt.ended && attempt.outcome === "not-run") {
      this.#add(
        "a refusal that says not run is true",
        `${run.request} ran later`,
      );
    }
    this.#checkOnce(run);
    this.#checkRate(run, runs.length);
    this.#checkRevocations(run, attempt);
  }

  #checkOnce({ operation, account, endpoint }: EndpointRun): void {
    if (operation === undefined || !endpoint.includes("writes")) return;
    const name = `${account} ${operation}`;
    const n = (this.#operations.get(name) ?? 0) + 1;
    this.#operations.set(name, n);
    if (n > 1) {
      this.#add("an operation runs at most once", `${name} ran ${n} times`);
    }
  }

  /** The bucket also holds one deadline's refill, since requests may queue. */
  #checkRate({ account, at }: EndpointRun, earlier: number): void {
    if (earlier > 0) return;
    const { ratePerS, burst } = ACCOUNTS[account] ?? { ratePerS: 0, burst: 0 };
    const size = burst + ratePerS * DEADLINE_MS / MS_PER_S;
    const bucket = this.#buckets.get(account) ?? { tokens: size, at };
    const gained = (at - bucket.at) * ratePerS / MS_PER_S;
    const tokens = Math.min(size, bucket.tokens + gained) - 1;
    this.#buckets.set(account, { tokens, at });
    if (tokens < -1e-6) {
      this.#add(
        "no client account gets more than its rate",
        `${account} at ${at}`,
      );
    }
  }

  #checkRevocations(run: EndpointRun, attempt: Attempt): void {
    const drainedAt = this.#drained.get(run.endpoint);
    if (drainedAt !== undefined && this.#calmFor(run.at, drainedAt)) {
      this.#add("a leaving endpoint gets no new work", run.endpoint);
    }
    const withdrawnAt = this.#withdrawn.get(attempt.key);
    if (withdrawnAt === undefined) return;
    const graceOver = run.at > withdrawnAt + KEY_GRACE_S * MS_PER_S + SETTLE_MS;
    if (graceOver || this.#calmFor(run.at, withdrawnAt)) {
      this.#add("a withdrawn key stops working", attempt.key);
    }
  }

  #onForward(from: string, url: string, bytes: number): void {
    const [a, b] = [regionOf(from), regionOf(url)];
    if (a === b) return;
    const second = Math.floor(this.#world.clock.now() / MS_PER_S);
    const link = `${a} ${b} ${second}`;
    for (const name of this.#linkBytes.keys()) {
      if (name.startsWith(`${a} ${b} `) && name !== link) {
        this.#linkBytes.delete(name);
      }
    }
    this.#linkBytes.set(link, (this.#linkBytes.get(link) ?? 0) + bytes);
  }

  /** A suspended budget is a violation, although it contains the excess. */
  #onEvent(name: string, fields: LogFields): void {
    if (name !== "budget_suspended") return;
    const detail = `${fields["account"]}: ${fields["reason"]}`;
    this.#add("parts of a rate never pass the whole", detail);
  }

  #add(property: string, detail: string): void {
    this.#violations.push({ property, detail });
  }
}

function regionOf(node: string): string {
  return node.split("-")[0] ?? "";
}
