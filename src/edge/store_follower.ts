/**
 * Keeps an instance's plan, endpoints and evacuations current with the store,
 * by watching it or through the peers that do.
 *
 * @module
 */
import type { Clock, Log, Random } from "../core/mod.ts";
import type {
  Digest,
  GroupReport,
  Roles,
  StoreWatchState,
} from "../fleet/mod.ts";
import type { TrafficPlan } from "../traffic/mod.ts";
import type {
  FetchFromPeer,
  RelayedChanges,
  RelayedSnapshot,
} from "../watcher/mod.ts";
import { ExpiryGuard } from "./expiry_guard.ts";
import {
  EndpointHandler,
  EvacuationHandler,
  PlanHandler,
} from "./steering_handlers.ts";
import type { SteeringSources } from "./steering_sources.ts";
import { SteeringWatchers } from "./steering_watchers.ts";
import { StoreContact } from "./store_contact.ts";
import type { TrafficState } from "./traffic_state.ts";

/** Dependencies of a follower. */
export interface StoreFollowerOptions {
  readonly state: TrafficState;
  readonly sources: Omit<SteeringSources, "instances">;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** How long to wait for a snapshot from peers at the start, in ms. */
  readonly peersFirstMs: number;
  /** Sends changes to the peers that do not watch the store. */
  readonly relay: (changes: RelayedChanges) => void;
  readonly fetch: FetchFromPeer;
  readonly onPlanAdopted: (plan: TrafficPlan) => void;
  readonly onEndpointsListed: () => void;
}

/** What an instance reports of its contact with the store. */
export type StoreReport = Pick<
  Digest,
  "storeInTouch" | "storeContactMs" | "changes"
>;

/** Follows the store for one instance. */
export class StoreFollower {
  readonly #clock: Clock;
  readonly #contact = new StoreContact();
  readonly #expiry: ExpiryGuard;
  readonly #endpoints: EndpointHandler;
  readonly #watchers: SteeringWatchers;
  #endpointsListed = false;

  constructor(opts: StoreFollowerOptions) {
    const { state, clock, log, onPlanAdopted } = opts;
    this.#clock = clock;
    this.#expiry = new ExpiryGuard(this.#contact, log);
    this.#endpoints = new EndpointHandler({
      state,
      clock,
      log,
      expiry: this.#expiry,
      onListed: () => {
        this.#endpointsListed = true;
        opts.onEndpointsListed();
      },
    });
    this.#watchers = new SteeringWatchers({
      ...opts,
      handlers: {
        plans: new PlanHandler(state, log, onPlanAdopted),
        endpoints: this.#endpoints,
        evacuations: new EvacuationHandler(state, clock, log),
      },
      onAnswer: () => this.#contact.answered(clock.now()),
    });
  }

  /** Whether the endpoints were read, from the store or a peer. */
  get endpointsListed(): boolean {
    return this.#endpointsListed;
  }

  /** Starts to follow the store. */
  run(): void {
    this.#watchers.run();
  }

  report(): StoreReport {
    return {
      storeInTouch: this.#endpointsListed && this.#expiry.isConnected,
      storeContactMs: this.#contact.lengthMs(this.#clock.now()),
      changes: this.#watchers.changes(),
    };
  }

  /** All objects of a kind; undefined before the kind was read. */
  snapshot(kind: string): RelayedSnapshot | undefined {
    return this.#watchers.snapshot(kind);
  }

  /** Applies what a peer or a group of them reports of the store. */
  onReport({ storeContactMs = 0, changes }: GroupReport, now: number): void {
    this.#contact.reported(storeContactMs, now);
    this.#watchers.onPeerRevisions(changes);
  }

  /** Applies changes that a peer relays. */
  onRelayed(changes: RelayedChanges): void {
    this.#watchers.applyRelayed(changes);
  }

  /**
   * Watches the store or relies on the peers that do. Without a report of theirs
   * this instance knows nothing of the store.
   */
  onRoles(
    { isStoreWatcher }: Pick<Roles, "isStoreWatcher">,
    watchedByPeers: StoreWatchState,
  ): void {
    const now = this.#clock.now();
    this.#watchers.setWatching(isStoreWatcher);
    if (isStoreWatcher) return;
    if (watchedByPeers === "up") this.#expiry.regained(now, "watchers");
    if (watchedByPeers === "down") this.#expiry.lost(now, "watchers");
  }

  close(): void {
    this.#watchers.close();
    this.#endpoints.close();
  }
}
