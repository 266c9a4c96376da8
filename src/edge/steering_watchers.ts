/**
 * Watchers of the resource types that an instance steers by.
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
} from "../watcher/mod.ts";
import type { EndpointRecord, TrafficPlan } from "../traffic/mod.ts";
import type { SteeringSources } from "./steering_sources.ts";

/** Kinds of object, as instances name them to each other. */
export const KINDS = ["plans", "endpoints", "evacuations"] as const;

/** What takes in each kind. */
export interface SteeringSinks {
  readonly plans: ResourceHandler<TrafficPlan>;
  readonly endpoints: ResourceHandler<EndpointRecord>;
  readonly evacuations: ResourceHandler<true>;
}

/** What the watchers work with. */
export interface SteeringFollowersOptions {
  readonly sources: Omit<SteeringSources, "instances">;
  readonly handlers: SteeringSinks;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly relay: (changes: RelayedChanges) => void;
  readonly fetch: FetchFromPeer;
  /** How long to wait for instances that have read everything, in ms. */
  readonly peersFirstMs: number;
}

/** Followers by kind. */
export class SteeringWatchers {
  readonly #watchers: ReadonlyMap<string, ResourceWatcher<unknown>>;

  constructor(opts: SteeringFollowersOptions) {
    const { sources, handlers, ...common } = opts;
    const follow = <T>(
      kind: string,
      source: ResourceClient<T>,
      sink: ResourceHandler<T>,
    ): [string, ResourceWatcher<unknown>] => [
      kind,
      new ResourceWatcher({ ...common, kind, source, sink }),
    ];
    this.#watchers = new Map([
      follow("plans", sources.plans, handlers.plans),
      follow("endpoints", sources.endpoints, handlers.endpoints),
      follow("evacuations", sources.evacuations, handlers.evacuations),
    ]);
  }

  run(): void {
    for (const watcher of this.#watchers.values()) void watcher.run();
  }

  /** Whether this instance asks the store itself, or is told by others. */
  setWatching(watches: boolean): void {
    for (const watcher of this.#watchers.values()) {
      watcher.setWatching(watches);
    }
  }

  /** Takes in changes that another instance passes on. */
  reported(batch: RelayedChanges): void {
    this.#watchers.get(batch.kind)?.reported(batch);
  }

  /** Another instance knows of these changes. */
  onRevision(changes: ReadonlyMap<string, number>): void {
    for (const [kind, revision] of changes) {
      this.#watchers.get(kind)?.onRevision(revision);
    }
  }

  /** Revision of the last change that is known, by kind. */
  changes(): ReadonlyMap<string, number> {
    return new Map(
      [...this.#watchers].map(([kind, f]) => [kind, f.changedAt]),
    );
  }

  /** All that is known of a kind; undefined before it was read. */
  snapshot(kind: string): RelayedSnapshot | undefined {
    return this.#watchers.get(kind)?.snapshot();
  }

  close(): void {
    for (const watcher of this.#watchers.values()) watcher.close();
  }
}
