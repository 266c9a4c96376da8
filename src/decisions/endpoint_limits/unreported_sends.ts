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
 * Divides the room among the instances. With less than one send for each, an
 * instance sends one at most, since a second request there shows the rise: of
 * `n` instances with `m` requests in all, `n(1 - exp(-m/n))` have one or more.
 *
 * @example
 * ```ts
 * boundUnreported({ left: 20, instances: 12, requests: 40 }).sends; // 1
 * ```
 */
export function boundUnreported(room: UnreportedRoom): UnreportedBound {
  const { left, instances, requests } = room;
  if (left >= instances) {
    return { sends: Math.floor(left / instances), fraction: 1 };
  }
  const admitted = -instances * Math.log(1 - Math.max(0, left) / instances);
  return { sends: 1, fraction: Math.min(1, admitted / requests) };
}
