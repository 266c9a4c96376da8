/**
 * Decides whether an instance is a reserve: one that serves whoever connects,
 * but that callers are not sent to while the strong instances of its zone have
 * ample room.
 *
 * Load: callers choose uniformly among the instances that the directory names,
 * so one with 0.27 cores and 7 Mbit/s gets as many as one with 1.35 cores and
 * 140 Mbit/s. Fewer instances in use also mean fewer connections to endpoints and
 * rates that are split less.
 *
 * An instance becomes a reserve slowly and stops at once. Each decides by itself
 * from the reports of its zone, so one that hears of nobody is no reserve. No
 * instance is weak in a fleet whose instances are alike.
 *
 * @module
 */

/** One serving instance of the zone. */
export interface ZoneInstance {
  /** Usable processor cores. */
  readonly capacity: number;
  /** Binary logarithm of the link's bytes a second; undefined if unknown. */
  readonly linkClass?: number | undefined;
  /** Share of the capacity in use; undefined if unknown. */
  readonly utilization?: number | undefined;
}

/** Why an instance is no reserve. */
export type ReserveObstacle =
  | "strong"
  | "few_strong"
  | "little_capacity"
  | "unknown_utilization"
  | "busy"
  | "too_early";

/** An instance with less of the strongest one's capacity is weak. */
const WEAK_SHARE = 0.5;
/** The same for links: a class is a factor of two, and is rounded. */
const WEAK_LINK_CLASSES = 2;
/** Fewer strong instances in a zone have no reserves: one of them may fail. */
export const MIN_STRONG = 2;
/**
 * Minimum share of the zone's capacity that is strong. Below, the strong ones
 * are too little for the zone's peaks.
 */
const MIN_STRONG_SHARE = 0.25;
/**
 * Utilization of the strong instances, if they did all of the zone's work, up to
 * which the others become reserves: a burst of 2.3 times stays at 0.7 of them.
 */
const MAX_UTILIZATION_TO_BEGIN = 0.3;
/**
 * Utilization from which reserves are named again. Callers follow the directory
 * within 2 to 6 s, and the load rises meanwhile.
 */
const MAX_UTILIZATION_TO_STAY = 0.5;
/**
 * Work counts for this long, in milliseconds: that of an instance that fails
 * shows at the others once its callers have connected there.
 */
const WORK_WINDOW_MS = 3_000;
/** How long nothing must be in the way before an instance becomes a reserve. */
const BEGIN_AFTER_MS = 5_000;
/** The same after a reserve was needed: longer than a wave of demand of 36 s. */
const BEGIN_AFTER_BUSY_MS = 60_000;
/**
 * The instances of a zone become reserves over this time, in milliseconds, so
 * that the strong ones' utilization shows before all their callers have moved.
 */
const BEGIN_SPREAD_MS = 5_000;

/** The role of one instance. */
export class ReserveRole {
  readonly #spreadMs: number;
  #isReserve = false;
  #obstacle: ReserveObstacle | undefined = "too_early";
  #clearSince: number | undefined;
  #delayMs = BEGIN_AFTER_MS;
  #utilization: number | undefined;
  /** Processor cores in use in the zone, latest last. */
  #work: { readonly at: number; readonly cores: number }[] = [];

  /** @param position In [0, 1), differs between the instances of a zone. */
  constructor(position: number) {
    this.#spreadMs = position * BEGIN_SPREAD_MS;
  }

  get isReserve(): boolean {
    return this.#isReserve;
  }

  /** Why the instance is no reserve; undefined if it is one. */
  get obstacle(): ReserveObstacle | undefined {
    return this.#obstacle;
  }

  /** Utilization of the strong instances with all of the zone's work. */
  get strongUtilization(): number | undefined {
    return this.#utilization;
  }

  /**
   * Decides from the latest reports.
   *
   * @param own This instance; undefined while it is not serving.
   * @param peers The zone's other instances that serve and report.
   */
  update(
    own: ZoneInstance | undefined,
    peers: readonly ZoneInstance[],
    now: number,
  ): boolean {
    const obstacle = own === undefined
      ? "too_early"
      : this.#findObstacle(own, [own, ...peers], now);
    if (obstacle !== undefined) {
      this.#clearSince = undefined;
      if (this.#isReserve) {
        this.#delayMs = obstacle === "busy"
          ? BEGIN_AFTER_BUSY_MS
          : BEGIN_AFTER_MS;
      }
      return this.#set(obstacle);
    }
    this.#clearSince ??= now;
    if (now - this.#clearSince < this.#delayMs + this.#spreadMs) {
      return this.#set(this.#isReserve ? undefined : "too_early");
    }
    return this.#set(undefined);
  }

  #set(obstacle: ReserveObstacle | undefined): boolean {
    this.#obstacle = obstacle;
    this.#isReserve = obstacle === undefined;
    return this.#isReserve;
  }

  #findObstacle(
    own: ZoneInstance,
    zone: readonly ZoneInstance[],
    now: number,
  ): ReserveObstacle | undefined {
    this.#recordWork(zone, now);
    this.#utilization = undefined;
    const strong = strongOf(zone);
    if (strong.includes(own)) return "strong";
    if (strong.length < MIN_STRONG) return "few_strong";
    const cores = sum(strong.map(({ capacity }) => capacity));
    const allCores = sum(zone.map(({ capacity }) => capacity));
    if (cores < allCores * MIN_STRONG_SHARE) return "little_capacity";
    if (strong.some(({ utilization }) => utilization === undefined)) {
      return "unknown_utilization";
    }
    this.#utilization = Math.max(...this.#work.map((w) => w.cores)) / cores;
    const most = this.#isReserve
      ? MAX_UTILIZATION_TO_STAY
      : MAX_UTILIZATION_TO_BEGIN;
    return this.#utilization > most ? "busy" : undefined;
  }

  #recordWork(zone: readonly ZoneInstance[], now: number): void {
    const cores = sum(
      // One whose utilization is unknown may be using all it has.
      zone.map(({ capacity, utilization = 1 }) => capacity * utilization),
    );
    this.#work = this.#work.filter(({ at }) => now - at <= WORK_WINDOW_MS);
    this.#work.push({ at: now, cores });
  }
}

/**
 * The instances of a zone that are not weak.
 *
 * @example
 * ```ts
 * strongOf([{ capacity: 1 }, { capacity: 0.9 }, { capacity: 0.2 }]); // the first two
 * ```
 */
export function strongOf<T extends ZoneInstance>(
  zone: readonly T[],
): readonly T[] {
  return zone.filter((instance) => !isWeak(instance, zone));
}

/** Whether another instance has far more of one resource and no less of others. */
function isWeak(
  instance: ZoneInstance,
  zone: readonly ZoneInstance[],
): boolean {
  return zone.some((other) => isFarStronger(other, instance));
}

function isFarStronger(a: ZoneInstance, b: ZoneInstance): boolean {
  const classes = a.linkClass === undefined || b.linkClass === undefined
    ? 0
    : a.linkClass - b.linkClass;
  if (a.capacity < b.capacity || classes < 0) return false;
  return b.capacity < a.capacity * WEAK_SHARE || classes >= WEAK_LINK_CLASSES;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
