/**
 * What instances tell each other of load: probe results within the zone.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Prober } from "../endpoints/mod.ts";
import { LoadPartSchema } from "../gen/load_pb.ts";
import type { Batch, Sender } from "../gen/peer_pb.ts";
import type { PeerSubsystem } from "../peers/mod.ts";

/** What the exchange of load needs. */
export interface LoadExchangeDeps {
  readonly zone: string;
  readonly prober: Prober;
  /** Zone of an instance; undefined if it is not known. */
  readonly zoneOf: (instance: string) => string | undefined;
}

/** Owns the load part of the batch. */
export class LoadExchange implements PeerSubsystem {
  readonly #deps: LoadExchangeDeps;

  constructor(deps: LoadExchangeDeps) {
    this.#deps = deps;
  }

  fill(batch: Batch, to: string): void {
    const { prober, zone, zoneOf } = this.#deps;
    const part = create(LoadPartSchema);
    if (zoneOf(to) === zone) prober.fill(part);
    batch.load = part;
  }

  absorb(batch: Batch, from: Sender): void {
    if (batch.load === undefined) return;
    if (from.zone === this.#deps.zone) this.#deps.prober.absorb(batch.load);
  }
}
