/**
 * Bounds what the instances of a fleet send before their reports show it.
 *
 * Load: the demand for one endpoint rises while reports are late. Until they
 * arrive, every instance would admit the fraction of before, and all together a
 * multiple of the limit.
 *
 * @module
 */

/** The room for sends that no report shows yet. */
export interface UnreportedRoom {
  /** Sends that the tolerance of a window still holds. */
  readonly left: number;
  /** This instance's share of them, in [0, 1]. */
  readonly share: number;
  /** Instances that may send. */
  readonly instances: number;
  /** Requests that may arrive at all of them before reports show it. */
  readonly requests: number;
}

/** What one instance may send before its reports show it. */
export interface UnreportedBound {
  readonly sends: number;
  /** Fraction of the requests to admit within that. */
  readonly fraction: number;
}

/**
 * Bounds an instance's sends by its share of the room, or by an equal part if
 * that is more: the share of an instance with few requests varies with each.
 * With less than one, an instance sends one at most, since a second request
 * there shows the rise: of `n` instances with `m` requests in all,
 * `n(1 - exp(-m/n))` have one or more.
 *
 * @example
 * ```ts
 * const room = { left: 20, share: 0.3, instances: 12, requests: 40 };
 * boundUnreported(room); // { sends: 6, fraction: 1 }
 * ```
 */
export function boundUnreported(room: UnreportedRoom): UnreportedBound {
  const { left, share, instances, requests } = room;
  const equal = Math.max(0, left) / instances;
  const own = Math.max(equal, left * share);
  if (own >= 1) return { sends: Math.floor(own), fraction: 1 };
  const admitted = -instances * Math.log(1 - equal);
  return { sends: 1, fraction: Math.min(1, admitted / requests) };
}
