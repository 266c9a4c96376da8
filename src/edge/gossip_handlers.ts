/**
 * Applies gossip events to quotas, limits, load, watchers and expiry.
 *
 * @module
 */
import type { Clock, InstanceId, Log } from "../core/mod.ts";
import type { AccountQuotas } from "../decisions/quotas/mod.ts";
import type { FleetEvents, GroupReport, Roles } from "../fleet/mod.ts";
import type { RelayedChanges } from "../watcher/mod.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { ExpiryGuard } from "./expiry_guard.ts";
import type { PeerLoad } from "./peer_load.ts";
import type { SteeringWatchers } from "./steering_watchers.ts";

/** Dependencies of the gossip handlers. */
export interface GossipHandlersOptions {
  readonly quotas: AccountQuotas;
  readonly limits: EndpointLimits;
  readonly peerLoad: PeerLoad;
  readonly watchers: SteeringWatchers;
  readonly expiry: ExpiryGuard;
  /** Whether a peer that watches the store for this instance reaches it. */
  readonly watchPeerInTouch: () => boolean;
  readonly clock: Clock;
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
    const { quotas, limits, expiry, peerLoad, watchers } = this.#opts;
    const { group: instance, uses, inFlight } = report;
    quotas.applyReport({ ...report, instance }, uses, now);
    limits.applyReport(report, now);
    if (report.storeInTouch) expiry.recordPeerContact(now);
    peerLoad.applyReport(instance, inFlight);
    watchers.onPeerRevisions(report.changes);
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
    this.#opts.watchers.applyRelayed(changes);
  }

  /**
   * An instance that does not watch the store counts as connected to it while
   * a peer that watches for it is.
   */
  roles({ isRelay, isStoreWatcher }: Roles): void {
    const { clock, log, watchers, expiry, watchPeerInTouch } = this.#opts;
    const changed = isRelay !== this.#roles.isRelay ||
      isStoreWatcher !== this.#roles.isStoreWatcher;
    this.#roles = { isRelay, isStoreWatcher };
    if (changed) {
      log.event("roles_changed", {
        relay: isRelay,
        storeWatcher: isStoreWatcher,
      });
    }
    watchers.setWatching(isStoreWatcher);
    if (isStoreWatcher) return;
    if (watchPeerInTouch()) expiry.regained(clock.now());
    else expiry.lost(clock.now());
  }
}
