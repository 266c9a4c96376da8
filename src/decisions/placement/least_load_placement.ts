/**
 * The plain baseline: least load, no regard to objects.
 *
 * @module
 */
import type { EndpointRow } from "../../traffic/mod.ts";
import { leastLoaded } from "./affinity_placement.ts";
import type { Placed, Placement, PlacementAsk } from "./placement.ts";

/** For comparison with {@link AffinityPlacement} in one run. */
export class LeastLoadPlacement implements Placement {
  choose(endpoints: readonly EndpointRow[], ask: PlacementAsk): Placed {
    return leastLoaded(endpoints, ask);
  }
}
