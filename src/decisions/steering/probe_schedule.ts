/**
 * Which endpoints this instance probes, and when.
 *
 * Answers the cost of probes and endpoints that leave on their own. If every
 * instance probed every endpoint, the probes would grow with the instances and
 * take slots' time from requests, which shows as endpoint load that rises with
 * the number of instances. So one member of a zone probes an endpoint and
 * tells the others. Jitter keeps the probes of many from falling together.
 *
 * @module
 */
import type { EndpointId, Random } from "../../core/mod.ts";
import { ownerOf } from "./rendezvous.ts";

/**
 * Time between probes of an endpoint. With a second for it to be told on, a
 * leaving endpoint is known within two; at 6 ms a probe this is 0.6% of one
 * slot's time.
 */
export const PROBE_EVERY_MS = 1_000;
const JITTER = 0.2;

/** Probes that fall to one instance. */
export class ProbeSchedule {
  readonly #self: string;
  readonly #random: Random;
  readonly #due = new Map<EndpointId, number>();

  constructor(self: string, random: Random) {
    this.#self = self;
    this.#random = random;
  }

  /** Endpoints to probe now, given the live instances of the zone. */
  due(
    endpoints: readonly EndpointId[],
    zoneMates: readonly string[],
    now: number,
  ): EndpointId[] {
    const members = [this.#self, ...zoneMates];
    const mine = endpoints.filter((e) => ownerOf(e, members) === this.#self);
    this.#forget(new Set(mine));
    return mine.filter((endpoint) => this.#isDue(endpoint, now));
  }

  #isDue(endpoint: EndpointId, now: number): boolean {
    const due = this.#due.get(endpoint);
    if (due !== undefined && now < due) return false;
    // The first probe comes at a random point of the period.
    const first = due === undefined;
    const wait = first ? this.#random.next() : 1 + this.#jitter();
    this.#due.set(endpoint, now + PROBE_EVERY_MS * wait);
    return !first;
  }

  #jitter(): number {
    return JITTER * (2 * this.#random.next() - 1);
  }

  #forget(mine: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.#due.keys()) {
      if (!mine.has(endpoint)) this.#due.delete(endpoint);
    }
  }
}
