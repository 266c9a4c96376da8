/**
 * Computes this instance's share of a total from the seats it holds.
 *
 * Totals are divided over the seats in the document, so instances must not use
 * different documents at once when the number of seats changes. A share
 * decreases at once when the document says so; it increases only after every
 * seat holder is known to use that document and every loan made under the older
 * one has expired. Otherwise the shares would exceed the total while an
 * instance lags, which shows as an account above its rate after a change of the
 * regions section. For the same reason a seat with a new holder is used only
 * after the former holder's loans are sure to have expired.
 *
 * @module
 */
import type { ZoneId } from "../../core/mod.ts";
import { type SteeringDocument, zonesOf } from "../../document/mod.ts";
import type { HeldSeat, SeatDirectory } from "../../membership/mod.ts";

/** An amount, and when it expires unless renewed. */
export interface Entitlement {
  readonly amount: number;
  readonly until: number;
}

interface SeatLayout {
  readonly generation: number;
  readonly byZone: ReadonlyMap<ZoneId, number>;
  readonly seats: number;
  /** When this instance adopted it. */
  readonly since: number;
}

interface SeenSeat {
  epoch: number;
  since: number;
}

/** Dependencies of seat shares. */
export interface SeatSharesDeps {
  readonly instance: string;
  readonly seats: SeatDirectory;
  /** How long requests and loans of an older layout may last, in milliseconds. */
  readonly holdMs: () => number;
}

const FIRST_EPOCH = 1;

/** The layout before the first document, in which no instance has a share. */
const NO_LAYOUT: SeatLayout = {
  generation: -1,
  byZone: new Map(),
  seats: 0,
  since: -Infinity,
};

/** Converts held seats into shares of totals. */
export class SeatShares {
  readonly #deps: SeatSharesDeps;
  readonly #seenSeats = new Map<string, SeenSeat>();
  readonly #settledGenerations = new Map<string, number>();
  /** Oldest first; more than one until all seat holders use the newest. */
  #layouts: SeatLayout[] = [NO_LAYOUT];
  #generation = 0;
  /** The newest generation before the present layout. */
  #previousGeneration = 0;

  constructor(deps: SeatSharesDeps) {
    this.#deps = deps;
  }

  /** Applies a newly accepted document. */
  adopt(document: SteeringDocument, generation: number, now: number): void {
    const byZone = new Map(
      zonesOf(document).map(({ zone, instances }) => [zone, instances]),
    );
    const previous = this.#generation;
    this.#generation = generation;
    const newest = this.#layouts[this.#layouts.length - 1] ?? NO_LAYOUT;
    if (sameLayout(newest.byZone, byZone)) return;
    const seats = [...byZone.values()].reduce((n, i) => n + i, 0);
    // A starting instance has no requests or loans under an older layout.
    const since = newest === NO_LAYOUT ? -Infinity : now;
    this.#previousGeneration = previous;
    this.#layouts.push({ generation, byZone, seats, since });
  }

  /** The number of seats and zones that totals are divided over. */
  get size(): { readonly seats: number; readonly zones: number } {
    const newest = this.#layouts[this.#layouts.length - 1] ?? NO_LAYOUT;
    return { seats: newest.seats, zones: newest.byZone.size };
  }

  /** The newest generation with no requests or loans of an older layout. */
  settledGeneration(now: number): number {
    const newest = this.#layouts[this.#layouts.length - 1] ?? NO_LAYOUT;
    const settled = now >= newest.since + this.#deps.holdMs();
    return settled ? this.#generation : this.#previousGeneration;
  }

  /** Records the settled generation reported by another instance. */
  recordSettledGeneration(instance: string, settledGeneration: number): void {
    this.#settledGenerations.set(instance, settledGeneration);
  }

  /** Drops older layouts once every seat holder has settled on the newest. */
  run(now: number): void {
    const newest = this.#layouts[this.#layouts.length - 1];
    if (newest === undefined || this.#layouts.length === 1) return;
    this.recordSettledGeneration(
      this.#deps.instance,
      this.settledGeneration(now),
    );
    const agreed = this.#deps.seats.entries().every((seat) =>
      seat.holder === undefined ||
      (this.#settledGenerations.get(seat.holder) ?? -1) >= newest.generation
    );
    if (agreed) this.#layouts = [newest];
  }

  /**
   * This instance's fraction of a fleet-wide total, from 0 to 1.
   *
   * `holdMs` is how long a seat's former holder may still use its share.
   */
  fraction(now: number, holdMs: number): Entitlement {
    return this.#minOverLayouts(now, holdMs, (seat, layout) => {
      const seats = layout.byZone.get(seat.zone) ?? 0;
      return seat.index < seats ? seat.part / layout.seats : 0;
    });
  }

  /**
   * Whether this instance holds seats and may use all of them. Until then it
   * cannot serve its full share.
   */
  settled(now: number, holdMs: number): boolean {
    const held = this.#deps.seats.held(now);
    return held.length > 0 &&
      held.every((seat) => this.#isUsable(seat, now, holdMs));
  }

  /** This instance's whole units of one availability zone's total. */
  units(
    total: number,
    { zone, now, holdMs }: { zone: ZoneId; now: number; holdMs: number },
  ): Entitlement {
    return this.#minOverLayouts(now, holdMs, (seat, layout) => {
      const seats = layout.byZone.get(zone) ?? 0;
      if (seat.zone !== zone || seat.index >= seats) return 0;
      return Math.floor(evenShare(total, seat.index, seats) * seat.part);
    });
  }

  /** The smallest amount for this instance over the layouts still in use. */
  #minOverLayouts(
    now: number,
    holdMs: number,
    partOf: (seat: HeldSeat, layout: SeatLayout) => number,
  ): Entitlement {
    const held = this.#deps.seats.held(now);
    let amount = Infinity;
    let until = Infinity;
    for (const layout of this.#layouts) {
      let sum = 0;
      for (const seat of held) {
        until = Math.min(until, seat.until);
        if (!this.#isUsable(seat, now, holdMs)) continue;
        if (layout === NO_LAYOUT && seat.epoch > FIRST_EPOCH) {
          // The seat had an earlier holder, so totals were already divided.
          sum = Infinity;
        } else sum += partOf(seat, layout);
      }
      amount = Math.min(amount, sum);
    }
    return { amount: Number.isFinite(amount) ? amount : 0, until };
  }

  #isUsable(seat: HeldSeat, now: number, holdMs: number): boolean {
    if (seat.epoch <= FIRST_EPOCH) return true;
    const key = `${seat.zone}/${seat.index}`;
    const seen = this.#seenSeats.get(key);
    if (seen !== undefined && seen.epoch === seat.epoch) {
      return now >= seen.since + holdMs;
    }
    this.#seenSeats.set(key, { epoch: seat.epoch, since: now });
    return false;
  }
}

/** A seat's share of `total` whole units, split evenly over `count` seats. */
export function evenShare(total: number, index: number, count: number): number {
  return Math.floor(total / count) + (index < total % count ? 1 : 0);
}

function sameLayout(
  a: ReadonlyMap<ZoneId, number>,
  b: ReadonlyMap<ZoneId, number>,
): boolean {
  if (a.size !== b.size) return false;
  return [...a].every(([zone, seats]) => b.get(zone) === seats);
}
