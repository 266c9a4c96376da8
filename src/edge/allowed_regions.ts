/**
 * The regions in which a request may be served.
 *
 * @module
 */
import type { RegionId } from "../core/mod.ts";
import type { Account, Route } from "../traffic/mod.ts";

/**
 * The regions that both the route and the account allow; undefined if neither
 * restricts them. Empty if they have none in common: the request then cannot be
 * served.
 */
export function allowedRegions(
  route: Route,
  account: Account | undefined,
): ReadonlySet<RegionId> | undefined {
  const byRoute = route.allowedRegions;
  const byAccount = account?.allowedRegions ?? [];
  if (byRoute.length === 0 && byAccount.length === 0) return undefined;
  if (byRoute.length === 0) return new Set(byAccount);
  if (byAccount.length === 0) return new Set(byRoute);
  return new Set(byRoute.filter((region) => byAccount.includes(region)));
}
