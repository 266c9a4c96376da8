/**
 * Settings of an instance.
 *
 * @module
 */
import type { InstanceId, RegionId, ZoneId } from "../core/mod.ts";
import type { RateWindow } from "../decisions/quotas/mod.ts";
import type { RetryAllowance } from "../decisions/retries/mod.ts";

export interface EdgeSettings {
  readonly instance: {
    readonly id: InstanceId;
    readonly zone: ZoneId;
    readonly region: RegionId;
  };
  /** The region of each availability zone. */
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  /** Capacity relative to other instances: its usable CPU cores. */
  readonly capacity: number;
  /** Memory limit of the process in bytes; undefined if there is none. */
  readonly memoryBytes?: number | undefined;
  /** Bandwidth of the machine's link each way, in bytes a second. */
  readonly linkBytesPerS?: number | undefined;
  readonly listen: {
    /** Host and port of the listener for callers. */
    readonly caller: string;
    /** Host and port for gossip digests. */
    readonly digest: string;
  };
  /** Local address of connections to endpoints; any if undefined. */
  readonly endpointSourceAddress?: string | undefined;
  /** Whether this is the fleet's first start. */
  readonly firstStart: boolean;
  /** Gossip addresses contacted before any other instance is known. */
  readonly seeds: readonly string[];
  /** Time between the stop signal and the forced kill, in milliseconds. */
  readonly graceMs: number;
  /** The fleet's retry budget. */
  readonly retries: RetryAllowance;
  /** The window over which client accounts' rates are measured. */
  readonly rates: RateWindow;
}
