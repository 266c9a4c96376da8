/**
 * How instances reach each other, as an interface, so that tests drop, delay
 * and cut without sockets.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure } from "../core/mod.ts";
import type { Batch } from "../gen/peer_pb.ts";

/** Answers a peer's batch with one's own. */
export type BatchHandler = (batch: Batch) => Batch;

/** The sending side of one instance. */
export interface PeerTransport {
  /** Sends a batch and gives the peer's; fails with `peer_unavailable`. */
  exchange(peerUrl: string, batch: Batch): Promise<Result<Batch, Failure>>;
  close(): Promise<void>;
}
