/**
 * Interfaces for calls between instances, so that tests can drop, delay and
 * block messages without sockets.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Failure } from "../core/mod.ts";
import type { BorrowAnswer, BorrowCall } from "../gen/budget_pb.ts";
import type {
  ForwardRequest,
  ForwardResponse,
  SettleRequest,
  SettleResponse,
} from "../gen/ledger_pb.ts";
import type {
  FetchContentResponse,
  FetchManifestResponse,
} from "../gen/document_pb.ts";
import type { Batch } from "../gen/peer_pb.ts";

/** Answers a peer's batch with a batch of this instance. */
export type BatchHandler = (batch: Batch) => Batch;

/** Answers calls about operations. */
export interface LedgerHandler {
  settle(req: SettleRequest): SettleResponse;
  forward(req: ForwardRequest): Promise<ForwardResponse>;
}

/** Answers calls for the document in force. */
export interface DocumentHandler {
  fetchManifest(): FetchManifestResponse;
  fetchContent(digest: string): FetchContentResponse;
}

/** Answers a peer's request for part of a budget. */
export type BorrowHandler = (call: BorrowCall) => BorrowAnswer;

/** Handlers of unary calls. */
export interface PeerHandlers {
  readonly ledger?: LedgerHandler;
  readonly borrow?: BorrowHandler;
  readonly document?: DocumentHandler;
}

/** The sending side of one instance. */
export interface PeerTransport {
  /** Sends a batch and returns the answer; fails with `peer_unavailable`. */
  exchange(peerUrl: string, batch: Batch): Promise<Result<Batch, Failure>>;
  /**
   * Settles operations at a peer. A failure's outcome is `not-run` where the
   * message certainly did not arrive, else `unknown`.
   */
  settle(
    peerUrl: string,
    req: SettleRequest,
    timeoutMs: number,
  ): Promise<Result<SettleResponse, Failure>>;
  /** Runs an operation at its home; fails as `settle` does. */
  forward(
    peerUrl: string,
    req: ForwardRequest,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, Failure>>;
  /** Requests part of a budget; fails with `peer_unavailable`. */
  borrow(
    peerUrl: string,
    call: BorrowCall,
  ): Promise<Result<BorrowAnswer, Failure>>;
  close(): Promise<void>;
}

/** The sending side of calls for the document in force. */
export interface DocumentTransport {
  /** Fetches the manifest in force at a peer. */
  fetchManifest(
    peerUrl: string,
  ): Promise<Result<FetchManifestResponse, Failure>>;
  /** Fetches a section's content from a peer. */
  fetchContent(
    peerUrl: string,
    digest: string,
  ): Promise<Result<FetchContentResponse, Failure>>;
}
