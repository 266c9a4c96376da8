/**
 * Gossip between instances: per tick and peer, each subsystem fills its part of
 * one batch and reads its part of the peer's answer.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock, Log } from "../core/mod.ts";
import { type Batch, BatchSchema, type Sender } from "../gen/peer_pb.ts";
import type { PeerTransport } from "./transport.ts";

/** A component that exchanges state with its counterpart at other instances. */
export interface PeerSubsystem {
  /** Adds this subsystem's state for the instance `to` to the batch. */
  fill(batch: Batch, to: string): void;
  /**
   * Applies a batch from another instance. `askedAt` is when this instance sent
   * the batch that this one answers; undefined for an unsolicited batch, which
   * may have been delayed for any time.
   */
  receive(batch: Batch, from: Sender, askedAt?: number): void;
}

/** An instance to exchange batches with. */
export interface ExchangePeer {
  readonly instance: string;
  readonly zone: string;
  readonly peerUrl: string;
}

/**
 * Ticks between two batches to an instance of another availability zone.
 *
 * A batch costs each end nearly 0.5 ms of processor time, so batches to all
 * instances every tick would saturate the processors of a large fleet without
 * any request. Only state that must spread quickly, such as seat leases and
 * slots, needs every tick, and it stays within a zone.
 */
const REMOTE_ZONE_INTERVAL_TICKS = 5;

/** Dependencies of `PeerExchange`. */
export interface PeerExchangeDeps {
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly log: Log;
  /** This instance's current identity and state. */
  readonly self: () => Sender;
  /** All peers; those of this instance's zone get a batch every tick. */
  readonly peers: () => readonly ExchangePeer[];
}

/** Exchanges batches with all peers, at most one at a time with each. */
export class PeerExchange {
  readonly #deps: PeerExchangeDeps;
  readonly #subsystems: PeerSubsystem[] = [];
  readonly #awaitingAnswer = new Set<string>();
  /** The tick of the last batch to each peer, by URL. */
  #lastSentTick = new Map<string, number>();
  #tick = 0;
  #sent = 0;

  constructor(deps: PeerExchangeDeps) {
    this.#deps = deps;
  }

  /** Batches sent since the start, without answers to peers' batches. */
  get sent(): number {
    return this.#sent;
  }

  /** Adds a subsystem, starting with the next batch. */
  register(subsystem: PeerSubsystem): void {
    this.#subsystems.push(subsystem);
  }

  /** Starts this tick's exchanges; skips peers whose answer is outstanding. */
  run(): void {
    this.#tick += 1;
    const { zone } = this.#deps.self();
    const peers = this.#deps.peers();
    this.#pruneRemovedPeers(peers);
    for (const peer of peers) {
      if (!this.#awaitingAnswer.has(peer.peerUrl) && this.#due(peer, zone)) {
        void this.#exchange(peer);
      }
    }
  }

  /** Sends a final batch to all peers and waits for their answers. */
  async flush(): Promise<void> {
    const peers = this.#deps.peers();
    await Promise.all(peers.map((peer) => this.#exchange(peer)));
  }

  /** Applies a peer's batch and returns the answer to it. */
  answer(batch: Batch): Batch {
    this.#receive(batch);
    return this.#buildBatch(batch.sender?.instance ?? "");
  }

  #pruneRemovedPeers(peers: readonly ExchangePeer[]): void {
    if (this.#lastSentTick.size <= peers.length) return;
    const urls = new Set(peers.map((p) => p.peerUrl));
    const kept = [...this.#lastSentTick].filter(([url]) => urls.has(url));
    this.#lastSentTick = new Map(kept);
  }

  #due(peer: ExchangePeer, zone: string): boolean {
    if (peer.zone === zone) return true;
    const lastSent = this.#lastSentTick.get(peer.peerUrl);
    return lastSent === undefined ||
      this.#tick - lastSent >= REMOTE_ZONE_INTERVAL_TICKS;
  }

  async #exchange(peer: ExchangePeer): Promise<void> {
    this.#awaitingAnswer.add(peer.peerUrl);
    this.#lastSentTick.set(peer.peerUrl, this.#tick);
    this.#sent += 1;
    const askedAt = this.#deps.clock.now();
    const batch = this.#buildBatch(peer.instance);
    const answer = await this.#deps.transport.exchange(peer.peerUrl, batch);
    this.#awaitingAnswer.delete(peer.peerUrl);
    if (answer.isOk()) this.#receive(answer.value, askedAt);
    else {
      this.#deps.log.event("peer_unavailable", { peer: peer.instance });
    }
  }

  #buildBatch(instance: string): Batch {
    const batch = create(BatchSchema, { sender: this.#deps.self() });
    for (const subsystem of this.#subsystems) subsystem.fill(batch, instance);
    return batch;
  }

  #receive(batch: Batch, askedAt?: number): void {
    if (batch.sender === undefined) return;
    for (const subsystem of this.#subsystems) {
      subsystem.receive(batch, batch.sender, askedAt);
    }
  }
}
