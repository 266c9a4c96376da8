/**
 * Each instance's share of a client account's rate, following demand.
 *
 * The load it answers: callers choose instances, so an account's requests lie
 * unevenly over the fleet and move when instances die or callers move. Equal
 * shares would refuse requests at one instance while the account's rate lies
 * unused at another. Instances tell each other how many requests of each
 * account they were asked for lately; every instance works out every share from
 * the same numbers, so the shares add up to about one without an agreement.
 *
 * An instance that becomes unreachable may be alive behind a partition, and
 * spend. So its share stays set aside as it last was, and those that hear each
 * other divide only the rest. One that is cut off from all divides what the
 * others do not hold: its own last share.
 *
 * @module
 */
import type { InstanceId } from "../../core/mod.ts";
import type { RatedId } from "./fleet_demand.ts";

/**
 * Part of the rate that is shared equally whatever the demand, so that an
 * instance at which an account turns up for the first time can serve it before
 * the others know.
 */
const EQUAL_PART = 0.2;
/**
 * Ticks for which divisions are kept. Shares of instances that become
 * unreachable are set aside as they were so long ago, before what cut them off:
 * since then callers may press on those that are heard, and the others' shares
 * would seem to have been small. Both sides would take more than they had.
 */
const TICKS_KEPT = 5;
/** Demand below this is no ground to move shares, in requests a second. */
const LEAST_DEMAND = 0.5;

/** Requests a second by account that an instance was asked for lately. */
export type Demand = ReadonlyMap<RatedId, number>;

/** What shares were worked out from at one moment. */
interface Division {
  /** Requests a second of all instances that are heard, by account. */
  readonly demand: ReadonlyMap<RatedId, number>;
  /** The part of the rate that unreachable instances hold, by account. */
  readonly reserved: ReadonlyMap<RatedId, number>;
  /** Silent instances, each of which holds a part of the floor at least; */
  readonly unreachable: number;
  /** Instances that are not unreachable, and how many of them have told. */
  readonly heard: number;
  readonly reported: number;
}

interface Told {
  readonly demand: Demand;
  /** How many instances this is of: one, or those of a zone. */
  readonly instances: number;
}

/** What is set aside of one group. */
export interface Reservation extends Reserved {
  readonly group: InstanceId;
}

/** Adds up what is set aside. */
export function sumOfReserved(parts: Iterable<Reserved>): Reserved {
  const all = [...parts];
  const shares = new Map<RatedId, number>();
  for (const part of all) addAll(shares, part.shares);
  return { shares, instances: instancesIn(all) };
}

/** How the rate was divided at one moment, and by what. */
interface Snapshot {
  readonly reported: ReadonlyMap<InstanceId, Told>;
  readonly division: Division;
}

/** Parts of rates that instances may be spending which are not heard. */
export interface Reserved {
  readonly shares: ReadonlyMap<RatedId, number>;
  readonly instances: number;
}

/** Demands of the fleet as one instance knows them. */
export class DemandShares {
  readonly #own: InstanceId;
  readonly #fleetSize: () => number;
  readonly #reported = new Map<InstanceId, Told>();
  /** Shares of unreachable instances, as they were when last heard. */
  readonly #reserved = new Map<InstanceId, Reserved>();
  /** Shares of instances that a group does not hear and stands for. */
  readonly #reservedBy = new Map<InstanceId, Reserved>();
  /** Undefined until it is first asked for: the fleet is not there before. */
  #known: Division | undefined;
  /** The oldest first. */
  readonly #snapshots: Snapshot[] = [];
  #divisions = 0;

  /**
   * @param own This instance.
   * @param fleetSize Instances that may spend, this one included, also those
   * that have not told their demand yet.
   */
  constructor(own: InstanceId, fleetSize: () => number) {
    this.#own = own;
    this.#fleetSize = fleetSize;
  }

  /** Takes in what an instance, or several as one, were asked for. */
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

  /** Takes in this instance's own demand and divides anew; run once a tick. */
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

  /** Sets aside the share of an instance that is not heard any more. */
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

  /** Leaves out an instance that has ended. */
  forget(instance: InstanceId): void {
    if (instance === this.#own) return;
    this.#reported.delete(instance);
    this.#reserved.delete(instance);
    this.#reservedBy.delete(instance);
    this.#known = this.#divide();
  }

  /** What is set aside for instances that are not heard, by group. */
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

  /** Whether all that may spend were heard, or their shares are set aside. */
  get allKnown(): boolean {
    return this.#division.reported >= this.#division.heard;
  }

  /** Others that are heard, each instance or zone as one. */
  get others(): readonly InstanceId[] {
    return [...this.#reported.keys()].filter((id) => id !== this.#own);
  }

  /**
   * Requests a second of all instances that are heard; those that have not
   * reported yet are taken to be asked as much as the rest.
   */
  heardPerS(id: RatedId): number {
    return heardPerS(this.#division, id);
  }

  /** Requests a second that this instance was asked for. */
  ownPerS(id: RatedId): number {
    return this.#reported.get(this.#own)?.demand.get(id) ?? 0;
  }

  /** Requests a second that the others were asked for of an account. */
  othersPerS(account: RatedId): number {
    const all = this.#division.demand.get(account) ?? 0;
    return Math.max(0, all - this.ownPerS(account));
  }

  /** The part of an account's rate that unreachable instances hold, in [0, 1]. */
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
  { demand, instances }: Told,
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

/** Silent instances that were not asked for the account hold their floor. */
function reservedOf(division: Division, account: RatedId): number {
  const { reserved, unreachable, heard } = division;
  const floor = EQUAL_PART * unreachable / (unreachable + heard);
  return Math.min(1, Math.max(floor, reserved.get(account) ?? 0));
}
