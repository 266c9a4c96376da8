/**
 * Retry-After for requests that a service has no room for.
 *
 * Two things turn a request away. Endpoints that are full have room again once
 * what waits is worked off, so callers come back then, spread by how fast slots
 * come free. An endpoint that sheds with slots to spare is faulty, and another
 * try elsewhere is as good now as later: a caller told to wait for a quarter of
 * a second would be served late for nothing.
 *
 * @module
 */
import type { ServiceId } from "../../core/mod.ts";
import type { EndpointRow } from "../../traffic/mod.ts";
import { ReturnSchedule } from "../limits/return_schedule.ts";
import { occupancy } from "./occupancy.ts";

/** When there is room already: the shortest time that is not at once, in ms. */
const SOON_MS = 20;
/** The longest that a caller is told to stay away, in milliseconds. */
const LONGEST_MS = 1_000;
const MS_PER_S = 1_000;

/** What room there is, and how it comes free. */
export interface RoomOutlook {
  readonly service: ServiceId;
  /** Slots of the service's endpoints. */
  readonly slots: number;
  /** Instances that tell callers to come back. */
  readonly instances: number;
  /** How long a request usually takes, in milliseconds. */
  readonly usualMs: number;
  /** Requests a second that limits let through; infinite without them. */
  readonly limitPerS: number;
}

/** Times handed out by one instance, by service. */
export class RetryAfterPolicy {
  readonly #schedules = new Map<ServiceId, ReturnSchedule>();

  /** For a caller whose endpoints were full, in milliseconds from now. */
  whenFull(outlook: RoomOutlook, waitMs: number, now: number): number {
    const { service, slots, instances, usualMs, limitPerS } = outlook;
    const everyMs = instances *
      Math.max(usualMs / Math.max(1, slots), MS_PER_S / limitPerS);
    return this.#of(service).next(now, Math.max(SOON_MS, waitMs), everyMs);
  }

  /** For a caller whose request an endpoint shed, in milliseconds from now. */
  whenShed(row: EndpointRow, outlook: RoomOutlook, now: number): number {
    const fill = occupancy(row) / Math.max(1, row.record.slots);
    if (fill < 1) return SOON_MS;
    return this.whenFull(outlook, (fill - 1) * outlook.usualMs, now);
  }

  #of(service: ServiceId): ReturnSchedule {
    const known = this.#schedules.get(service);
    if (known !== undefined) return known;
    const fresh = new ReturnSchedule(LONGEST_MS);
    this.#schedules.set(service, fresh);
    return fresh;
  }
}
