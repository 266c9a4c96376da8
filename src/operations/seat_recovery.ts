/**
 * What a seat's new holder has to ask before it runs an id that it has no
 * record of.
 *
 * The earlier holder may have run the id and recorded it at any instance of
 * the region. Were one of them left out, a hold on a lot would be placed
 * twice when its caller retries after the change of holders.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { SeatDirectory } from "../membership/mod.ts";
import { fenceEntry, resultFromWire } from "./codec.ts";
import { type Place, publicIncarnation } from "./home_token.ts";
import type { Ledger, OperationName, RecordView, SeatEpoch } from "./ledger.ts";
import type { KnownPlace, PlaceTable, Vicinity } from "./places.ts";
import type { RegionHistory } from "./region_history.ts";
import type { SettleQueue } from "./settle_queue.ts";
import type { StorePlace } from "./store_place.ts";

/** What a recovery needs. */
export interface SeatRecoveryDeps {
  readonly self: Place & Vicinity;
  readonly clock: Clock;
  readonly seats: SeatDirectory;
  readonly ledger: Ledger;
  readonly places: PlaceTable;
  readonly history: RegionHistory;
  readonly queue: SettleQueue;
  readonly store: StorePlace;
}

/** What the others know of an id. */
export type Recovered =
  | { readonly kind: "known"; readonly view: RecordView }
  /** Nobody knows it, and all who could were asked. */
  | { readonly kind: "clear" }
  | { readonly kind: "incomplete" };

interface Asked {
  readonly place: KnownPlace;
  readonly view: RecordView | undefined;
  readonly historyMs: number;
  readonly lost: readonly string[];
  /** Whom that place knows to be there. */
  readonly heard: readonly string[];
}

/**
 * An operation is recorded twice, so one lost instance leaves a record of each
 * at another one. With two lost, both records may be gone.
 */
const MAX_LOST = 1;

/** Asks the region about ids of a seat's earlier epochs. */
export class SeatRecovery {
  readonly #deps: SeatRecoveryDeps;
  readonly #heldSince = new Map<string, number>();
  /** Seats whose first holder ever is covered by what is known here. */
  readonly #firstSeen = new Set<string>();

  constructor(deps: SeatRecoveryDeps) {
    this.#deps = deps;
  }

  /** Notes who holds which seat, and since when; to be run each tick. */
  sweep(now: number): void {
    this.#noteFirstHolders();
    const held = new Set(this.#deps.seats.held(now).map(seatKey));
    for (const key of this.#heldSince.keys()) {
      if (!held.has(key)) this.#heldSince.delete(key);
    }
    for (const key of held) {
      if (!this.#heldSince.has(key)) this.#heldSince.set(key, now);
    }
  }

  /**
   * A young fleet has no long history. A seat's second holder can still know
   * everybody that the first one used, if the first was heard here.
   */
  #sawAllHolders(seat: SeatEpoch): boolean {
    return seat.epoch <= 2 &&
      this.#firstSeen.has(seatKey({ ...seat, epoch: 1 }));
  }

  #noteFirstHolders(): void {
    const { seats, places, history, self } = this.#deps;
    for (const seat of seats.entries()) {
      if (seat.epoch !== 1 || seat.holder === undefined) continue;
      if (this.#firstSeen.has(seatKey(seat))) continue;
      const holder = seat.holder === self.instance
        ? self
        : places.named(seat.holder);
      if (holder === undefined || !history.covers(holder.incarnation)) continue;
      const other = seat.incarnation !== "" &&
        publicIncarnation(seat.incarnation) !== holder.incarnation;
      if (other) continue;
      this.#firstSeen.add(seatKey(seat));
    }
  }

  /** Whether an earlier holder's operations may still be retried. */
  needed(seat: SeatEpoch): boolean {
    if (seat.epoch <= 1) return false;
    const { clock, ledger } = this.#deps;
    const now = clock.now();
    const since = this.#heldSince.get(seatKey(seat)) ?? now;
    return now - since < ledger.limits.retentionMs;
  }

  /** Asks everybody who could know the id; shuts out earlier holders. */
  async ask(name: OperationName, seat: SeatEpoch): Promise<Recovered> {
    const { ledger, clock } = this.#deps;
    const here = ledger.fence(name, { seat, now: clock.now() });
    if (here.state !== "none") return { kind: "known", view: here };
    const region = this.#regionOf(seat.zone);
    const asked = await Promise.all(
      this.#placesOf(region).map((place) => this.#askPlace(place, name, seat)),
    );
    const known = asked.flatMap(({ view }) => view ? [view] : [])
      .filter((view) => view.state !== "none")
      .sort((a, b) => rank(b) - rank(a))[0];
    if (known) return { kind: "known", view: known };
    return await this.#judge(asked, { name, region, seat });
  }

  async #judge(
    asked: readonly Asked[],
    { name, region, seat }: {
      name: OperationName;
      region: string;
      seat: SeatEpoch;
    },
  ): Promise<Recovered> {
    const { history, ledger, self, store } = this.#deps;
    const answered = asked.filter((a) => a.view !== undefined);
    const here = region === self.region;
    const histories = answered.map((a) => a.historyMs);
    if (here) histories.push(history.lengthMs);
    const missing = this.#missing(asked, here);
    const tooFew = Math.max(0, ...histories) < ledger.limits.retentionMs &&
      !this.#sawAllHolders(seat);
    const heirLost = missing.some((m) => history.isHeir(m));
    if (tooFew || heirLost || missing.length > MAX_LOST) {
      return { kind: "incomplete" };
    }
    for (const incarnation of missing) {
      const view = await store.ask(incarnation, name);
      if (view.state === "refused") continue;
      if (view.state === "unknown") return { kind: "incomplete" };
      return { kind: "known", view };
    }
    return { kind: "clear" };
  }

  /**
   * Incarnations that did not answer, or that somebody says were lost or are
   * there. The last matter where messages are lost: a newcomer may have heard
   * nothing yet of the very place that holds the record, and an operation
   * would run twice for want of one question.
   */
  #missing(asked: readonly Asked[], here: boolean): string[] {
    const { history, self } = this.#deps;
    const answered = new Set([self.incarnation]);
    const named = here ? [...history.lost(), ...history.present()] : [];
    for (const { place, view, lost, heard } of asked) {
      if (view !== undefined) answered.add(place.incarnation);
      named.push(place.incarnation, ...lost, ...heard);
    }
    // Who left in good order is answered for by its heir.
    const holders = named.map((incarnation) =>
      history.resolve({ instance: "", incarnation }).incarnation
    );
    return [...new Set(holders)].filter((i) => !answered.has(i));
  }

  async #askPlace(
    place: KnownPlace,
    name: OperationName,
    seat: SeatEpoch,
  ): Promise<Asked> {
    const settled = await this.#deps.queue.send(
      place,
      fenceEntry(name, { seat }),
    );
    if (settled.isErr()) {
      return { place, view: undefined, historyMs: 0, lost: [], heard: [] };
    }
    const { result, response } = settled.value;
    const { historyMs, lost, heard } = response;
    return { place, view: resultFromWire(result), historyMs, lost, heard };
  }

  #placesOf(region: string): KnownPlace[] {
    const { history, places } = this.#deps;
    return places.all().filter((p) =>
      p.region === region && history.resolve(p) === p
    );
  }

  #regionOf(zone: string): string {
    const { places, self } = this.#deps;
    if (zone === self.zone) return self.region;
    return places.all().find((p) => p.zone === zone)?.region ?? "";
  }
}

function rank(view: RecordView): number {
  return ["none", "refused", "intent", "unknown", "answered"]
    .indexOf(view.state);
}

function seatKey({ zone, index, epoch }: SeatEpoch): string {
  return `${zone} ${index} ${epoch}`;
}
