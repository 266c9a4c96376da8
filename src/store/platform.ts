/**
 * What the system asks of the platform: a store of versioned values, and a
 * list of entry instances that lags.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure, InstanceId, RegionId, ZoneId } from "../core/mod.ts";

/** A value with the version it was read at; no version means it is absent. */
export interface Versioned<T> {
  readonly key: string;
  readonly value: T;
  readonly version: string | undefined;
}

/** A condition under which a write takes effect; exactly one is set. */
export type PutCondition =
  | { readonly ifAbsent: true; readonly ifVersion?: undefined }
  | { readonly ifVersion: string; readonly ifAbsent?: undefined };

/** One entry instance as the platform lists it. */
export interface ListedInstance {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly peerUrl: string;
  readonly callerUrl: string;
  readonly state: "live" | "leaving";
}

/** Values larger than this are refused, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/**
 * The platform, behind one interface. Every call counts against its limits.
 *
 * Failures: `conflict` (the condition did not hold), `value_too_large`,
 * `platform_unavailable` (nothing took effect), `platform_outcome_unknown`
 * (a write may or may not have taken effect; read back before going on).
 */
export interface Platform {
  get(key: string): Promise<Result<Versioned<string> | undefined, Failure>>;
  list(prefix: string): Promise<Result<readonly Versioned<string>[], Failure>>;
  /** Writes conditionally and gives the new version. */
  put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Promise<Result<string, Failure>>;
  /**
   * Waits until the key's version differs from `seen`, or `waitMs` is over;
   * gives what stands there then. May be silent, late, or repeat itself.
   */
  watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<Versioned<string> | undefined, Failure>>;
  instances(): Promise<Result<readonly ListedInstance[], Failure>>;
  /** Announces this instance, or its leaving, to the platform's list. */
  announce(entry: ListedInstance): Promise<Result<void, Failure>>;
  /** Ends waiting calls and lets connections go. */
  close(): Promise<void>;
}
