/**
 * The status that an instance reports through the administration API.
 *
 * @module
 */
import type { Failure } from "../core/mod.ts";
import type { DrainProgress } from "../decisions/drains/mod.ts";
import type { HeldSeat } from "../membership/mod.ts";

export interface InstanceStatus {
  readonly instance: string;
  readonly zone: string;
  readonly generation: number;
  /** Parts of the newest document that are not in force, and why. */
  readonly rejected: readonly Failure[];
  /** Time since the last contact with the platform; null if there was none. */
  readonly contact_age_ms: number | null;
  readonly seats: readonly HeldSeat[];
  /**
   * Whether the shares of those seats are in use. After a change of holder, a
   * seat's share stays unused until the former holder's requests and loans have
   * certainly ended.
   */
  readonly settled: boolean;
  readonly running: number;
  readonly leaving: boolean;
  /** Whether the document drains this instance. */
  readonly drained: boolean;
  readonly drains: readonly DrainProgress[];
  readonly members: readonly string[];
  readonly peers: PeerStatus;
}

/** Traffic with other instances since the start. */
export interface PeerStatus {
  /** Batches sent; as many are received from peers that send at the same rate. */
  readonly batches_sent: number;
  /** Bytes in both directions on connections opened by peers, with headers. */
  readonly listener_bytes: number;
}
