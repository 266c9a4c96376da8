/**
 * Plans, endpoints and requests for tests.
 *
 * @module
 */
import type {
  AccountId,
  EndpointId,
  RegionId,
  ServiceId,
  ZoneId,
} from "../../core/mod.ts";
import {
  type Account,
  type EndpointRecord,
  EndpointRow,
  type Route,
  type TrafficPlan,
} from "../../traffic/mod.ts";

/** A route of service `s` at `h/p/`. */
export function route(opts: Partial<Route> = {}): Route {
  return {
    name: "r1",
    host: "h",
    prefix: "/p/",
    idempotent: true,
    timeoutMs: 2_000,
    aimMs: 300,
    priority: 0,
    services: [{ service: "s" as ServiceId, weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    affinity: true,
    allowedRegions: [],
    ...opts,
  };
}

/** An account with the key `k`. */
export function account(opts: Partial<Account> = {}): Account {
  return {
    id: "a1" as AccountId,
    keys: ["k"],
    priority: 0,
    ratePerS: 0,
    burst: 0,
    allowedRegions: [],
    ...opts,
  };
}

/** A plan with one route, one service and one account. */
export function plan(opts: Partial<TrafficPlan> = {}): TrafficPlan {
  const id = "s" as ServiceId;
  const policy = {
    id,
    healthPath: "/health",
    maxConnections: 100,
    coldStartMs: 3_000,
    coldRatePerS: 12,
  };
  return {
    version: 1,
    routes: [route()],
    services: new Map([[id, policy]]),
    accounts: [account()],
    limits: {
      headerBytes: 16_384,
      headerTimeoutMs: 3_000,
      bodyBytes: 1_000_000,
      idleMs: 5_000,
    },
    ...opts,
  };
}

/** An endpoint of service `s` in zone `z1`. */
export function endpoint(opts: Partial<EndpointRecord> = {}): EndpointRecord {
  return {
    id: "e1" as EndpointId,
    service: "s" as ServiceId,
    address: "127.0.0.1:1",
    zone: "z1" as ZoneId,
    slots: 4,
    draining: false,
    coldMs: 0,
    bornAt: 1,
    ...opts,
  };
}

/** An endpoint's row in region `r1`. */
export function endpointRow(opts: Partial<EndpointRecord> = {}): EndpointRow {
  return new EndpointRow(endpoint(opts), "r1" as RegionId, {
    seed: 1,
    now: 0,
  });
}
