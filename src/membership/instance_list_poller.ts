/**
 * Polls the platform's list of instances: one instance of a zone and newly
 * started instances poll it often, the others rarely.
 *
 * If every instance polled once a second, reads would grow with the fleet; at
 * 2,000 instances they would use up the store's whole read limit, and it would
 * refuse other calls. A new instance calls all members it finds, so they need
 * not poll to discover it.
 *
 * @module
 */
import type { Clock, InstanceId, Random, ZoneId } from "../core/mod.ts";
import type { Platform } from "../store/mod.ts";
import { rendezvousOwner } from "./rendezvous_owner.ts";
import type { Roster } from "./roster.ts";

/** Longer than the list's lag, to find instances that started just before. */
const STARTUP_PHASE_MS = 15_000;
const STARTUP_INTERVAL_MS = 1_000;
const OWNER_INTERVAL_MS = 2_000;
/** Bounds how long an instance that the zone's poller missed is unknown. */
const NON_OWNER_INTERVAL_MS = 20_000;
const JITTER = 0.2;

/** Dependencies of the poller. */
export interface InstanceListPollerDeps {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly platform: Platform;
  readonly roster: Roster;
  readonly clock: Clock;
  readonly random: Random;
}

/** Updates the roster from the platform's list. */
export class InstanceListPoller {
  readonly name = "list";
  readonly #deps: InstanceListPollerDeps;
  readonly #startedAt: number;
  #dueAt = -Infinity;
  #reading = false;

  constructor(deps: InstanceListPollerDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** Starts a read if one is due and none is in progress. */
  run(now: number): void {
    if (this.#reading || now < this.#dueAt) return;
    const intervalMs = this.#intervalMs(now);
    const jitter = 1 + JITTER * (2 * this.#deps.random.next() - 1);
    this.#dueAt = now + intervalMs * jitter;
    void this.#read();
  }

  async #read(): Promise<void> {
    this.#reading = true;
    const listed = await this.#deps.platform.instances();
    this.#reading = false;
    if (listed.isOk()) this.#deps.roster.applyList(listed.value);
  }

  #intervalMs(now: number): number {
    if (now - this.#startedAt < STARTUP_PHASE_MS) return STARTUP_INTERVAL_MS;
    const { instance, zone, roster } = this.#deps;
    const zonePeers = roster.live().filter((m) => m.zone === zone);
    const members = [instance, ...zonePeers.map((m) => m.instance)];
    const owner = rendezvousOwner(`list ${zone}`, members);
    return owner === instance ? OWNER_INTERVAL_MS : NON_OWNER_INTERVAL_MS;
  }
}
