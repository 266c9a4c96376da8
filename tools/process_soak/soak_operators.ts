/**
 * The operators of a soak: client accounts, and versions of the plan.
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
import type { Promises } from "./promises.ts";

/** A client account; it holds two keys at a time. */
export interface SoakAccount {
  readonly id: string;
  keys: string[];
  readonly ratePerS: number;
  readonly burst: number;
}

/** The host of all routes. */
export const HOST = "soak.example";
/** Services that routes lead to. */
export const SERVICES = ["reads", "writes"] as const;
const TIMEOUT_S = 1.5;

/** What the operators work with. */
export interface SoakOperatorsOptions {
  readonly store: ObjectStoreServer;
  readonly promises: Promises;
  readonly random: Random;
}

/** Writes plans; each new version adds a route. */
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
  readonly #opts: SoakOperatorsOptions;
  #version = 1;

  constructor(opts: SoakOperatorsOptions) {
    this.#opts = opts;
    for (const { id, ratePerS, burst } of this.accounts) {
      opts.promises.limit(id, ratePerS, burst);
    }
  }

  get accounts(): readonly SoakAccount[] {
    return [this.large, this.small];
  }

  /** The newest version of the plan. */
  get version(): number {
    return this.#version;
  }

  /** Puts the plan in the store. */
  publish(): void {
    const spec = planSpec({
      version: this.#version,
      host: HOST,
      routes: this.#routes(),
      services: SERVICES,
      accounts: this.accounts,
    });
    this.#opts.store.write(KINDS.plan, "main", spec);
    this.#opts.promises.planAcknowledged(this.#version);
  }

  /** A new version adds a route. */
  newPlan(): string {
    this.#version++;
    this.publish();
    return `version ${this.#version}`;
  }

  /** A new version withdraws an account's older key. */
  withdrawKey(): string {
    const { random, promises } = this.#opts;
    const account = random.below(2) === 0 ? this.large : this.small;
    const [old = "", kept = ""] = account.keys;
    account.keys = [kept, `${account.id}${this.#version}`];
    this.newPlan();
    promises.keyWithdrawn(old);
    return old;
  }

  #routes(): PlanRoute[] {
    const routes: PlanRoute[] = [
      route("/reads/", "reads", true),
      route("/writes/", "writes", false),
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
