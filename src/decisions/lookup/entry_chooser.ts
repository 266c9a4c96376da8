/**
 * Selects the entry instances that a caller should use.
 *
 * Load: uneven load, and instances that leave. If every answer named the least
 * loaded instance, all callers would go there until the next load report, and
 * load would oscillate between instances; if all callers of a leaving instance
 * had the same next choice, it would be overloaded. So answers are drawn at
 * random, weighted by smoothed load, and are reused for a jittered time.
 *
 * @module
 */
import type { InstanceId, Random, RegionId, ZoneId } from "../../core/mod.ts";

/** An entry instance that callers may use. */
export interface EntryChoice {
  readonly instance: InstanceId;
  readonly url: string;
  readonly zone: ZoneId;
  readonly region: RegionId;
}

/** The zone and region of a caller. */
export type CallerLocation = Pick<EntryChoice, "zone" | "region">;

/** Maximum of instances in an answer. */
export const MAX_CHOICES = 4;
/** The longest time, jitter included, for which an answer is reused. */
export const MAX_REUSE_MS = 2_000;
/** The shortest time, jitter included, for which an answer is reused. */
export const MIN_REUSE_MS = 1_200;
const REUSE_MS = 1_600;
const REUSE_JITTER = 0.25;

/** Time constant of the load average: a few times the reuse of an answer. */
const SMOOTHING_MS = 5_000;
/** Loads below this count as idle; differences between them are noise. */
const IDLE_LOAD = 0.25;
/** The weight of an idle instance is 1; a busy one keeps at least this. */
const MIN_WEIGHT = 0.25;
/** Above this zone load, some callers are sent to the region's other zones. */
const SPILL_LOAD = 0.7;
/** Most instances ranked per tier and answer: those of a zone at full size. */
const MAX_RANKED = 40;
/** Maximum share of a zone's callers that spill, so that zones don't swap them. */
const MAX_SPILL_SHARE = 0.5;

interface SmoothedLoad {
  load: number;
  at: number;
}

/**
 * Selects the instances of look-up answers.
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
  readonly #loads = new Map<InstanceId, SmoothedLoad>();
  readonly #spillShares = new Map<ZoneId, number>();
  #all: readonly EntryChoice[] = [];
  #byZone = new Map<ZoneId, EntryChoice[]>();
  #byRegion = new Map<RegionId, EntryChoice[]>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Adds an instance's reported load, from 0 up, to its average. */
  observe(instance: InstanceId, load: number, now: number): void {
    const known = this.#loads.get(instance);
    if (known === undefined) {
      this.#loads.set(instance, { load, at: now });
      return;
    }
    const weight = 1 - Math.exp(-Math.max(0, now - known.at) / SMOOTHING_MS);
    known.load += weight * (load - known.load);
    known.at = now;
  }

  /** Removes the loads of instances that are not in `known`. */
  retain(known: ReadonlySet<string>): void {
    for (const id of this.#loads.keys()) {
      if (!known.has(id)) this.#loads.delete(id);
    }
  }

  /** Indexes the candidates, so that the cost of an answer is bounded. */
  prepare(candidates: readonly EntryChoice[]): void {
    this.#all = candidates;
    this.#byZone = groupBy(candidates, (c) => c.zone);
    this.#byRegion = groupBy(candidates, (c) => c.region);
    this.#spillShares.clear();
  }

  /** The zone with its region; undefined if it has no candidate. */
  locationOf(zone: ZoneId): CallerLocation | undefined {
    return this.#byZone.get(zone)?.[0];
  }

  /** Selects near instances first, and idle ones more often than busy ones. */
  choose(location: CallerLocation): EntryChoice[] {
    const { zone, region } = location;
    const own = () => this.#ranked(this.#byZone.get(zone) ?? []);
    const near = () =>
      this.#ranked(this.#byRegion.get(region) ?? [])
        .filter((c) => c.zone !== zone);
    const far = () =>
      this.#ranked(this.#all).filter((c) => c.region !== region);
    const spill = this.#random.next() < this.#spillShare(location);
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

  /** A weighted random order of a tier; of a large one, of a random slice. */
  #ranked(tier: readonly EntryChoice[]): EntryChoice[] {
    const from = this.#random.below(Math.max(1, tier.length));
    const size = Math.min(tier.length, MAX_RANKED);
    const ranked = Array.from({ length: size }, (_, i) => {
      const choice = tier[(from + i) % tier.length] as EntryChoice;
      return { choice, rank: this.#rank(choice) };
    });
    return ranked.sort((a, b) => a.rank - b.rank).map((r) => r.choice);
  }

  /** Exponential ranks: an instance ranks first with probability by its weight. */
  #rank({ instance }: EntryChoice): number {
    return -Math.log(1 - this.#random.next()) / this.#weight(instance);
  }

  #weight(instance: InstanceId): number {
    const load = Math.max(IDLE_LOAD, this.#loadOf(instance));
    return Math.max(MIN_WEIGHT, IDLE_LOAD / load);
  }

  #loadOf(instance: InstanceId): number {
    return this.#loads.get(instance)?.load ?? 0;
  }

  /** Share of the zone's callers to send to the region's other zones first. */
  #spillShare(location: CallerLocation): number {
    const known = this.#spillShares.get(location.zone);
    if (known !== undefined) return known;
    const share = this.#computeSpillShare(location);
    this.#spillShares.set(location.zone, share);
    return share;
  }

  #computeSpillShare({ zone, region }: CallerLocation): number {
    const own = this.#byZone.get(zone) ?? [];
    const near = (this.#byRegion.get(region) ?? [])
      .filter((c) => c.zone !== zone);
    if (own.length === 0 || near.length === 0) return 0;
    // A zone with an idle instance is not busy: weights shift load to that one.
    const lowestLoad = Math.min(...own.map((c) => this.#loadOf(c.instance)));
    const excess = lowestLoad - Math.max(SPILL_LOAD, this.#meanLoad(near));
    return Math.min(
      MAX_SPILL_SHARE,
      Math.max(0, excess / Math.max(lowestLoad, 1)),
    );
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
