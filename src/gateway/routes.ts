/**
 * What the document says of a request's method and path.
 *
 * @module
 */
import type { Service } from "../document/mod.ts";

/** What holds for one request. */
export interface RoutePolicy {
  readonly idempotent: boolean;
  readonly deadlineMs: number;
  /** Names the route, as a kind of work whose time is learned. */
  readonly work: string;
}

/** Finds the first route that matches; without one, a request is not idempotent. */
export function policyFor(
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
