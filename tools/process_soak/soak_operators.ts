/**
 * The simulated operators of a soak, who publish plans and withdraw API keys.
 *
 * @module
 */
import { KINDS } from "../../platform/names.ts";
import type { ObjectStoreServer } from "../../platform/testing/object_store_server.ts";
import {
  type PlanRoute,
  planSpec,
} from "../../platform/testing/plan_objects.ts";
import type { Random } from "../../src/core/mod.ts";
import type { PropertyChecker } from "./property_checker.ts";

/** A client account with two valid API keys at a time. */
export interface SoakAccount {
  readonly id: string;
  keys: string[];
  readonly ratePerS: number;
  readonly burst: number;
}

/** The host of all routes. */
export const HOST = "soak.example";
/** Services that the routes refer to. */
export const SERVICES = ["reads", "writes"] as const;
/** The service of uploads and pipelined requests. */
export const BULK_SERVICE = "bulk";
/** The service whose callers send at a fixed rate. */
export const STEADY_SERVICE = "steady";
const TIMEOUT_S = 1.5;

/** Dependencies of the operators. */
export interface SoakOperatorsOptions {
  readonly store: ObjectStoreServer;
  readonly checker: PropertyChecker;
  readonly random: Random;
}

/** Publishes plans; each new version adds a route. */
export class SoakOperators {
  readonly large: SoakAccount = {
    id: "large",
    keys: ["l0", "l1"],
    ratePerS: 2_000,
    burst: 2_000,
  };
  readonly small: SoakAccount = {
    id: "small",
    keys: ["s0", "s1"],
    ratePerS: 20,
    burst: 20,
  };
  /** Uploads and pipelines; its key is never withdrawn. */
  readonly bulk: SoakAccount = {
    id: "bulk",
    keys: ["b0"],
    ratePerS: 2_000,
    burst: 2_000,
  };
  /** Sends at a fixed rate; its key is never withdrawn. */
  readonly steady: SoakAccount = {
    id: STEADY_SERVICE,
    keys: ["f0"],
    ratePerS: 2_000,
    burst: 2_000,
  };
  readonly #opts: SoakOperatorsOptions;
  #version = 1;

  constructor(opts: SoakOperatorsOptions) {
    this.#opts = opts;
    for (const { id, ratePerS, burst } of this.accounts) {
      opts.checker.limit(id, ratePerS, burst);
    }
  }

  get accounts(): readonly SoakAccount[] {
    return [this.large, this.small, this.bulk, this.steady];
  }

  /** The newest version of the plan. */
  get version(): number {
    return this.#version;
  }

  /** Writes the current plan to the store. */
  publish(): void {
    const spec = planSpec({
      version: this.#version,
      host: HOST,
      routes: this.#routes(),
      services: [...SERVICES, BULK_SERVICE, STEADY_SERVICE],
      accounts: this.accounts,
    });
    this.#opts.store.write(KINDS.plan, "main", spec);
    this.#opts.checker.planAcknowledged(this.#version);
  }

  /** Publishes a new version, which adds a route. */
  newPlan(): string {
    this.#version++;
    this.publish();
    return `version ${this.#version}`;
  }

  /** Publishes a new version that withdraws an account's older key. */
  withdrawKey(): string {
    const { random, checker } = this.#opts;
    const account = random.below(2) === 0 ? this.large : this.small;
    const [old = "", kept = ""] = account.keys;
    account.keys = [kept, `${account.id}${this.#version}`];
    this.newPlan();
    checker.keyWithdrawn(old);
    return old;
  }

  #routes(): PlanRoute[] {
    const routes: PlanRoute[] = [
      route("/reads/", "reads", true),
      route("/writes/", "writes", false),
      route("/bulk-reads/", BULK_SERVICE, true),
      route("/bulk-writes/", BULK_SERVICE, false),
      route("/steady/", STEADY_SERVICE, true),
    ];
    for (let since = 2; since <= this.#version; since++) {
      routes.push(route(`/since${since}/`, "reads", true));
    }
    return routes;
  }
}

function route(
  prefix: string,
  service: string,
  idempotent: boolean,
): PlanRoute {
  return { prefix, service, idempotent, timeoutS: TIMEOUT_S };
}
