/**
 * How many slots of each endpoint this instance may use.
 *
 * @module
 */
import type { EndpointId } from "../../core/mod.ts";
import type { EndpointEntry, SteeringDocument } from "../../document/mod.ts";
import type { SeatDirectory } from "../../membership/mod.ts";
import { evenShare, type SlotBudgets } from "../budgets/mod.ts";

/** Shares of endpoints' slots; all instances' shares never exceed the total. */
export interface SlotLimits {
  adopt(document: SteeringDocument, now: number): void;
  /** Requests this instance may have in flight at the endpoint. */
  limit(endpoint: EndpointId, now: number): number;
  /** Reports how many slots are in use and how many more are wanted. */
  report(endpoint: EndpointId, use: { inFlight: number; wanted: number }): void;
}

/** Slots split evenly over the zone's seats, independent of demand. */
export class EvenSlotLimits implements SlotLimits {
  readonly #seats: SeatDirectory;
  readonly #entries = new Map<EndpointId, EndpointEntry>();
  #seatsByZone = new Map<string, number>();

  constructor(seats: SeatDirectory) {
    this.#seats = seats;
  }

  adopt(document: SteeringDocument): void {
    this.#entries.clear();
    for (const service of Object.values(document.services)) {
      for (const [id, entry] of Object.entries(service.endpoints)) {
        this.#entries.set(id as EndpointId, entry);
      }
    }
    const zones = Object.values(document.regions).flatMap((r) =>
      Object.entries(r.zones)
    );
    this.#seatsByZone = new Map(zones.map(([id, z]) => [id, z.instances]));
  }

  limit(endpoint: EndpointId, now: number): number {
    const entry = this.#entries.get(endpoint);
    if (entry === undefined) return 0;
    const seatCount = this.#seatsByZone.get(entry.zone) ?? 0;
    return this.#seats.held(now)
      .filter((s) => s.zone === entry.zone)
      .reduce(
        (n, s) =>
          n + Math.floor(evenShare(entry.slots, s.index, seatCount) * s.part),
        0,
      );
  }

  report(): void {}
}

/** Slots that follow demand within a zone: unused ones are lent. */
export class LeasedSlotLimits implements SlotLimits {
  readonly #budgets: SlotBudgets;

  constructor(budgets: SlotBudgets) {
    this.#budgets = budgets;
  }

  adopt(document: SteeringDocument): void {
    this.#budgets.adopt(document);
  }

  limit(endpoint: EndpointId, now: number): number {
    return this.#budgets.limit(endpoint, now);
  }

  report(
    endpoint: EndpointId,
    { wanted }: { inFlight: number; wanted: number },
  ): void {
    this.#budgets.setWanted(endpoint, wanted);
  }
}
