/**
 * The traffic plan that operators configure: one version of the routes,
 * services, client accounts and limits.
 *
 * @module
 */
import type { AccountId, RegionId, ServiceId } from "../core/mod.ts";

/** One service of a route and its share of the route's requests. */
export interface WeightedService {
  readonly service: ServiceId;
  /** Relative to the route's other services; at 0 it receives no requests. */
  readonly weight: number;
}

/** How requests for one host under one path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may be executed more than once. */
  readonly idempotent: boolean;
  /** Maximum time until the caller gets a response, in milliseconds. */
  readonly timeoutMs: number;
  /** Target response time, in ms; a later response has less value. */
  readonly aimMs: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Maximum endpoints tried for one request, including the first. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether endpoints serve recently handled objects faster. */
  readonly affinity: boolean;
  /** Regions in which requests may be served; all if empty. */
  readonly allowedRegions: readonly RegionId[];
}

/** Settings of a service's endpoints. */
export interface ServicePolicy {
  readonly id: ServiceId;
  readonly healthPath: string;
  /** Maximum connections of an endpoint, over all callers. */
  readonly maxConnections: number;
  /** How long an endpoint is cold after its start, in milliseconds. */
  readonly coldStartMs: number;
  /** Rate limit of a cold endpoint over the whole fleet, in requests per second. */
  readonly coldRatePerS: number;
}

export interface Account {
  readonly id: AccountId;
  readonly keys: readonly string[];
  /** Priority, 0 the highest; overrides the route's if set. */
  readonly priority: number | undefined;
  /** Rate limit over the whole fleet, in requests per second; 0 is unlimited. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Regions in which its requests may be served; all if empty. */
  readonly allowedRegions: readonly RegionId[];
}

/** Limits on callers' requests and idle connections. */
export interface CallerLimits {
  /** Maximum size of a request's header, from its first line to its end. */
  readonly headerBytes: number;
  /** Time in which a caller must send a header, in milliseconds. */
  readonly headerTimeoutMs: number;
  readonly bodyBytes: number;
  /** Idle timeout of a connection between requests, in milliseconds. */
  readonly idleMs: number;
}

/** One version of the plan. */
export interface TrafficPlan {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServicePolicy>;
  readonly accounts: readonly Account[];
  readonly limits: CallerLimits;
}
