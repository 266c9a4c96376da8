/**
 * Which endpoint a request goes to.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import type { BoundDemand } from "./bound_demand.ts";

/** A request as placement sees it. */
export interface PlacementAsk {
  /** Requests with the same key concern the same object. */
  readonly affinityKey: string | undefined;
  /** The caller side's region, which is preferred where all else is equal. */
  readonly region: RegionId;
  /** Regions with callers. */
  readonly regions: readonly RegionId[];
  /** Work that only one region may do, which this request is no part of. */
  readonly bound: BoundDemand;
  /** How urgent it is; 0 is the most urgent. */
  readonly rank: number;
  /** How long a request of the service usually takes, in milliseconds. */
  readonly usualMs: number;
  /**
   * Whether an endpoint can be used now. Others keep their affinity keys: a
   * key's primary must not change with each failure.
   */
  readonly usable: (row: EndpointRow) => boolean;
}

/** Outcome of a placement. */
export type Placed =
  | { readonly endpoint: EndpointRow; readonly why: PlacedBy }
  /** No endpoint can take the request in time. */
  | { readonly endpoint: undefined; readonly waitMs: number };

/** Why an endpoint was chosen. */
export type PlacedBy = "primary" | "queue" | "overflow" | "least-loaded";

/**
 * Chooses among the endpoints of a service that are there. Sees no network and
 * no clock of its own. The same array stands for the same endpoints, so what is
 * worked out from it may be kept.
 */
export interface Placement {
  choose(endpoints: readonly EndpointRow[], ask: PlacementAsk): Placed;
}
