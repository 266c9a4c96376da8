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
}

/** Finds the first route that matches; without one, a request is not idempotent. */
export function policyFor(
  service: Service,
  method: string,
  path: string,
): RoutePolicy {
  const route = service.routes.find((r) =>
    (r.method === "*" || r.method === method) && path.startsWith(r.path_prefix)
  );
  return {
    idempotent: route?.idempotent ?? false,
    deadlineMs: route?.deadline_ms ?? service.deadline_ms,
  };
}
