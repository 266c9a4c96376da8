/**
 * Reads the platform's list of instances, seldom: one member of a zone often,
 * the others now and then, a newcomer often until it knows everybody.
 *
 * If every instance read the list every second, calls would grow as fast as
 * the fleet, and at two thousand instances reading the list alone would use up
 * all reads that the store gives; one would see the store refuse other calls.
 * Newcomers call everybody they find, so that those need not look for them.
 *
 * @module
 */
import type { Clock, InstanceId, Random, ZoneId } from "../core/mod.ts";
import type { Platform } from "../store/mod.ts";
import { dutyHolder } from "./duty.ts";
import type { Roster } from "./roster.ts";

/** The list lags; a newcomer looks again until what was new then shows. */
const NEWCOMER_MS = 15_000;
const NEWCOMER_EVERY_MS = 1_000;
const DUTY_EVERY_MS = 2_000;
/** What a zone's duty holder missed, the others find within this time. */
const OTHERS_EVERY_MS = 20_000;
const JITTER = 0.2;

/** What a reader needs. */
export interface ListReaderDeps {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly platform: Platform;
  readonly roster: Roster;
  readonly clock: Clock;
  readonly random: Random;
}

/** Keeps the roster up to date from the platform's list. */
export class ListReader {
  readonly name = "list";
  readonly #deps: ListReaderDeps;
  readonly #startedAt: number;
  #dueAt = -Infinity;
  #reading = false;

  constructor(deps: ListReaderDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** Reads if it is time; a read that is under way is waited for. */
  run(now: number): void {
    if (this.#reading || now < this.#dueAt) return;
    const everyMs = this.#everyMs(now);
    const jitter = 1 + JITTER * (2 * this.#deps.random.next() - 1);
    this.#dueAt = now + everyMs * jitter;
    void this.#read();
  }

  async #read(): Promise<void> {
    this.#reading = true;
    const listed = await this.#deps.platform.instances();
    this.#reading = false;
    if (listed.isOk()) this.#deps.roster.adoptList(listed.value);
  }

  #everyMs(now: number): number {
    if (now - this.#startedAt < NEWCOMER_MS) return NEWCOMER_EVERY_MS;
    const { instance, zone, roster } = this.#deps;
    const mates = roster.live().filter((m) => m.zone === zone);
    const members = [instance, ...mates.map((m) => m.instance)];
    const holder = dutyHolder(`list ${zone}`, members);
    return holder === instance ? DUTY_EVERY_MS : OTHERS_EVERY_MS;
  }
}
