/**
 * What falls to this instance of a total: its seats' parts of all seats.
 *
 * Whatever is divided is divided by the document, so a change of the number of
 * seats must not let two instances count by different documents. A part falls
 * at once when the document says so; it rises only after every seat holder is
 * known to run that document and every loan made under the older one has
 * ended. Otherwise the sum of the parts passes the total for as long as an
 * instance lags, which shows as an account above its rate after a change of
 * the regions section. For the same reason a seat that changed hands counts
 * only after its former holder's loans have surely ended.
 *
 * @module
 */
import type { ZoneId } from "../../core/mod.ts";
import { type SteeringDocument, zonesOf } from "../../document/mod.ts";
import type { HeldSeat, SeatDirectory } from "../../membership/mod.ts";

/** An amount, and when it ends unless it is renewed. */
export interface Entitlement {
  readonly amount: number;
  readonly until: number;
}

interface Division {
  readonly generation: number;
  readonly byZone: ReadonlyMap<ZoneId, number>;
  readonly seats: number;
  /** When this instance took it over. */
  readonly since: number;
}

interface SeenSeat {
  epoch: number;
  since: number;
}

/** What seat shares need. */
export interface SeatSharesDeps {
  readonly instance: string;
  readonly seats: SeatDirectory;
  /** How long work and loans of an older division may last, in milliseconds. */
  readonly holdMs: () => number;
}

const FIRST_EPOCH = 1;

/** Before the first document nothing was divided, so no part is anybody's. */
const NO_DIVISION: Division = {
  generation: -1,
  byZone: new Map(),
  seats: 0,
  since: -Infinity,
};

/** Turns held seats into parts. */
export class SeatShares {
  readonly #deps: SeatSharesDeps;
  readonly #seen = new Map<string, SeenSeat>();
  readonly #settled = new Map<string, number>();
  /** Oldest first; more than one while a change is not yet known everywhere. */
  #divisions: Division[] = [NO_DIVISION];
  #generation = 0;
  /** The newest generation of the division before the present one. */
  #formerGeneration = 0;

  constructor(deps: SeatSharesDeps) {
    this.#deps = deps;
  }

  /** Takes over a newly accepted document. */
  adopt(document: SteeringDocument, generation: number, now: number): void {
    const byZone = new Map(
      zonesOf(document).map(({ zone, instances }) => [zone, instances]),
    );
    const former = this.#generation;
    this.#generation = generation;
    const newest = this.#divisions[this.#divisions.length - 1] ?? NO_DIVISION;
    if (sameDivision(newest.byZone, byZone)) return;
    const seats = [...byZone.values()].reduce((n, i) => n + i, 0);
    // An instance that begins has nothing in use by an older division.
    const since = newest === NO_DIVISION ? -Infinity : now;
    this.#formerGeneration = former;
    this.#divisions.push({ generation, byZone, seats, since });
  }

  /** How many seats and zones totals are divided over. */
  get size(): { readonly seats: number; readonly zones: number } {
    const newest = this.#divisions[this.#divisions.length - 1] ?? NO_DIVISION;
    return { seats: newest.seats, zones: newest.byZone.size };
  }

  /** The newest generation by whose division alone this instance works. */
  settledGeneration(now: number): number {
    const newest = this.#divisions[this.#divisions.length - 1] ?? NO_DIVISION;
    const settled = now >= newest.since + this.#deps.holdMs();
    return settled ? this.#generation : this.#formerGeneration;
  }

  /** Takes in by which generation's division another instance works. */
  hear(instance: string, settledGeneration: number): void {
    this.#settled.set(instance, settledGeneration);
  }

  /** Drops older divisions once every seat holder works by the newest. */
  run(now: number): void {
    const newest = this.#divisions[this.#divisions.length - 1];
    if (newest === undefined || this.#divisions.length === 1) return;
    this.hear(this.#deps.instance, this.settledGeneration(now));
    const agreed = this.#deps.seats.entries().every((seat) =>
      seat.holder === undefined ||
      (this.#settled.get(seat.holder) ?? -1) >= newest.generation
    );
    if (agreed) this.#divisions = [newest];
  }

  /**
   * The part of a fleet-wide total, from 0 to 1.
   *
   * `holdMs` is how long parts may still be in use at a seat's former holder.
   */
  fraction(now: number, holdMs: number): Entitlement {
    return this.#least(now, holdMs, (seat, division) => {
      const seats = division.byZone.get(seat.zone) ?? 0;
      return seat.index < seats ? seat.part / division.seats : 0;
    });
  }

  /**
   * Whether there are seats and all of them count, so that this instance has
   * what falls to it. Until then whoever relies on it finds no room here.
   */
  settled(now: number, holdMs: number): boolean {
    const held = this.#deps.seats.held(now);
    return held.length > 0 &&
      held.every((seat) => this.#counts(seat, now, holdMs));
  }

  /** Whole units of a total that belongs to one availability zone. */
  units(
    total: number,
    { zone, now, holdMs }: { zone: ZoneId; now: number; holdMs: number },
  ): Entitlement {
    return this.#least(now, holdMs, (seat, division) => {
      const seats = division.byZone.get(zone) ?? 0;
      if (seat.zone !== zone || seat.index >= seats) return 0;
      return Math.floor(evenUnits(total, seat.index, seats) * seat.part);
    });
  }

  /** The smallest of what the divisions still in use leave to this instance. */
  #least(
    now: number,
    holdMs: number,
    partOf: (seat: HeldSeat, division: Division) => number,
  ): Entitlement {
    const held = this.#deps.seats.held(now);
    let amount = Infinity;
    let until = Infinity;
    for (const division of this.#divisions) {
      let sum = 0;
      for (const seat of held) {
        until = Math.min(until, seat.until);
        if (!this.#counts(seat, now, holdMs)) continue;
        if (division === NO_DIVISION && seat.epoch > FIRST_EPOCH) {
          // The seat stood before this instance began, so it was divided then.
          sum = Infinity;
        } else sum += partOf(seat, division);
      }
      amount = Math.min(amount, sum);
    }
    return { amount: Number.isFinite(amount) ? amount : 0, until };
  }

  #counts(seat: HeldSeat, now: number, holdMs: number): boolean {
    if (seat.epoch <= FIRST_EPOCH) return true;
    const key = `${seat.zone}/${seat.index}`;
    const seen = this.#seen.get(key);
    if (seen !== undefined && seen.epoch === seat.epoch) {
      return now >= seen.since + holdMs;
    }
    this.#seen.set(key, { epoch: seat.epoch, since: now });
    return false;
  }
}

/** The part of `total` whole units that falls to a seat. */
export function evenUnits(total: number, index: number, of: number): number {
  return Math.floor(total / of) + (index < total % of ? 1 : 0);
}

function sameDivision(
  a: ReadonlyMap<ZoneId, number>,
  b: ReadonlyMap<ZoneId, number>,
): boolean {
  if (a.size !== b.size) return false;
  return [...a].every(([zone, seats]) => b.get(zone) === seats);
}
