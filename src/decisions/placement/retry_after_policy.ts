/**
 * Retry-After for requests that a service has no capacity for.
 *
 * A request is refused for one of three reasons. Full endpoints have capacity
 * again once their queue has drained, so callers retry then, spread by the rate
 * at which slots become free. An endpoint that sheds with free slots is faulty,
 * and a retry elsewhere is as good now as later: a delay of 250 ms would only
 * make the request late. If all endpoints asked for no requests, the first to
 * accept them again determines the delay.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { RetryAfterSchedule } from "../limits/retry_after_schedule.ts";
import { occupancy } from "./occupancy.ts";

/** Used when there is capacity already; the shortest delay, in milliseconds. */
const MIN_RETRY_AFTER_MS = 20;
const MAX_RETRY_AFTER_MS = 1_000;
const MS_PER_S = 1_000;

/** A service's capacity and how fast it becomes free. */
export interface CapacityOutlook {
  readonly service: ServiceId;
  /** Total slots of the service's endpoints. */
  readonly slots: number;
  /** Instances that send Retry-After. */
  readonly instances: number;
  /** Mean latency of the service's requests, in milliseconds. */
  readonly meanLatencyMs: number;
  /** Requests per second that rate limits allow; infinite without limits. */
  readonly limitPerS: number;
}

/** Computes the Retry-After of one instance, spread out per service. */
export class RetryAfterPolicy {
  readonly #schedules = new Map<ServiceId, RetryAfterSchedule>();
  readonly #backoffSchedules = new Map<ServiceId, RetryAfterSchedule>();

  /** Delay for a request that found all endpoints full, in milliseconds. */
  whenFull(outlook: CapacityOutlook, waitMs: number, now: number): number {
    const firstMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    return scheduleOf(this.#schedules, outlook.service, MAX_RETRY_AFTER_MS)
      .next(now, firstMs, intervalMs(outlook));
  }

  /**
   * Delay for a request to a service whose endpoints all asked for no requests,
   * in milliseconds.
   *
   * @param leftMs Time until the first of them accepts requests again.
   */
  whenBackedOff(
    outlook: CapacityOutlook,
    leftMs: number,
    now: number,
  ): number {
    const { service } = outlook;
    const spreadMs = scheduleOf(
      this.#backoffSchedules,
      service,
      MAX_RETRY_AFTER_MS,
    ).next(now + leftMs, 0, intervalMs(outlook));
    return leftMs + spreadMs;
  }

  /** Delay for a request that an endpoint shed, in milliseconds. */
  whenShed(row: EndpointRow, outlook: CapacityOutlook, now: number): number {
    const utilization = occupancy(row) / Math.max(1, row.record.slots);
    if (utilization < 1) return MIN_RETRY_AFTER_MS;
    return this.whenFull(
      outlook,
      (utilization - 1) * outlook.meanLatencyMs,
      now,
    );
  }
}

/** Time between two retries that capacity becomes free for, in milliseconds. */
function intervalMs(outlook: CapacityOutlook): number {
  const { slots, instances, meanLatencyMs, limitPerS } = outlook;
  const slotMs = meanLatencyMs / Math.max(1, slots);
  return instances * Math.max(slotMs, MS_PER_S / limitPerS);
}

function scheduleOf(
  schedules: Map<ServiceId, RetryAfterSchedule>,
  service: ServiceId,
  maxMs: number,
): RetryAfterSchedule {
  const known = schedules.get(service);
  if (known !== undefined) return known;
  const created = new RetryAfterSchedule(maxMs);
  schedules.set(service, created);
  return created;
}
