/**
 * Which endpoint a request goes to.
 *
 * @module
 */
import type { RegionId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";

/** A request as placement sees it. */
export interface PlacementAsk {
  /** Requests with the same key concern the same object. */
  readonly affinityKey: string | undefined;
  /** The caller side's region, which is preferred where all else is equal. */
  readonly region: RegionId;
  /** Regions with callers. */
  readonly regions: readonly RegionId[];
  /** How urgent it is; 0 is the most urgent. */
  readonly rank: number;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly leftMs: number;
  /** How long a request of the service usually takes, in milliseconds. */
  readonly usualMs: number;
}

/** What came of a placement. */
export type Placed =
  | { readonly endpoint: EndpointRow; readonly why: string }
  /** No endpoint can take the request in time. */
  | { readonly endpoint: undefined; readonly retryAfterMs: number };

/**
 * Chooses among the endpoints that may be used for a request. Sees no network
 * and no clock of its own.
 */
export interface Placement {
  choose(
    candidates: readonly EndpointRow[],
    ask: PlacementAsk,
    now: number,
  ): Placed;
}
