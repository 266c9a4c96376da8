/**
 * Where owners record their intents and answers a second time.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure, sleep } from "../core/mod.ts";
import type { LedgerEntry } from "../gen/ledger_pb.ts";
import { conclusionEntry, intentEntry, resultFromWire } from "./codec.ts";
import type { Place } from "./home_token.ts";
import type {
  Conclusion,
  IntentEntry,
  OperationName,
  PlaceDecision,
} from "./ledger.ts";
import type { KnownPlace, PlaceTable, Vicinity } from "./places.ts";
import type { Settled, SettleQueue } from "./settle_queue.ts";
import { STORE_PLACE, type StorePlace } from "./store_place.ts";

/** An intent that some place holds. */
export interface Placed {
  readonly place: Place;
  readonly decision: PlaceDecision;
}

/** Records intents and conclusions outside this instance. */
export interface SecondPlaces {
  /** The place that a new home token names; undefined if there is none. */
  current(): Place | undefined;
  /**
   * Records an intent at `second`, or at whichever place can be had.
   *
   * Fails with `peer_unavailable`, outcome `not-run`, where none can.
   */
  record(intent: IntentEntry, second?: Place): Promise<Result<Placed, Failure>>;
  /** Tells a place how a run ended; lost after a few tries. */
  conclude(
    place: Place,
    told: { name: OperationName; run: string; conclusion: Conclusion },
  ): Promise<void>;
}

/** What peers as second places need. */
export interface PeerSecondPlacesDeps {
  readonly self: Place & Vicinity;
  readonly places: PlaceTable;
  readonly queue: SettleQueue;
  readonly clock: Clock;
}

const MAX_PLACES_TRIED = 2;
const CONCLUDE_TRIES = 3;
const CONCLUDE_RETRY_MS = 200;

/** Peers as second places. */
export class PeerSecondPlaces implements SecondPlaces {
  readonly #deps: PeerSecondPlacesDeps;

  constructor(deps: PeerSecondPlacesDeps) {
    this.#deps = deps;
  }

  current(): Place | undefined {
    return this.#deps.places.candidates(this.#deps.self)[0];
  }

  async record(
    intent: IntentEntry,
    second?: Place,
  ): Promise<Result<Placed, Failure>> {
    const { places, self } = this.#deps;
    // A kept connection may just have been closed by its other end. An intent
    // may come twice, so it is sent once more before the place is given up.
    const known = second
      ? [places.find(second), places.find(second)]
      : places.candidates(self);
    for (const place of known.slice(0, MAX_PLACES_TRIED)) {
      if (place === undefined) continue;
      const settled = await this.#send(place, intentEntry(intent));
      if (settled.isErr()) continue;
      const decision = resultFromWire(settled.value.result);
      const passedOn = !decision.accepted && decision.state === "none";
      if (!passedOn) return ok({ place, decision });
    }
    return fail("peer_unavailable", "no second place can be reached", {
      outcome: "not-run",
    });
  }

  async conclude(
    place: Place,
    told: { name: OperationName; run: string; conclusion: Conclusion },
  ): Promise<void> {
    const entry = conclusionEntry(told.name, told.run, told.conclusion);
    for (let i = 0; i < CONCLUDE_TRIES; i++) {
      const known = this.#deps.places.find(place);
      if (known === undefined) return;
      if ((await this.#send(known, entry)).isOk()) return;
      await sleep(this.#deps.clock, CONCLUDE_RETRY_MS);
    }
  }

  async #send(
    place: KnownPlace,
    entry: LedgerEntry,
  ): Promise<Result<Settled, Failure>> {
    const settled = await this.#deps.queue.send(place, entry);
    if (settled.isOk()) return ok(settled.value);
    this.#deps.places.suspect(place);
    return err(settled.error);
  }
}

/** Peers first, then the store. */
export class FleetSecondPlaces implements SecondPlaces {
  readonly #peers: PeerSecondPlaces;
  readonly #store: StorePlace;

  constructor(peers: PeerSecondPlaces, store: StorePlace) {
    this.#peers = peers;
    this.#store = store;
  }

  current(): Place | undefined {
    return this.#peers.current() ??
      (this.#store.usable ? STORE_PLACE : undefined);
  }

  async record(
    intent: IntentEntry,
    second?: Place,
  ): Promise<Result<Placed, Failure>> {
    if (!isStore(second)) {
      const placed = await this.#peers.record(intent, second);
      if (placed.isOk() || second !== undefined) return placed;
    }
    const decision = await this.#store.record(intent);
    return decision.map((d) => ({ place: STORE_PLACE, decision: d }));
  }

  async conclude(
    place: Place,
    told: { name: OperationName; run: string; conclusion: Conclusion },
  ): Promise<void> {
    if (!isStore(place)) return await this.#peers.conclude(place, told);
    this.#store.conclude(told.name, told.run, told.conclusion);
  }
}

/** Whether a place is the store. */
export function isStore(place: Place | undefined): boolean {
  return place?.instance === STORE_PLACE.instance &&
    place.incarnation === STORE_PLACE.incarnation;
}
