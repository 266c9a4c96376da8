/**
 * Grants other instances a number of requests that they may run here.
 *
 * Handles regions that fail over at the same time. If all instances used the
 * same published free capacity, two failing regions would load the third with
 * twice that, and its own callers would wait. So free capacity is divided among
 * the requesters, and a grant stays reserved until it is lowered or expires.
 *
 * @module
 */
import type { InstanceId, ServiceId } from "../../core/mod.ts";

interface Requester {
  wanted: number;
  requestedAt: number;
  granted: number;
  grantedAt: number;
}

/** A request for capacity expires after ten ticks without a renewal. */
const REQUEST_TTL_MS = 1_000;
/** Grants stay reserved this long, as a silent requester may still use them. */
const GRANT_TTL_MS = 3_000;

/** Grants of one instance, by service and requester. */
export class CapacityGrants {
  readonly #requesters = new Map<ServiceId, Map<InstanceId, Requester>>();

  /** Records how many requests an instance wants to run here. */
  request(
    from: { instance: InstanceId; service: ServiceId },
    wanted: number,
    now: number,
  ): void {
    const requesters = this.#requesters.get(from.service) ?? new Map();
    this.#requesters.set(from.service, requesters);
    const known = requesters.get(from.instance);
    if (known) Object.assign(known, { wanted, requestedAt: now });
    else if (wanted > 0) {
      const requester = {
        wanted,
        requestedAt: now,
        granted: 0,
        grantedAt: -Infinity,
      };
      requesters.set(from.instance, requester);
    }
  }

  /** Grants a share of `capacity`; the sum of grants never exceeds it. */
  grant(
    to: { instance: InstanceId; service: ServiceId },
    capacity: number,
    now: number,
  ): number {
    const requesters = this.#requesters.get(to.service);
    const requester = requesters?.get(to.instance);
    if (requesters === undefined || requester === undefined) return 0;
    const share = fairShare(currentDemands(requesters, now), capacity);
    const others = totalGranted(requesters, now) -
      liveGrant(requester, now);
    const granted = Math.max(
      0,
      Math.min(
        now - requester.requestedAt <= REQUEST_TTL_MS ? requester.wanted : 0,
        Math.max(share, minimumByRank(requesters, to.instance, capacity, now)),
        Math.floor(capacity) - others,
      ),
    );
    requester.granted = granted;
    requester.grantedAt = now;
    return granted;
  }

  /** The requester's grant; 0 once it has expired. */
  granted(
    to: { instance: InstanceId; service: ServiceId },
    now: number,
  ): number {
    const requester = this.#requesters.get(to.service)?.get(to.instance);
    return requester ? liveGrant(requester, now) : 0;
  }

  /** Services for which the instance has a current request or grant. */
  servicesRequestedBy(instance: InstanceId, now: number): ServiceId[] {
    return [...this.#requesters].filter(([, requesters]) => {
      const requester = requesters.get(instance);
      return requester !== undefined &&
        (now - requester.requestedAt <= REQUEST_TTL_MS ||
          liveGrant(requester, now) > 0);
    }).map(([service]) => service);
  }

  /** Removes requesters whose request and grant have expired. */
  tick(now: number): void {
    for (const requesters of this.#requesters.values()) {
      for (const [id, requester] of requesters) {
        const expired = now - requester.requestedAt > GRANT_TTL_MS;
        if (expired && liveGrant(requester, now) === 0) requesters.delete(id);
      }
    }
  }
}

function liveGrant(requester: Requester, now: number): number {
  return now - requester.grantedAt <= GRANT_TTL_MS ? requester.granted : 0;
}

function totalGranted(
  requesters: ReadonlyMap<InstanceId, Requester>,
  now: number,
) {
  return [...requesters.values()].reduce(
    (n, a) => n + liveGrant(a, now),
    0,
  );
}

function currentDemands(
  requesters: ReadonlyMap<InstanceId, Requester>,
  now: number,
): number[] {
  return [...requesters.values()]
    .filter((a) => now - a.requestedAt <= REQUEST_TTL_MS && a.wanted > 0)
    .map((a) => a.wanted);
}

/** Max-min fair share: what small requesters leave goes to large ones. */
function fairShare(demands: readonly number[], total: number): number {
  let remaining = Math.floor(total);
  let share = 0;
  const sorted = [...demands].sort((a, b) => a - b);
  for (const [i, demand] of sorted.entries()) {
    share = Math.floor(remaining / (sorted.length - i));
    if (demand > share) return share;
    remaining -= demand;
    share = demand;
  }
  return share;
}

/** With less capacity than requesters, the first ones by id get one each. */
function minimumByRank(
  requesters: ReadonlyMap<InstanceId, Requester>,
  instance: InstanceId,
  capacity: number,
  now: number,
): number {
  const active = [...requesters].filter(([, a]) =>
    now - a.requestedAt <= REQUEST_TTL_MS && a.wanted > 0
  ).map(([id]) => id).sort();
  if (active.length <= capacity) return 0;
  return active.indexOf(instance) < Math.floor(capacity) ? 1 : 0;
}
