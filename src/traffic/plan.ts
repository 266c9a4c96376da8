/**
 * The traffic plan: what operators want done with requests, as one version of
 * routes, services, client accounts and limits.
 *
 * @module
 */
import type { AccountId, RegionId, ServiceId } from "../core/mod.ts";

/** One service of a route and its part of the route's requests. */
export interface WeightedService {
  readonly service: ServiceId;
  /** Relative to the other services of the route; 0 gets nothing. */
  readonly weight: number;
}

/** Requests of one host below one path, and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** The longest a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** The response time within which an answer is of full use, in milliseconds. */
  readonly aimMs: number;
  /** Rank, 0 the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Endpoints that one request may be sent to, the first included. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether endpoints work faster on objects they handled lately. */
  readonly affinity: boolean;
  /** Regions in which requests may be served; all where empty. */
  readonly allowedRegions: readonly RegionId[];
}

/** What the plan says of a service's endpoints. */
export interface ServicePolicy {
  readonly id: ServiceId;
  readonly healthPath: string;
  /** Connections an endpoint takes from all callers together. */
  readonly maxConnections: number;
  /** How long an endpoint is cold after its start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests a second that a cold endpoint bears from the whole fleet. */
  readonly coldRatePerS: number;
}

/** A client account. */
export interface Account {
  readonly id: AccountId;
  readonly keys: readonly string[];
  /** Rank, 0 the most urgent; goes before the route's where set. */
  readonly priority: number | undefined;
  /** Requests a second over the whole fleet; 0 sets no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Regions in which its requests may be served; all where empty. */
  readonly allowedRegions: readonly RegionId[];
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly bodyBytes: number;
  /** How long a connection may rest between requests, in milliseconds. */
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
