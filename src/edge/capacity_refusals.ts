/**
 * Refusals for lack of capacity at one instance, with their retry delays.
 *
 * @module
 */
import { type Failure, failure, type ServiceId } from "../core/mod.ts";
import {
  type CapacityOutlook,
  type LatencyEstimator,
  RetryAfterPolicy,
} from "../decisions/placement/mod.ts";
import type { EndpointRow } from "../traffic/mod.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointSignals } from "./endpoint_signals.ts";

/**
 * Retry delay for a service without endpoints, in milliseconds: about as long as
 * a registration takes to reach this instance.
 */
const NO_ENDPOINT_RETRY_MS = 250;
const ALL_IN_BACKOFF = "every endpoint of the service asked for no requests";

/** Dependencies of {@link CapacityRefusals}. */
export interface CapacityRefusalsOptions {
  readonly limits: EndpointLimits;
  readonly signals: EndpointSignals;
  readonly latency: LatencyEstimator;
  /** Number of instances in the fleet, including this one. */
  readonly fleetSize: () => number;
}

/** A service and the endpoints of it that a request may use. */
export interface ServiceEndpoints {
  readonly service: ServiceId;
  readonly endpoints: readonly EndpointRow[];
}

/** Makes the refusals of requests that no endpoint can take. */
export class CapacityRefusals {
  readonly #opts: CapacityRefusalsOptions;
  readonly #retryAfter = new RetryAfterPolicy();

  constructor(opts: CapacityRefusalsOptions) {
    this.#opts = opts;
  }

  noEndpoint(): Failure {
    return failure("no_endpoint", "the service has no endpoint", {
      retryAfterMs: NO_ENDPOINT_RETRY_MS,
    });
  }

  /**
   * The refusal of a request that no endpoint can take.
   *
   * @param full Time until one has capacity, and why none has it now.
   */
  noCapacity(
    at: ServiceEndpoints,
    full: { readonly waitMs: number; readonly why: string },
    now: number,
  ): Failure {
    const outlook = this.#outlook(at);
    const backoffMs = this.#opts.signals.acceptsInMs(at.endpoints, now);
    if (backoffMs > 0) {
      return failure("no_capacity", ALL_IN_BACKOFF, {
        retryAfterMs: this.#retryAfter.whenBackedOff(outlook, backoffMs, now),
      });
    }
    return failure("no_capacity", full.why, {
      retryAfterMs: this.#retryAfter.whenFull(outlook, full.waitMs, now),
    });
  }

  /** Retry delay for a request that an endpoint shed, in milliseconds. */
  afterShedMs(at: ServiceEndpoints, row: EndpointRow, now: number): number {
    return this.#retryAfter.whenShed(row, this.#outlook(at), now);
  }

  #outlook({ service, endpoints }: ServiceEndpoints): CapacityOutlook {
    const { limits, latency, fleetSize } = this.#opts;
    let slots = 0;
    let limitPerS = 0;
    for (const { id, record } of endpoints) {
      slots += record.slots;
      limitPerS += limits.limitOf(id) ?? Infinity;
    }
    const meanLatencyMs = latency.of(service);
    return { service, slots, meanLatencyMs, instances: fleetSize(), limitPerS };
  }
}
