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
 * An instance that falls silent may be alive behind a partition, and spend. So
 * its share stays set aside as it last was, and those that hear each other
 * divide only the rest. One that is cut off from all divides what the others do
 * not hold: its own last share.
 *
 * @module
 */
import type { AccountId, InstanceId } from "../../core/mod.ts";

/**
 * Part of the rate that is shared equally whatever the demand, so that an
 * instance at which an account turns up for the first time can serve it before
 * the others know.
 */
const EQUAL_PART = 0.2;
/** Demand below this is no ground to move shares, in requests a second. */
const LEAST_DEMAND = 0.5;

/** Requests a second by account that an instance was asked for lately. */
export type Demand = ReadonlyMap<AccountId, number>;

/** Demands of the fleet as one instance knows them. */
export class DemandShares {
  readonly #own: InstanceId;
  readonly #fleetSize: () => number;
  readonly #demands = new Map<InstanceId, Demand>();
  /** Shares of silent instances, as they were when last heard. */
  readonly #reserved = new Map<InstanceId, ReadonlyMap<AccountId, number>>();

  /**
   * @param own This instance.
   * @param fleetSize Instances that may spend, this one included, also those
   * that have not told their demand yet.
   */
  constructor(own: InstanceId, fleetSize: () => number) {
    this.#own = own;
    this.#fleetSize = fleetSize;
  }

  /** Takes in what an instance was asked for, this one included. */
  told(instance: InstanceId, demand: Demand): void {
    this.#reserved.delete(instance);
    this.#demands.set(instance, demand);
  }

  /** Sets aside the share of an instance that is not heard any more. */
  silent(instance: InstanceId): void {
    const demand = this.#demands.get(instance);
    if (demand === undefined || instance === this.#own) return;
    const shares = new Map<AccountId, number>();
    for (const account of demand.keys()) {
      shares.set(account, this.#share(instance, account));
    }
    this.#demands.delete(instance);
    this.#reserved.set(instance, shares);
  }

  /** Leaves out an instance that has ended. */
  forget(instance: InstanceId): void {
    if (instance === this.#own) return;
    this.#demands.delete(instance);
    this.#reserved.delete(instance);
  }

  /**
   * This instance's part of an account's rate, in [0, 1].
   *
   * @example
   * ```ts
   * const ratePerS = account.ratePerS * shares.own(account.id);
   * ```
   */
  own(account: AccountId): number {
    return this.#share(this.#own, account);
  }

  #share(instance: InstanceId, account: AccountId): number {
    const fleet = Math.max(1, this.#fleetSize());
    const equal = 1 / fleet;
    const free = 1 - this.#reservedOf(account, equal);
    const heard = Math.max(1, fleet - this.#reserved.size);
    const mine = this.#demands.get(instance)?.get(account) ?? 0;
    let told = 0;
    for (const demand of this.#demands.values()) {
      told += demand.get(account) ?? 0;
    }
    // Those that have not told yet are taken to be asked as much as the rest.
    const all = told * heard / Math.max(1, this.#demands.size);
    const even = free / heard;
    if (all < LEAST_DEMAND) return even;
    return EQUAL_PART * even + (1 - EQUAL_PART) * free * mine / all;
  }

  #reservedOf(account: AccountId, equal: number): number {
    let reserved = 0;
    for (const shares of this.#reserved.values()) {
      reserved += shares.get(account) ?? EQUAL_PART * equal;
    }
    return Math.min(1, reserved);
  }
}
