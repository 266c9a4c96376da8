/**
 * Operations whose home a token names.
 *
 * @module
 */
import type { Clock, Metrics } from "../core/mod.ts";
import { fenceEntry, resultFromWire } from "./codec.ts";
import { type Forwarder, outOfTime } from "./forwarder.ts";
import {
  formatHome,
  type HomeToken,
  type Place,
  scopeOf,
  TOKEN_LIFE_MS,
} from "./home_token.ts";
import type { Ledger, OperationName, RecordView } from "./ledger.ts";
import type { OperationRequest, RunResult } from "./operations.ts";
import type { OwnedOperations } from "./owned_operations.ts";
import type { PlaceTable } from "./places.ts";
import type { RegionHistory } from "./region_history.ts";
import { isStore, type SecondPlaces } from "./second_places.ts";
import type { SecondSide } from "./second_side.ts";
import type { SettleQueue } from "./settle_queue.ts";
import type { StorePlace } from "./store_place.ts";
import { refused, unknown, verdictOf } from "./verdict.ts";

/** What token homes need. */
export interface TokenHomesDeps {
  readonly self: Place;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly ledger: Ledger;
  readonly places: PlaceTable;
  readonly history: RegionHistory;
  readonly queue: SettleQueue;
  readonly store: StorePlace;
  readonly seconds: SecondPlaces;
  readonly owned: OwnedOperations;
  readonly secondSide: SecondSide;
  readonly forwarder: Forwarder;
}

/** Runs operations at the home that their token names. */
export class TokenHomes {
  readonly #deps: TokenHomesDeps;
  /** Tokens handed out up to here start nothing: some were refused for good. */
  #refusedUpToMs = -1;

  constructor(deps: TokenHomesDeps) {
    this.#deps = deps;
  }

  /** A token that names this instance; undefined while it takes nothing new. */
  ownHome(): string | undefined {
    const { ledger, seconds, self, clock } = this.#deps;
    if (ledger.full || ledger.closed) return undefined;
    const second = seconds.current();
    if (second === undefined) return undefined;
    const issuedMs = clock.now();
    return formatHome({ owner: self, second, issuedMs, round: 0 });
  }

  /** Runs the operation at its home, or says what is known of it. */
  async run(req: OperationRequest, home: HomeToken): Promise<RunResult> {
    const { clock, forwarder, history, places } = this.#deps;
    const own = this.own(req, home);
    if (own) return await own;
    const until = clock.now() + req.patienceMs;
    const heir = history.resolve(home.owner);
    if (heir !== home.owner) return await this.#ask(req, { home, place: heir });
    const owner = places.find(home.owner);
    const forwarded = owner && !places.isSilent(owner)
      ? await forwarder.send(req, owner)
      : undefined;
    if (forwarded?.isOk()) return forwarded.value;
    if (clock.now() >= until) return outOfTime();
    const place = history.resolve(home.second);
    return await this.#ask(req, { home, place });
  }

  /** Runs the operation if this instance is its home; else undefined. */
  own(req: OperationRequest, home: HomeToken): Promise<RunResult> | undefined {
    if (!this.#isSelf(home.owner)) return undefined;
    const { forwarder, ledger, owned } = this.#deps;
    const name = nameOf(req, home);
    const closed = ledger.knows(name) ? undefined : this.#closedFor(home);
    if (closed) return Promise.resolve(closed);
    const ground = { name, second: home.second, holds: () => true };
    return forwarder.patiently(req, owned.attempt(req, ground));
  }

  /**
   * Why a token starts nothing new. When the ledger is full there is no room
   * to remember each refusal, so all tokens handed out so far end together: a
   * late copy of a refused attempt must not run once there is room again.
   */
  #closedFor(home: HomeToken): RunResult | undefined {
    const { clock, ledger } = this.#deps;
    const now = clock.now();
    if (now - home.issuedMs > TOKEN_LIFE_MS) {
      return unknown("came with a home that is too old");
    }
    if (ledger.full || ledger.closed) this.#refusedUpToMs = Math.floor(now);
    if (home.issuedMs > this.#refusedUpToMs) return undefined;
    return refused("no more operations can be remembered at this home");
  }

  /** The owner is out of reach; another place says what is known. */
  async #ask(
    req: OperationRequest,
    { home, place }: { home: HomeToken; place: Place },
  ): Promise<RunResult> {
    this.#deps.metrics.count("operations.owner_lost");
    const view = await this.#view(nameOf(req, home), { home, place });
    if (view === undefined) return unknown("has its records out of reach");
    return verdictOf(view, req.fingerprint);
  }

  async #view(
    name: OperationName,
    { home, place }: { home: HomeToken; place: Place },
  ): Promise<RecordView | undefined> {
    const { places, queue, secondSide, store } = this.#deps;
    if (isStore(place)) return await store.ask(home.owner.incarnation, name);
    if (this.#isSelf(place)) return secondSide.fence(name, home.issuedMs);
    const known = places.find(place);
    if (known === undefined) return undefined;
    const entry = fenceEntry(name, { issuedMs: home.issuedMs });
    const settled = await queue.send(known, entry);
    if (settled.isErr()) return undefined;
    return resultFromWire(settled.value.result);
  }

  #isSelf(place: Place): boolean {
    return place.incarnation === this.#deps.self.incarnation;
  }
}

function nameOf(req: OperationRequest, home: HomeToken): OperationName {
  return { account: req.account, id: req.id, scope: scopeOf(home) };
}
