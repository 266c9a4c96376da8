/**
 * Each instance's share of a rate, in proportion to its demand.
 *
 * Load: callers choose instances, so an account's requests are spread unevenly
 * over the fleet, and shift when instances fail or callers switch instances.
 * With equal shares one instance refuses requests while the rate is unused at
 * another. Instances gossip their demand, and each computes its share from the
 * same numbers, so shares sum to about one without consensus.
 *
 * An unreachable instance may be alive behind a partition and admitting. Its
 * last share stays reserved, and the reachable instances divide the rest. An
 * isolated instance keeps its own last share.
 *
 * @module
 */
import type { InstanceId } from "../../core/mod.ts";
import type { RateLimitId } from "./fleet_demand.ts";

/**
 * Fraction of the rate that is divided equally, so that an instance with new
 * demand can admit requests before its peers have received its report.
 */
const EQUAL_FRACTION = 0.2;
/**
 * Ticks for which snapshots are kept. The share reserved for an unreachable
 * instance is that of the oldest snapshot, from before the partition: callers
 * may have switched to the reachable side since, where its share would seem
 * small and be spent a second time.
 */
const SNAPSHOT_TICKS = 5;
/** Below this fleet demand, in requests a second, shares are equal. */
const MIN_DEMAND_PER_S = 0.5;

/** Recent requests a second, by account. */
export type Demand = ReadonlyMap<RateLimitId, number>;

/** Inputs from which shares are computed. */
interface ShareInputs {
  /** Requests a second of all reachable instances, by account. */
  readonly demand: ReadonlyMap<RateLimitId, number>;
  /** Fraction of the rate reserved for unreachable instances, by account. */
  readonly reserved: ReadonlyMap<RateLimitId, number>;
  /** Unreachable instances; each has its part of `EQUAL_FRACTION` at least. */
  readonly unreachableCount: number;
  /** Reachable instances, and how many of them have reported. */
  readonly heard: number;
  readonly reporting: number;
}

interface ReportedDemand {
  readonly demand: Demand;
  /** Instances that the report covers: one, or a group's. */
  readonly instances: number;
}

/** Shares reserved for one group. */
export interface Reservation extends ReservedShares {
  readonly group: InstanceId;
}

export function sumOfReserved(parts: Iterable<ReservedShares>): ReservedShares {
  const all = [...parts];
  const shares = new Map<RateLimitId, number>();
  for (const part of all) addAll(shares, part.shares);
  return { shares, instances: countInstances(all) };
}

/** Inputs of one tick and the reports that they were computed from. */
interface Snapshot {
  readonly reports: ReadonlyMap<InstanceId, ReportedDemand>;
  readonly inputs: ShareInputs;
}

/** Fractions of rates that unreachable instances may be spending. */
export interface ReservedShares {
  readonly shares: ReadonlyMap<RateLimitId, number>;
  readonly instances: number;
}

/** One instance's view of the fleet's demand, and the shares it results in. */
export class DemandShares {
  readonly #own: InstanceId;
  readonly #fleetSize: () => number;
  readonly #reports = new Map<InstanceId, ReportedDemand>();
  /** Shares of unreachable instances as of the oldest snapshot. */
  readonly #reserved = new Map<InstanceId, ReservedShares>();
  /** Shares that groups have reserved for their own unreachable instances. */
  readonly #reservedBy = new Map<InstanceId, ReservedShares>();
  /** Computed lazily: `fleetSize` can't be called during construction. */
  #cachedInputs: ShareInputs | undefined;
  /** Oldest first. */
  readonly #snapshots: Snapshot[] = [];
  #version = 0;

  /**
   * @param fleetSize Instances that may admit requests, this one and those that
   * have not reported yet included.
   */
  constructor(own: InstanceId, fleetSize: () => number) {
    this.#own = own;
    this.#fleetSize = fleetSize;
  }

  /** Applies an instance's or a group's report of its demand. */
  applyReport(
    instance: InstanceId,
    demand: Demand,
    opts: { readonly instances?: number; readonly reserved?: ReservedShares } =
      {},
  ): void {
    const { instances = 1, reserved } = opts;
    this.#reserved.delete(instance);
    if (reserved !== undefined) this.#reservedBy.set(instance, reserved);
    this.#reports.set(instance, { demand, instances });
  }

  /** Applies this instance's own demand and recomputes shares, once a tick. */
  tick(demand: Demand): void {
    this.applyReport(this.#own, demand);
    this.#cachedInputs = this.#computeInputs();
    const snapshot = {
      reports: new Map(this.#reports),
      inputs: this.#inputs,
    };
    this.#snapshots.push(snapshot);
    if (this.#snapshots.length > SNAPSHOT_TICKS) this.#snapshots.shift();
  }

  /** Reserves the share of an instance that became unreachable. */
  markUnreachable(instance: InstanceId): void {
    const current = this.#reports.get(instance);
    if (current === undefined || instance === this.#own) return;
    const [oldest] = this.#snapshots;
    const earlier = oldest?.reports.get(instance) ?? current;
    const inputs = oldest?.inputs ?? this.#inputs;
    const shares = new Map<RateLimitId, number>();
    for (const account of earlier.demand.keys()) {
      shares.set(account, shareOf(earlier, inputs, account));
    }
    this.#reports.delete(instance);
    const { instances } = current;
    this.#reserved.set(instance, { shares, instances });
    this.#cachedInputs = this.#computeInputs();
  }

  /** Removes an instance that has ended. */
  remove(instance: InstanceId): void {
    if (instance === this.#own) return;
    this.#reports.delete(instance);
    this.#reserved.delete(instance);
    this.#reservedBy.delete(instance);
    this.#cachedInputs = this.#computeInputs();
  }

  /** Shares reserved for unreachable instances, by group. */
  get reservations(): readonly Reservation[] {
    return [...this.#reserved, ...this.#reservedBy]
      .map(([group, { shares, instances }]) => ({ group, shares, instances }))
      .filter(({ instances }) => instances > 0);
  }

  /**
   * This instance's share of an account's rate, in [0, 1].
   *
   * @example
   * const ratePerS = account.ratePerS * shares.own(account.id);
   */
  own(account: RateLimitId): number {
    const demand = this.#reports.get(this.#own)?.demand ?? NO_DEMAND;
    return shareOf({ demand, instances: 1 }, this.#inputs, account);
  }

  /** Incremented whenever shares are recomputed. */
  get version(): number {
    return this.#version;
  }

  /** Reachable instances whose reports are known, this one included. */
  get reporting(): number {
    return this.#inputs.reporting;
  }

  /** Reachable instances, those without a report included. */
  get reachable(): number {
    return this.#inputs.heard;
  }

  /** Part of the reachable instances whose reports are known, in (0, 1]. */
  get coverage(): number {
    const { heard, reporting } = this.#inputs;
    return Math.min(1, reporting / heard);
  }

  /** Whether each instance has reported or has its share reserved. */
  get complete(): boolean {
    return this.#inputs.reporting >= this.#inputs.heard;
  }

  /** Reachable peers; a group counts as one. */
  get peers(): readonly InstanceId[] {
    return [...this.#reports.keys()].filter((id) => id !== this.#own);
  }

  /**
   * Requests a second of all reachable instances; those that have not reported
   * yet are assumed to have the mean demand.
   */
  reachablePerS(id: RateLimitId): number {
    return reachablePerS(this.#inputs, id);
  }

  /** Requests a second at this instance. */
  ownPerS(id: RateLimitId): number {
    return this.#reports.get(this.#own)?.demand.get(id) ?? 0;
  }

  /** Requests a second of an account at the peers. */
  peersPerS(account: RateLimitId): number {
    const totalPerS = this.#inputs.demand.get(account) ?? 0;
    return Math.max(0, totalPerS - this.ownPerS(account));
  }

  /** Fraction of a rate reserved for unreachable instances, in [0, 1]. */
  reserved(account: RateLimitId): number {
    return reservedOf(this.#inputs, account);
  }

  get #inputs(): ShareInputs {
    return this.#cachedInputs ??= this.#computeInputs();
  }

  #computeInputs(): ShareInputs {
    this.#version++;
    const demand = new Map<RateLimitId, number>();
    for (const report of this.#reports.values()) {
      addAll(demand, report.demand);
    }
    const { shares: reserved, instances: unreachableCount } = sumOfReserved([
      ...this.#reserved.values(),
      ...this.#reservedBy.values(),
    ]);
    const heard = Math.max(1, this.#fleetSize() - unreachableCount);
    const reporting = countInstances(this.#reports.values());
    return { demand, reserved, unreachableCount, heard, reporting };
  }
}

const NO_DEMAND: Demand = new Map();

function countInstances(groups: Iterable<{ instances: number }>): number {
  let sum = 0;
  for (const { instances } of groups) sum += instances;
  return sum;
}

function addAll(sums: Map<RateLimitId, number>, parts: Demand): void {
  for (const [account, part] of parts) {
    sums.set(account, (sums.get(account) ?? 0) + part);
  }
}

function shareOf(
  { demand, instances }: ReportedDemand,
  inputs: ShareInputs,
  account: RateLimitId,
): number {
  const available = 1 - reservedOf(inputs, account);
  const equalShare = available * Math.min(1, instances / inputs.heard);
  const totalPerS = reachablePerS(inputs, account);
  if (totalPerS < MIN_DEMAND_PER_S) return equalShare;
  const ownFraction = Math.min(1, (demand.get(account) ?? 0) / totalPerS);
  return EQUAL_FRACTION * equalShare +
    (1 - EQUAL_FRACTION) * available * ownFraction;
}

function reachablePerS(
  { demand, heard, reporting }: ShareInputs,
  id: RateLimitId,
): number {
  return (demand.get(id) ?? 0) * heard / Math.max(1, reporting);
}

/** Unreachable instances without demand keep their part of `EQUAL_FRACTION`. */
function reservedOf(inputs: ShareInputs, account: RateLimitId): number {
  const { reserved, unreachableCount, heard } = inputs;
  const floor = EQUAL_FRACTION * unreachableCount / (unreachableCount + heard);
  return Math.min(1, Math.max(floor, reserved.get(account) ?? 0));
}
