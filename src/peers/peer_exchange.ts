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
  readonly zone: string;
  readonly peerUrl: string;
}

/**
 * Ticks between two batches to an instance of another availability zone.
 *
 * A batch costs each end close to half a millisecond of processor time, so
 * batches to everybody every tick would grow with the fleet until instances do
 * little else; one would see their processors busy without any request. What
 * has to be quick (leases of seats, slots) stays within a zone, whose instances
 * are told every tick.
 */
const FAR_TICKS = 5;

/** What an exchange needs. */
export interface PeerExchangeDeps {
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly log: Log;
  /** This instance as it now is. */
  readonly self: () => Sender;
  /** Peers of this instance's own zone are told every tick. */
  readonly peers: () => readonly ExchangePeer[];
}

/** Exchanges batches with all peers, each at most once at a time. */
export class PeerExchange {
  readonly #deps: PeerExchangeDeps;
  readonly #subsystems: PeerSubsystem[] = [];
  readonly #busy = new Set<string>();
  /** Ticks at which peers of other zones were told; forgotten with the peer. */
  #toldAt = new Map<string, number>();
  #tick = 0;
  #sent = 0;

  constructor(deps: PeerExchangeDeps) {
    this.#deps = deps;
  }

  /** Batches sent since the start, answers to others' batches apart. */
  get sent(): number {
    return this.#sent;
  }

  /** Adds a subsystem, which takes part from the next batch on. */
  register(subsystem: PeerSubsystem): void {
    this.#subsystems.push(subsystem);
  }

  /** Starts this tick's exchanges; a peer that still owes an answer is left out. */
  run(): void {
    this.#tick += 1;
    const { zone } = this.#deps.self();
    const peers = this.#deps.peers();
    this.#forgetAllBut(peers);
    for (const peer of peers) {
      if (!this.#busy.has(peer.peerUrl) && this.#due(peer, zone)) {
        void this.#exchange(peer);
      }
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

  #forgetAllBut(peers: readonly ExchangePeer[]): void {
    if (this.#toldAt.size <= peers.length) return;
    const urls = new Set(peers.map((p) => p.peerUrl));
    const kept = [...this.#toldAt].filter(([url]) => urls.has(url));
    this.#toldAt = new Map(kept);
  }

  #due(peer: ExchangePeer, zone: string): boolean {
    if (peer.zone === zone) return true;
    const told = this.#toldAt.get(peer.peerUrl);
    return told === undefined || this.#tick - told >= FAR_TICKS;
  }

  async #exchange(peer: ExchangePeer): Promise<void> {
    this.#busy.add(peer.peerUrl);
    this.#toldAt.set(peer.peerUrl, this.#tick);
    this.#sent += 1;
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
