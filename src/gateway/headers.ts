/**
 * Header names of the caller interface, and which headers are forwarded.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Headers } from "../endpoints/mod.ts";

/** Whether a failed request may have run: `not-run` or `unknown`. */
export const OUTCOME_HEADER = "x-magnoliahook-outcome";
/** The caller's time-out, in milliseconds. */
export const TIMEOUT_HEADER = "x-timeout-ms";
/** The operation id of a request that is not idempotent. */
export const OPERATION_HEADER = "idempotency-key";
/** The operation's home, as returned by a look-up. */
export const HOME_HEADER = "x-magnoliahook-home";

/** Hop-by-hop headers (RFC 9110, 7.6.1), credentials and own headers. */
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
  "x-leaving",
  TIMEOUT_HEADER,
]);

/** Prefix of headers that endpoints neither get nor set. */
const OWN_PREFIX = "x-magnoliahook-";

function isForwarded(name: string): boolean {
  return !NOT_FORWARDED.has(name) && !name.startsWith(OWN_PREFIX);
}

/** Request headers for an endpoint, without the API key. */
export function endpointHeaders(headers: IncomingHttpHeaders): Headers {
  const out: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!isForwarded(name) || value === undefined) continue;
    out[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return out;
}

/** Response headers for the caller. */
export function callerHeaders(headers: Headers): Headers {
  const forwarded = Object.entries(headers).filter(([n]) => isForwarded(n));
  return Object.fromEntries(forwarded);
}
