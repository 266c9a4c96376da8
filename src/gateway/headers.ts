/**
 * Header names of the caller side, and which headers travel on.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Headers } from "../endpoints/mod.ts";

/** What is known of a refused request: `not-run` or `unknown`. */
export const OUTCOME_HEADER = "x-magnoliahook-outcome";
/** How long the caller is willing to wait, in milliseconds. */
export const TIMEOUT_HEADER = "x-timeout-ms";
/** The operation id of a request that is not idempotent. */
export const OPERATION_HEADER = "idempotency-key";
/** The operation's home, as a look-up handed it out. */
export const HOME_HEADER = "x-magnoliahook-home";

/** Headers between two hops (RFC 9110, 7.6.1), and those that are ours. */
const NOT_FORWARDED = new Set([
  "authorization",
  "proxy-authorization",
  "cookie",
  "connection",
  "keep-alive",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "expect",
  "x-client-account",
  TIMEOUT_HEADER,
]);

/** What instances say to each other and to callers; endpoints have no part in it. */
const OWN_PREFIX = "x-magnoliahook-";

function travels(name: string): boolean {
  return !NOT_FORWARDED.has(name) && !name.startsWith(OWN_PREFIX);
}

/** Headers of a request as an endpoint may see them: the key is gone. */
export function toEndpoint(headers: IncomingHttpHeaders): Headers {
  const out: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!travels(name) || value === undefined) continue;
    out[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return out;
}

/** Headers of an answer as the caller may see them. */
export function toCaller(headers: Headers): Headers {
  const kept = Object.entries(headers).filter(([n]) => travels(n));
  return Object.fromEntries(kept);
}
