/**
 * Selection of an endpoint for a request.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import type { PinnedDemand } from "./pinned_demand.ts";

/** The properties of a request that placement uses. */
export interface PlacementRequest {
  /** Requests with the same key concern the same object. */
  readonly affinityKey: string | undefined;
  /** The caller's region, which is preferred where all else is equal. */
  readonly region: RegionId;
  /** Regions with callers. */
  readonly regions: readonly RegionId[];
  /** Demand pinned to a region; this request does not belong to it. */
  readonly pinned: PinnedDemand;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Mean latency of the service's requests, in milliseconds. */
  readonly meanLatencyMs: number;
  /**
   * Whether an endpoint can be used now. Unusable endpoints stay in the hashing,
   * so that a failure moves only the keys of the endpoint that failed.
   */
  readonly usable: (row: EndpointRow) => boolean;
}

/** Result of a placement. */
export type PlacementResult =
  | { readonly endpoint: EndpointRow; readonly why: PlacementReason }
  /** No endpoint can take the request in time. */
  | { readonly endpoint: undefined; readonly waitMs: number };

/** Why an endpoint was chosen. */
export type PlacementReason = "primary" | "queue" | "overflow" | "least-loaded";

/**
 * Selects among a service's known endpoints, without network or clock access.
 * The same array always holds the same endpoints, so results derived from it
 * may be cached by its identity.
 */
export interface Placement {
  choose(
    endpoints: readonly EndpointRow[],
    req: PlacementRequest,
  ): PlacementResult;
}
