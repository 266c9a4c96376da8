/**
 * Decides which endpoints this instance probes, and when.
 *
 * Probes detect endpoints that stop on their own. If every instance probed
 * every endpoint, the load on endpoints would rise with the number of
 * instances. So one instance of a zone probes an endpoint and shares the
 * result with the others. Jitter keeps probes from being synchronized.
 *
 * @module
 */
import type { EndpointId, Random } from "../../core/mod.ts";
import { ownerOf } from "./rendezvous.ts";

/**
 * Time between probes of an endpoint. With a second to share the result, a
 * stopping endpoint is detected within two; at 6 ms a probe this takes 0.6% of
 * one slot's time.
 */
export const PROBE_INTERVAL_MS = 1_000;
const JITTER_RATIO = 0.2;

/** Schedules the probes assigned to one instance by rendezvous hashing. */
export class ProbeSchedule {
  readonly #self: string;
  readonly #random: Random;
  readonly #dueAt = new Map<EndpointId, number>();

  constructor(self: string, random: Random) {
    this.#self = self;
    this.#random = random;
  }

  /** Endpoints to probe now, given the live instances of the zone. */
  due(
    endpoints: readonly EndpointId[],
    zonePeers: readonly string[],
    now: number,
  ): EndpointId[] {
    const members = [this.#self, ...zonePeers];
    const mine = endpoints.filter((e) => ownerOf(e, members) === this.#self);
    this.#retain(new Set(mine));
    return mine.filter((endpoint) => this.#isDue(endpoint, now));
  }

  #isDue(endpoint: EndpointId, now: number): boolean {
    const due = this.#dueAt.get(endpoint);
    if (due !== undefined && now < due) return false;
    // The first probe is due at a random point of the interval.
    const first = due === undefined;
    const wait = first ? this.#random.next() : 1 + this.#jitter();
    this.#dueAt.set(endpoint, now + PROBE_INTERVAL_MS * wait);
    return !first;
  }

  #jitter(): number {
    return JITTER_RATIO * (2 * this.#random.next() - 1);
  }

  #retain(mine: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.#dueAt.keys()) {
      if (!mine.has(endpoint)) this.#dueAt.delete(endpoint);
    }
  }
}
