/**
 * Retry-After for requests that a service has no capacity for.
 *
 * A request is refused for one of two reasons. Full endpoints have capacity
 * again once their queue has drained, so callers retry then, spread by the rate
 * at which slots become free. An endpoint that sheds with free slots is faulty,
 * and a retry elsewhere is as good now as later: a delay of 250 ms would only
 * make the request late.
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

  /** Delay for a request that found all endpoints full, in milliseconds. */
  whenFull(outlook: CapacityOutlook, waitMs: number, now: number): number {
    const {
      service,
      slots,
      instances,
      meanLatencyMs,
      limitPerS,
    } = outlook;
    const intervalMs = instances *
      Math.max(meanLatencyMs / Math.max(1, slots), MS_PER_S / limitPerS);
    return this.#scheduleOf(service).next(
      now,
      Math.max(MIN_RETRY_AFTER_MS, waitMs),
      intervalMs,
    );
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

  #scheduleOf(service: ServiceId): RetryAfterSchedule {
    const known = this.#schedules.get(service);
    if (known !== undefined) return known;
    const fresh = new RetryAfterSchedule(MAX_RETRY_AFTER_MS);
    this.#schedules.set(service, fresh);
    return fresh;
  }
}
