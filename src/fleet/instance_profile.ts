/**
 * Who an instance is, and whether it takes callers.
 *
 * @module
 */
import type { InstanceId, RegionId, ZoneId } from "../core/mod.ts";

/** States in the order in which digests number them. */
export const INSTANCE_STATES = ["starting", "serving", "leaving"] as const;

/** Whether an instance takes callers. */
export type InstanceState = (typeof INSTANCE_STATES)[number];

/** Where an instance stands and can be reached. */
export interface InstanceProfile {
  readonly id: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Host and port for callers. */
  readonly callerAddress: string;
  /** Host and port for digests. */
  readonly digestAddress: string;
}
