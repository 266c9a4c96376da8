/**
 * Applies gossip events to quotas, limits, load and what follows the store.
 *
 * @module
 */
import type { InstanceId, Log } from "../core/mod.ts";
import type { AccountQuotas } from "../decisions/quotas/mod.ts";
import type {
  FleetEvents,
  GroupReport,
  Roles,
  StoreWatchState,
} from "../fleet/mod.ts";
import type { RelayedChanges } from "../watcher/mod.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { PeerLoad } from "./peer_load.ts";
import type { StoreFollower } from "./store_follower.ts";

/** Dependencies of the gossip handlers. */
export interface GossipHandlersOptions {
  readonly quotas: AccountQuotas;
  readonly limits: EndpointLimits;
  readonly peerLoad: PeerLoad;
  readonly follower: StoreFollower;
  /** What the peers that watch the store for this instance report of it. */
  readonly storeWatch: () => StoreWatchState;
  readonly log: Log;
}

/** Gossip handlers of one instance. */
export class GossipHandlers implements FleetEvents {
  readonly #opts: GossipHandlersOptions;
  #roles: Roles = { isRelay: false, isStoreWatcher: false };

  constructor(opts: GossipHandlersOptions) {
    this.#opts = opts;
  }

  reported(report: GroupReport, now: number): void {
    const { quotas, limits, peerLoad, follower } = this.#opts;
    const { group: instance, uses, inFlight } = report;
    quotas.applyReport({ ...report, instance }, uses, now);
    limits.applyReport(report, now);
    peerLoad.applyReport(instance, inFlight);
    follower.onReport(report, now);
  }

  suspect(group: InstanceId): void {
    this.#opts.quotas.markUnreachable(group);
    this.#opts.limits.markUnreachable(group);
  }

  unreachable(group: InstanceId): void {
    this.#opts.peerLoad.remove(group);
  }

  removed(group: InstanceId): void {
    this.#opts.quotas.remove(group);
    this.#opts.limits.markUnreachable(group);
    this.#opts.peerLoad.remove(group);
  }

  relayed(changes: RelayedChanges): void {
    this.#opts.follower.onRelayed(changes);
  }

  roles(roles: Roles): void {
    const { log, follower, storeWatch } = this.#opts;
    const { isRelay, isStoreWatcher } = roles;
    const changed = isRelay !== this.#roles.isRelay ||
      isStoreWatcher !== this.#roles.isStoreWatcher;
    this.#roles = roles;
    if (changed) {
      log.event("roles_changed", {
        relay: isRelay,
        storeWatcher: isStoreWatcher,
      });
    }
    follower.onRoles(roles, storeWatch());
  }
}
