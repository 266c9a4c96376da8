/**
 * Identity, location and addresses of an instance, and its lifecycle state.
 *
 * @module
 */
import type { InstanceId, RegionId, ZoneId } from "../core/mod.ts";

/** Digests encode a state as its index: the order must not change. */
export const INSTANCE_STATES = [
  "starting",
  "serving",
  "leaving",
  // Reaches no endpoint, and passes requests on to instances that are serving.
  "isolated",
] as const;

/**
 * Callers are sent to instances that are `serving`, and to `isolated` ones where
 * too few others are.
 */
export type InstanceState = (typeof INSTANCE_STATES)[number];

/** Identity, location and addresses. */
export interface InstanceProfile {
  readonly id: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** `host:port` for callers. */
  readonly callerAddress: string;
  /** `host:port` for gossip. */
  readonly digestAddress: string;
}
