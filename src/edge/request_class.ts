/**
 * The route and the rank of a request, by its header.
 *
 * @module
 */
import type { RouteTable } from "../traffic/mod.ts";
import type { RequestFields } from "./request_codec.ts";

/** What decides about the memory of a request. */
export interface RequestClass {
  /** Name of its route; empty if there is none. */
  readonly route: string;
  /** The account's priority, else the route's; 0 is the most urgent. */
  readonly rank: number;
}

/** Requests without a route are refused in any case. */
const NO_ROUTE: RequestClass = { route: "", rank: Number.POSITIVE_INFINITY };

/** Finds the class of a request in a plan. */
export function requestClass(
  table: RouteTable | undefined,
  { host, path, key }: RequestFields,
): RequestClass {
  const route = table?.route(host, path);
  if (route === undefined) return NO_ROUTE;
  const account = route.isPublic || key === undefined
    ? undefined
    : table?.account(key);
  return { route: route.name, rank: account?.priority ?? route.priority };
}
