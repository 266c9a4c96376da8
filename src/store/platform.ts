/**
 * Interface of the platform: a store of versioned values, and an eventually
 * consistent list of entry instances.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure, InstanceId, RegionId, ZoneId } from "../core/mod.ts";

/** A value and the version at which it was read; undefined if absent. */
export interface Versioned<T> {
  readonly key: string;
  readonly value: T;
  readonly version: string | undefined;
}

/** Precondition of a write; exactly one field is set. */
export type PutCondition =
  | { readonly ifAbsent: true; readonly ifVersion?: undefined }
  | { readonly ifVersion: string; readonly ifAbsent?: undefined };

/** An entry instance in the platform's list. */
export interface ListedInstance {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly peerUrl: string;
  readonly callerUrl: string;
  readonly state: "live" | "leaving";
}

/** Maximum size of a value, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/**
 * The platform. Every call counts against its rate limits.
 *
 * Failures: `conflict` (the precondition failed), `value_too_large`,
 * `platform_unavailable` (nothing took effect), `platform_outcome_unknown`
 * (a write may or may not have taken effect; read back before continuing).
 */
export interface Platform {
  get(key: string): Promise<Result<Versioned<string> | undefined, Failure>>;
  list(prefix: string): Promise<Result<readonly Versioned<string>[], Failure>>;
  /** Writes conditionally and returns the new version. */
  put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Promise<Result<string, Failure>>;
  /**
   * Waits until the key's version differs from `seen`, at most `waitMs`, and
   * returns the current value. May miss or delay a change, or repeat a version.
   */
  watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<Versioned<string> | undefined, Failure>>;
  instances(): Promise<Result<readonly ListedInstance[], Failure>>;
  /** Announces this instance, or that it is leaving, to the platform's list. */
  announce(entry: ListedInstance): Promise<Result<void, Failure>>;
  /** Ends pending calls and closes connections. */
  close(): Promise<void>;
}
