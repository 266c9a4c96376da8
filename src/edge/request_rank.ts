/**
 * The rank of a request, by its header.
 *
 * @module
 */
import type { RouteTable } from "../traffic/mod.ts";
import type { RequestFields } from "./request_codec.ts";

/** Rank of requests without a route, which are refused in any case. */
const LEAST_URGENT = Number.POSITIVE_INFINITY;

/** The account's priority, else the route's; 0 is the most urgent. */
export function rankOf(
  table: RouteTable | undefined,
  { host, path, key }: RequestFields,
): number {
  const route = table?.route(host, path);
  if (route === undefined) return LEAST_URGENT;
  const account = route.isPublic || key === undefined
    ? undefined
    : table?.account(key);
  return account?.priority ?? route.priority;
}
