/**
 * What an instance says of itself.
 *
 * @module
 */
import type { Failure } from "../core/mod.ts";
import type { DrainProgress } from "../decisions/drains/mod.ts";
import type { HeldSeat } from "../membership/mod.ts";

/** What an instance says of itself. */
export interface InstanceStatus {
  readonly instance: string;
  readonly zone: string;
  readonly generation: number;
  /** What of the newest document is not in force, and why. */
  readonly rejected: readonly Failure[];
  /** How long there has been no contact with the platform; null if never. */
  readonly contact_age_ms: number | null;
  readonly seats: readonly HeldSeat[];
  /**
   * Whether the parts of those seats are in use. A seat that changed hands
   * rests until requests and loans of its former holder have surely ended.
   */
  readonly settled: boolean;
  readonly running: number;
  readonly leaving: boolean;
  /** Whether the document drains this instance. */
  readonly drained: boolean;
  readonly drains: readonly DrainProgress[];
  readonly members: readonly string[];
  /** Messages to other instances since the start. */
  readonly peers: PeerStatus;
}

/** Messages between instances, as one of them counts them. */
export interface PeerStatus {
  /** Batches sent; as many come in from peers that send at the same pace. */
  readonly batches_sent: number;
  /** Bytes of connections that peers opened, both ways, headers included. */
  readonly listener_bytes: number;
}
