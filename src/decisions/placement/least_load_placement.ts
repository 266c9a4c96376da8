/**
 * Least-load placement without affinity, as a baseline.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";
import { leastLoaded } from "./affinity_placement.ts";
import type {
  Placement,
  PlacementRequest,
  PlacementResult,
} from "./placement.ts";

/** Baseline to compare {@link AffinityPlacement} with. */
export class LeastLoadPlacement implements Placement {
  choose(
    endpoints: readonly EndpointRow[],
    req: PlacementRequest,
  ): PlacementResult {
    return leastLoaded(endpoints, req);
  }
}
