/**
 * One batch a tick and peer: each subsystem fills its part of the batch and
 * reads the peer's.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock, Log } from "../core/mod.ts";
import { type Batch, BatchSchema, type Sender } from "../gen/peer_pb.ts";
import type { PeerTransport } from "./transport.ts";

/** A part of the program that talks to its like at other instances. */
export interface PeerSubsystem {
  /** Adds what there is to tell the instance named `to`. */
  fill(batch: Batch, to: string): void;
  /**
   * Takes in what another instance told. `askedAt` is when this instance sent
   * the request that the batch answers; a batch that came unasked has none,
   * and may have been under way for any time.
   */
  absorb(batch: Batch, from: Sender, askedAt?: number): void;
}

/** Somebody to exchange batches with. */
export interface ExchangePeer {
  readonly instance: string;
  readonly peerUrl: string;
}

/** What an exchange needs. */
export interface PeerExchangeDeps {
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly log: Log;
  /** This instance as it now is. */
  readonly self: () => Sender;
  readonly peers: () => readonly ExchangePeer[];
}

/** Exchanges batches with all peers, each at most once at a time. */
export class PeerExchange {
  readonly #deps: PeerExchangeDeps;
  readonly #subsystems: PeerSubsystem[] = [];
  readonly #busy = new Set<string>();

  constructor(deps: PeerExchangeDeps) {
    this.#deps = deps;
  }

  /** Adds a subsystem, which takes part from the next batch on. */
  register(subsystem: PeerSubsystem): void {
    this.#subsystems.push(subsystem);
  }

  /** Starts this tick's exchanges; a peer that still owes an answer is left out. */
  run(): void {
    for (const peer of this.#deps.peers()) {
      if (!this.#busy.has(peer.peerUrl)) void this.#exchange(peer);
    }
  }

  /** Tells all peers once more and waits for their answers; for the last word. */
  async flush(): Promise<void> {
    const peers = this.#deps.peers();
    await Promise.all(peers.map((peer) => this.#exchange(peer)));
  }

  /** Takes in a peer's batch and gives the one it gets back. */
  answer(batch: Batch): Batch {
    this.#absorb(batch);
    return this.#batchFor(batch.sender?.instance ?? "");
  }

  async #exchange(peer: ExchangePeer): Promise<void> {
    this.#busy.add(peer.peerUrl);
    const askedAt = this.#deps.clock.now();
    const batch = this.#batchFor(peer.instance);
    const answer = await this.#deps.transport.exchange(peer.peerUrl, batch);
    this.#busy.delete(peer.peerUrl);
    if (answer.isOk()) this.#absorb(answer.value, askedAt);
    else {
      this.#deps.log.event("peer_unavailable", { peer: peer.instance });
    }
  }

  #batchFor(instance: string): Batch {
    const batch = create(BatchSchema, { sender: this.#deps.self() });
    for (const subsystem of this.#subsystems) subsystem.fill(batch, instance);
    return batch;
  }

  #absorb(batch: Batch, askedAt?: number): void {
    if (batch.sender === undefined) return;
    for (const subsystem of this.#subsystems) {
      subsystem.absorb(batch, batch.sender, askedAt);
    }
  }
}
