/**
 * Each instance's share of a rate, in proportion to its demand.
 *
 * Load: callers choose instances, so an account's requests are spread unevenly
 * over the fleet and move when instances fail or callers move. With equal shares
 * one instance refuses requests while the rate is unused at another. Instances
 * gossip their demand, and each computes all shares from the same numbers, so
 * they sum to about one without agreement.
 *
 * An unreachable instance may be alive behind a partition and spending. Its last
 * share stays reserved, and the reachable instances divide the rest. An instance
 * that is cut off from all keeps its own last share.
 *
 * @module
 */
import type { InstanceId } from "../../core/mod.ts";
import type { RatedId } from "./fleet_demand.ts";

/**
 * Part of the rate that is shared equally, so that an instance with new demand
 * can admit requests before its peers know.
 */
const EQUAL_PART = 0.2;
/**
 * Ticks for which divisions are kept. The share of an unreachable instance is
 * reserved as it was so long ago, before the partition: callers may have moved
 * to the reachable side since, where its share would seem small and be spent a
 * second time.
 */
const TICKS_KEPT = 5;
/** Demand below which shares stay equal, in requests a second. */
const LEAST_DEMAND = 0.5;

/** Recent requests a second, by account. */
export type Demand = ReadonlyMap<RatedId, number>;

/** Inputs from which shares are computed. */
interface Division {
  /** Requests a second of all reachable instances, by account. */
  readonly demand: ReadonlyMap<RatedId, number>;
  /** The part of the rate reserved for unreachable instances, by account. */
  readonly reserved: ReadonlyMap<RatedId, number>;
  /** Unreachable instances, each of which holds its equal part at least. */
  readonly unreachable: number;
  /** Reachable instances, and how many of them have reported. */
  readonly heard: number;
  readonly reported: number;
}

interface ReportedDemand {
  readonly demand: Demand;
  /** Instances that the report covers: one, or those of a zone. */
  readonly instances: number;
}

/** What is reserved for one group. */
export interface Reservation extends Reserved {
  readonly group: InstanceId;
}

/** Sums reservations. */
export function sumOfReserved(parts: Iterable<Reserved>): Reserved {
  const all = [...parts];
  const shares = new Map<RatedId, number>();
  for (const part of all) addAll(shares, part.shares);
  return { shares, instances: instancesIn(all) };
}

/** A division and the reports it was computed from. */
interface Snapshot {
  readonly reported: ReadonlyMap<InstanceId, ReportedDemand>;
  readonly division: Division;
}

/** Parts of rates that unreachable instances may be spending. */
export interface Reserved {
  readonly shares: ReadonlyMap<RatedId, number>;
  readonly instances: number;
}

/** Demands of the fleet as one instance knows them. */
export class DemandShares {
  readonly #own: InstanceId;
  readonly #fleetSize: () => number;
  readonly #reported = new Map<InstanceId, ReportedDemand>();
  /** Shares of unreachable instances as of their last report. */
  readonly #reserved = new Map<InstanceId, Reserved>();
  /** Shares reserved by groups for their own unreachable instances. */
  readonly #reservedBy = new Map<InstanceId, Reserved>();
  /** Computed on first use: the fleet is not constructed before. */
  #known: Division | undefined;
  /** The oldest first. */
  readonly #snapshots: Snapshot[] = [];
  #divisions = 0;

  /**
   * @param own This instance.
   * @param fleetSize Instances that may spend, this one and those without a
   * report yet included.
   */
  constructor(own: InstanceId, fleetSize: () => number) {
    this.#own = own;
    this.#fleetSize = fleetSize;
  }

  /** Applies a report of an instance's or a group's demand. */
  reported(
    instance: InstanceId,
    demand: Demand,
    opts: { readonly instances?: number; readonly reserved?: Reserved } = {},
  ): void {
    const { instances = 1, reserved } = opts;
    this.#reserved.delete(instance);
    if (reserved !== undefined) this.#reservedBy.set(instance, reserved);
    this.#reported.set(instance, { demand, instances });
  }

  /** Applies this instance's own demand and divides again; run once a tick. */
  tick(demand: Demand): void {
    this.reported(this.#own, demand);
    this.#known = this.#divide();
    const snapshot = {
      reported: new Map(this.#reported),
      division: this.#division,
    };
    this.#snapshots.push(snapshot);
    if (this.#snapshots.length > TICKS_KEPT) this.#snapshots.shift();
  }

  /** Reserves the share of an instance that became unreachable. */
  unreachable(instance: InstanceId): void {
    const reported = this.#reported.get(instance);
    if (reported === undefined || instance === this.#own) return;
    const [before] = this.#snapshots;
    const asked = before?.reported.get(instance) ?? reported;
    const division = before?.division ?? this.#division;
    const shares = new Map<RatedId, number>();
    for (const account of asked.demand.keys()) {
      shares.set(account, shareOf(asked, division, account));
    }
    this.#reported.delete(instance);
    const { instances } = reported;
    this.#reserved.set(instance, { shares, instances });
    this.#known = this.#divide();
  }

  /** Removes an instance that has ended. */
  forget(instance: InstanceId): void {
    if (instance === this.#own) return;
    this.#reported.delete(instance);
    this.#reserved.delete(instance);
    this.#reservedBy.delete(instance);
    this.#known = this.#divide();
  }

  /** What is reserved for unreachable instances, by group. */
  get reservations(): readonly Reservation[] {
    return [...this.#reserved, ...this.#reservedBy]
      .map(([group, { shares, instances }]) => ({ group, shares, instances }))
      .filter(({ instances }) => instances > 0);
  }

  /**
   * This instance's part of an account's rate, in [0, 1].
   *
   * @example
   * const ratePerS = account.ratePerS * shares.own(account.id);
   */
  own(account: RatedId): number {
    const demand = this.#reported.get(this.#own)?.demand ?? NO_DEMAND;
    return shareOf({ demand, instances: 1 }, this.#division, account);
  }

  /** Counts divisions; shares stay as they are until the next. */
  get divisions(): number {
    return this.#divisions;
  }

  /** Whether each instance that may spend reported or has its share reserved. */
  get allKnown(): boolean {
    return this.#division.reported >= this.#division.heard;
  }

  /** Reachable peers; a zone counts as one. */
  get others(): readonly InstanceId[] {
    return [...this.#reported.keys()].filter((id) => id !== this.#own);
  }

  /**
   * Requests a second of all reachable instances; those without a report yet
   * are assumed to have the mean demand.
   */
  heardPerS(id: RatedId): number {
    return heardPerS(this.#division, id);
  }

  /** Requests a second at this instance. */
  ownPerS(id: RatedId): number {
    return this.#reported.get(this.#own)?.demand.get(id) ?? 0;
  }

  /** Requests a second of an account at the peers. */
  othersPerS(account: RatedId): number {
    const all = this.#division.demand.get(account) ?? 0;
    return Math.max(0, all - this.ownPerS(account));
  }

  /** The part of a rate that is reserved for unreachable instances, in [0, 1]. */
  reserved(account: RatedId): number {
    return reservedOf(this.#division, account);
  }

  get #division(): Division {
    return this.#known ??= this.#divide();
  }

  #divide(): Division {
    this.#divisions++;
    const demand = new Map<RatedId, number>();
    for (const reported of this.#reported.values()) {
      addAll(demand, reported.demand);
    }
    const { shares: reserved, instances: unreachable } = sumOfReserved([
      ...this.#reserved.values(),
      ...this.#reservedBy.values(),
    ]);
    const heard = Math.max(1, this.#fleetSize() - unreachable);
    const reported = instancesIn(this.#reported.values());
    return { demand, reserved, unreachable, heard, reported };
  }
}

const NO_DEMAND: Demand = new Map();

function instancesIn(groups: Iterable<{ instances: number }>): number {
  let sum = 0;
  for (const { instances } of groups) sum += instances;
  return sum;
}

function addAll(sums: Map<RatedId, number>, parts: Demand): void {
  for (const [account, part] of parts) {
    sums.set(account, (sums.get(account) ?? 0) + part);
  }
}

function shareOf(
  { demand, instances }: ReportedDemand,
  division: Division,
  account: RatedId,
): number {
  const free = 1 - reservedOf(division, account);
  const even = free * Math.min(1, instances / division.heard);
  const all = heardPerS(division, account);
  if (all < LEAST_DEMAND) return even;
  const mine = Math.min(1, (demand.get(account) ?? 0) / all);
  return EQUAL_PART * even + (1 - EQUAL_PART) * free * mine;
}

function heardPerS({ demand, heard, reported }: Division, id: RatedId): number {
  return (demand.get(id) ?? 0) * heard / Math.max(1, reported);
}

/** Unreachable instances without demand keep their equal part. */
function reservedOf(division: Division, account: RatedId): number {
  const { reserved, unreachable, heard } = division;
  const floor = EQUAL_PART * unreachable / (unreachable + heard);
  return Math.min(1, Math.max(floor, reserved.get(account) ?? 0));
}
