/**
 * Which entry instance a caller should use.
 *
 * Answers uneven load and instances that leave. If every answer named the
 * least loaded instance, all callers would go there until the next figure,
 * which shows as load that swings from instance to instance; if a leaving
 * one's callers were all sent to the next in order, that one would get them
 * all. So answers are drawn at random by weights that follow smoothed load,
 * and are reused for a jittered time.
 *
 * @module
 */
import type { InstanceId, Random, RegionId, ZoneId } from "../../core/mod.ts";

/** An entry instance that callers may be sent to. */
export interface EntryChoice {
  readonly instance: InstanceId;
  readonly url: string;
  readonly zone: ZoneId;
  readonly region: RegionId;
}

/** Where a caller is. */
export type CallerPlace = Pick<EntryChoice, "zone" | "region">;

/** How many instances an answer names at most. */
export const MAX_CHOICES = 4;
/** With its jitter an answer is never reused for more than two seconds. */
export const MAX_REUSE_MS = 2_000;
/** Nor for less than this, however the jitter falls. */
export const MIN_REUSE_MS = 1_200;
const REUSE_MS = 1_600;
const REUSE_JITTER = 0.25;

/** Load is followed with this time constant: some reuses of an answer. */
const SMOOTHING_MS = 5_000;
/** Load below this is idleness; differences there say nothing. */
const IDLE_LOAD = 0.25;
/** No instance gets less than a quarter of the idlest one's callers. */
const LEAST_WEIGHT = 0.25;
/** From this zone load on, some callers are sent to the region's other zones. */
const BUSY_LOAD = 0.7;
/** Of a tier, as many are ranked for one answer as a zone has at full size. */
const MAX_RANKED = 40;
/** At most this part of them, so that zones do not swap their callers. */
const MAX_SPILL = 0.5;

interface Smoothed {
  load: number;
  at: number;
}

/**
 * Draws answers to look-ups.
 *
 * @example
 * ```ts
 * chooser.observe("i1", 0.4, clock.now());
 * chooser.prepare(candidates);
 * const choices = chooser.choose({ zone, region });
 * ```
 */
export class EntryChooser {
  readonly #random: Random;
  readonly #loads = new Map<InstanceId, Smoothed>();
  readonly #spillParts = new Map<ZoneId, number>();
  #all: readonly EntryChoice[] = [];
  #byZone = new Map<ZoneId, EntryChoice[]>();
  #byRegion = new Map<RegionId, EntryChoice[]>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Takes in how busy an instance says it is, from 0 up. */
  observe(instance: InstanceId, load: number, now: number): void {
    const known = this.#loads.get(instance);
    if (known === undefined) {
      this.#loads.set(instance, { load, at: now });
      return;
    }
    const part = 1 - Math.exp(-Math.max(0, now - known.at) / SMOOTHING_MS);
    known.load += part * (load - known.load);
    known.at = now;
  }

  /** Forgets instances that are known no more. */
  retain(known: ReadonlySet<string>): void {
    for (const id of this.#loads.keys()) {
      if (!known.has(id)) this.#loads.delete(id);
    }
  }

  /** Takes over who may be named; answers then cost the same in any fleet. */
  prepare(candidates: readonly EntryChoice[]): void {
    this.#all = candidates;
    this.#byZone = groupBy(candidates, (c) => c.zone);
    this.#byRegion = groupBy(candidates, (c) => c.region);
    this.#spillParts.clear();
  }

  /** The zone with its region; undefined if it has nobody to name. */
  placeOf(zone: ZoneId): CallerPlace | undefined {
    return this.#byZone.get(zone)?.[0];
  }

  /** Near instances first, idle ones more often than busy ones. */
  choose(place: CallerPlace): EntryChoice[] {
    const { zone, region } = place;
    const own = () => this.#ranked(this.#byZone.get(zone) ?? []);
    const near = () =>
      this.#ranked(this.#byRegion.get(region) ?? [])
        .filter((c) => c.zone !== zone);
    const far = () =>
      this.#ranked(this.#all).filter((c) => c.region !== region);
    const spill = this.#random.next() < this.#spillPart(place);
    const chosen: EntryChoice[] = [];
    for (const tier of spill ? [near, own, far] : [own, near, far]) {
      if (chosen.length < MAX_CHOICES) chosen.push(...tier());
    }
    return chosen.slice(0, MAX_CHOICES);
  }

  /** How long an answer may be reused, in milliseconds. */
  reuseMs(): number {
    const jitter = REUSE_JITTER * (2 * this.#random.next() - 1);
    return Math.floor(REUSE_MS * (1 + jitter));
  }

  /** A tier in random order by weight; of a large one, a random stretch. */
  #ranked(tier: readonly EntryChoice[]): EntryChoice[] {
    const from = this.#random.below(Math.max(1, tier.length));
    const size = Math.min(tier.length, MAX_RANKED);
    const ranked = Array.from({ length: size }, (_, i) => {
      const choice = tier[(from + i) % tier.length] as EntryChoice;
      return { choice, rank: this.#rank(choice) };
    });
    return ranked.sort((a, b) => a.rank - b.rank).map((r) => r.choice);
  }

  /** Exponential ranks: the first of an order is drawn in proportion to weight. */
  #rank({ instance }: EntryChoice): number {
    return -Math.log(1 - this.#random.next()) / this.#weight(instance);
  }

  #weight(instance: InstanceId): number {
    const load = Math.max(IDLE_LOAD, this.#loadOf(instance));
    return Math.max(LEAST_WEIGHT, IDLE_LOAD / load);
  }

  #loadOf(instance: InstanceId): number {
    return this.#loads.get(instance)?.load ?? 0;
  }

  /** Part of the zone's callers that the region's other zones should take. */
  #spillPart(place: CallerPlace): number {
    const known = this.#spillParts.get(place.zone);
    if (known !== undefined) return known;
    const part = this.#spill(place);
    this.#spillParts.set(place.zone, part);
    return part;
  }

  #spill({ zone, region }: CallerPlace): number {
    const own = this.#byZone.get(zone) ?? [];
    const near = (this.#byRegion.get(region) ?? [])
      .filter((c) => c.zone !== zone);
    if (own.length === 0 || near.length === 0) return 0;
    // A zone with an idle instance is not busy: its weights see to that.
    const here = Math.min(...own.map((c) => this.#loadOf(c.instance)));
    const excess = here - Math.max(BUSY_LOAD, this.#meanLoad(near));
    return Math.min(MAX_SPILL, Math.max(0, excess / Math.max(here, 1)));
  }

  #meanLoad(choices: readonly EntryChoice[]): number {
    const sum = choices.reduce((n, c) => n + this.#loadOf(c.instance), 0);
    return sum / choices.length;
  }
}

function groupBy<K>(
  choices: readonly EntryChoice[],
  keyOf: (choice: EntryChoice) => K,
): Map<K, EntryChoice[]> {
  const groups = new Map<K, EntryChoice[]>();
  for (const choice of choices) {
    const group = groups.get(keyOf(choice));
    if (group) group.push(choice);
    else groups.set(keyOf(choice), [choice]);
  }
  return groups;
}
