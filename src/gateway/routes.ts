/**
 * Finds the policy of a request by its method and path.
 *
 * @module
 */
import type { Service } from "../document/mod.ts";

/** The policy of the route that a request matches. */
export interface RoutePolicy {
  readonly idempotent: boolean;
  readonly deadlineMs: number;
  /** Class of work for duration estimates: the index of the route. */
  readonly work: string;
}

/** Uses the first matching route; without one, a request is not idempotent. */
export function routePolicyFor(
  service: Service,
  method: string,
  path: string,
): RoutePolicy {
  const at = service.routes.findIndex((r) =>
    (r.method === "*" || r.method === method) && path.startsWith(r.path_prefix)
  );
  const route = service.routes[at];
  return {
    work: String(at),
    idempotent: route?.idempotent ?? false,
    deadlineMs: route?.deadline_ms ?? service.deadline_ms,
  };
}
