/**
 * What an instance in this composition is told at its start.
 *
 * @module
 */
import type { InstanceId, RegionId, ZoneId } from "../core/mod.ts";
import type { RateWindow } from "../decisions/quotas/mod.ts";
import type { RetryAllowance } from "../decisions/retries/mod.ts";

/** Settings of one instance. */
export interface EdgeSettings {
  readonly instance: {
    readonly id: InstanceId;
    readonly zone: ZoneId;
    readonly region: RegionId;
  };
  /** The region of each availability zone. */
  readonly zones: ReadonlyMap<ZoneId, RegionId>;
  /** How much the instance can carry: cores, as far as it has them. */
  readonly capacity: number;
  readonly listen: {
    /** Host and port for callers. */
    readonly caller: string;
    /** Host and port for digests of other instances. */
    readonly digest: string;
  };
  /** Whether the whole fleet starts for the first time. */
  readonly firstStart: boolean;
  /** Where other instances may be found before any is known. */
  readonly seeds: readonly string[];
  /** Time between the stop's signal and the process's forced end, in ms. */
  readonly graceMs: number;
  /** The fleet's budget for second sends. */
  readonly retries: RetryAllowance;
  /** How client accounts' rates are judged. */
  readonly rates: RateWindow;
}
