/**
 * Placement of a request within the rate limits that endpoints announce.
 *
 * @module
 */
import type {
  Placement,
  PlacementReason,
  PlacementRequest,
} from "../decisions/placement/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";

const NO_CAPACITY = "no endpoint can take the request in time";

/** An endpoint and the reason for it, or why none was selected. */
export type Selection =
  | { readonly endpoint: EndpointRow; readonly why: PlacementReason }
  | {
    readonly endpoint: undefined;
    readonly waitMs: number;
    readonly why: string;
  };

/** Combines placement with the limits of endpoints. */
export class LimitedPlacement {
  readonly #placement: Placement;
  readonly #limits: EndpointLimits;

  constructor(placement: Placement, limits: EndpointLimits) {
    this.#placement = placement;
    this.#limits = limits;
  }

  /**
   * Places a request regardless of limits first, which records each endpoint's
   * full demand. If that endpoint's limit is reached, places the request among
   * endpoints whose limit is not.
   */
  choose(
    endpoints: readonly EndpointRow[],
    request: PlacementRequest,
    now: number,
  ): Selection {
    const limits = this.#limits;
    const { priority } = request;
    const first = this.#placement.choose(endpoints, request);
    if (first.endpoint === undefined) return { ...first, why: NO_CAPACITY };
    if (limits.admit(first.endpoint, priority, now)) return first;
    const { id } = first.endpoint;
    const second = this.#placement.choose(endpoints, {
      ...request,
      usable: (row) =>
        request.usable(row) && limits.canSend(row, priority, now),
    });
    // `canSend` does not count the request as demand, so `admit` may refuse it.
    if (
      second.endpoint !== undefined &&
      limits.admit(second.endpoint, priority, now)
    ) return second;
    const why = `endpoint ${id} takes ${limits.limitOf(id)} requests a ` +
      "second, and no other can take the request in time";
    const waitMs = second.endpoint === undefined ? second.waitMs : 0;
    return { endpoint: undefined, waitMs, why };
  }
}
