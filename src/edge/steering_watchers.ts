/**
 * Watchers of the resource kinds that an instance steers by.
 *
 * @module
 */
import type { Clock, Log, Random } from "../core/mod.ts";
import {
  type FetchFromPeer,
  type RelayedChanges,
  type RelayedSnapshot,
  type ResourceClient,
  type ResourceHandler,
  ResourceWatcher,
  WatchCalls,
} from "../watcher/mod.ts";
import type { EndpointRecord, TrafficPlan } from "../traffic/mod.ts";
import type { SteeringSources } from "./steering_sources.ts";

/** Resource kinds under the names that gossip uses. */
export const RESOURCE_KINDS = ["plans", "endpoints", "evacuations"] as const;

/** Handlers by resource kind. */
export interface SteeringHandlers {
  readonly plans: ResourceHandler<TrafficPlan>;
  readonly endpoints: ResourceHandler<EndpointRecord>;
  readonly evacuations: ResourceHandler<true>;
}

/** Dependencies of the watchers. */
export interface SteeringWatchersOptions {
  readonly sources: Omit<SteeringSources, "instances">;
  readonly handlers: SteeringHandlers;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly relay: (changes: RelayedChanges) => void;
  readonly fetch: FetchFromPeer;
  /** How long to wait for a snapshot from peers at the start, in ms. */
  readonly peersFirstMs: number;
  /** Called at each answer of the store. */
  readonly onAnswer: () => void;
}

/** One watcher per resource kind. */
export class SteeringWatchers {
  readonly #watchers: ReadonlyMap<string, ResourceWatcher<unknown>>;

  constructor(opts: SteeringWatchersOptions) {
    const { sources, handlers, ...deps } = opts;
    const calls = new WatchCalls({
      ...deps,
      kinds: RESOURCE_KINDS,
      // The sources share the connections of one client.
      renewConnections: () => sources.plans.renewConnections?.(),
    });
    const common = { ...deps, calls };
    const createWatcher = <T>(
      kind: string,
      source: ResourceClient<T>,
      handler: ResourceHandler<T>,
    ): [string, ResourceWatcher<unknown>] => [
      kind,
      new ResourceWatcher({ ...common, kind, source, handler }),
    ];
    this.#watchers = new Map([
      createWatcher("plans", sources.plans, handlers.plans),
      createWatcher("endpoints", sources.endpoints, handlers.endpoints),
      createWatcher("evacuations", sources.evacuations, handlers.evacuations),
    ]);
  }

  run(): void {
    for (const watcher of this.#watchers.values()) void watcher.run();
  }

  /** Sets whether this instance watches the store itself or relies on peers. */
  setWatching(watches: boolean): void {
    for (const watcher of this.#watchers.values()) {
      watcher.setWatching(watches);
    }
  }

  /** Applies changes that a peer relays. */
  applyRelayed(batch: RelayedChanges): void {
    this.#watchers.get(batch.kind)?.applyRelayed(batch);
  }

  /** Handles the latest revisions that a peer reports. */
  onPeerRevisions(revisions: ReadonlyMap<string, number>): void {
    for (const [kind, revision] of revisions) {
      this.#watchers.get(kind)?.onRevision(revision);
    }
  }

  /** Revision of the last known change, by kind. */
  changes(): ReadonlyMap<string, number> {
    return new Map(
      [...this.#watchers].map(([kind, f]) => [kind, f.changedAt]),
    );
  }

  /** All objects of a kind; undefined before the kind was read. */
  snapshot(kind: string): RelayedSnapshot | undefined {
    return this.#watchers.get(kind)?.snapshot();
  }

  close(): void {
    for (const watcher of this.#watchers.values()) watcher.close();
  }
}
