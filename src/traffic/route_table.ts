/**
 * Finds the route and the client account of a request.
 *
 * @module
 */
import type { Account, Route, TrafficPlan } from "./plan.ts";

/** Routes of one plan by host and longest prefix; accounts by API key. */
export class RouteTable {
  readonly plan: TrafficPlan;
  readonly #byHost = new Map<string, Route[]>();
  readonly #byKey = new Map<string, Account>();

  /**
   * @example
   * ```ts
   * const table = new RouteTable(plan);
   * table.route("shop.example", "/lots/7"); // the route of "/lots/"
   * ```
   */
  constructor(plan: TrafficPlan) {
    this.plan = plan;
    for (const route of plan.routes) {
      const routes = this.#byHost.get(route.host) ?? [];
      routes.push(route);
      this.#byHost.set(route.host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const account of plan.accounts) {
      for (const key of account.keys) this.#byKey.set(key, account);
    }
  }

  /** The route whose prefix is the longest match of the path. */
  route(host: string, path: string): Route | undefined {
    return this.#byHost.get(host)?.find((r) => path.startsWith(r.prefix));
  }

  /** The account that an API key belongs to. */
  account(key: string): Account | undefined {
    return this.#byKey.get(key);
  }

  /** Whether requests need a key unless their route is public. */
  get hasAccounts(): boolean {
    return this.plan.accounts.length > 0;
  }
}
