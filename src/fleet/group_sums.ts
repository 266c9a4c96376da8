/**
 * What several instances, or zones, were asked for, admitted and have in
 * flight, summed as one instance tells it to others.
 *
 * @module
 */
import type { AccountId, EndpointId, InstanceId } from "../core/mod.ts";
import type { AccountUse } from "../decisions/quotas/mod.ts";

/** What one instance, or a zone as one, reported. */
export interface GroupReport {
  readonly group: InstanceId;
  /** Differs with each start of the group. */
  readonly start: string;
  readonly uses: ReadonlyMap<AccountId, AccountUse>;
  readonly inFlight: ReadonlyMap<EndpointId, number>;
  /** Whether all that it admitted was admitted just now. */
  readonly fresh: boolean;
}

interface Group extends Pick<GroupReport, "start" | "uses" | "inFlight"> {
  /** Requests admitted since the start, accounts out of use included. */
  readonly admitted: Map<AccountId, number>;
  /** Whether accounts that were not reported yet begin at zero. */
  fromZero: boolean;
}

/**
 * Sums over groups. What was admitted counts up for good, though instances
 * come, start anew and go: it is the sum of what each admitted more than it had
 * reported before. Were the counts themselves added up, a restart would look
 * like requests taken back, and readers would admit them a second time.
 */
export class GroupSums {
  readonly #groups = new Map<InstanceId, Group>();
  readonly #admitted = new Map<AccountId, number>();
  readonly #own = new Map<AccountId, number>();

  /** Takes in a report. */
  report({ group, start, uses, inFlight, fresh }: GroupReport): void {
    const before = this.#groups.get(group);
    const same = before?.start === start;
    const suspect = before?.start === SUSPECT;
    const admitted = same ? before.admitted : new Map<AccountId, number>();
    const fromZero = same
      ? before.fromZero
      : fresh || (before !== undefined && !suspect);
    for (const [account, use] of uses) {
      // What one admitted before it was first heard was reported by another.
      if (!fromZero && !admitted.has(account)) {
        admitted.set(account, use.admitted);
      } else this.#count(account, use.admitted, admitted);
    }
    this.#groups.set(group, { start, uses, inFlight, admitted, fromZero });
  }

  /**
   * Leaves out what a group that may be cut off is asked for. What it admits
   * until it is heard again is in the share that is set aside for it.
   */
  suspect(group: InstanceId): void {
    const known = this.#groups.get(group);
    if (known === undefined) return;
    const rebased = { admitted: new Map(), fromZero: false, start: SUSPECT };
    this.#groups.set(group, { ...known, ...rebased, uses: NO_USES });
  }

  /** Leaves out what an unreachable group is asked for and has in flight. */
  unreachable(group: InstanceId): void {
    const known = this.#groups.get(group);
    if (known === undefined) return;
    const none = { uses: NO_USES, inFlight: NO_FLIGHT };
    this.#groups.set(group, { ...known, ...none });
  }

  forget(group: InstanceId): void {
    this.#groups.delete(group);
  }

  /** Uses of all groups, this instance's own included. */
  uses(own: ReadonlyMap<AccountId, AccountUse>): Map<AccountId, AccountUse> {
    for (const [account, { admitted }] of own) {
      this.#count(account, admitted, this.#own);
    }
    const sums = new Map<AccountId, AccountUse>();
    const all = [own, ...[...this.#groups.values()].map((g) => g.uses)];
    for (const uses of all) {
      for (const [account, use] of uses) {
        const sum = sums.get(account);
        sums.set(account, {
          perS: (sum?.perS ?? 0) + use.perS,
          admitted: this.#admitted.get(account) ?? 0,
          level: sum?.level ?? use.level,
        });
      }
    }
    return sums;
  }

  /** Requests of all groups at endpoints, this instance's own included. */
  inFlight(
    own: ReadonlyMap<EndpointId, number>,
  ): Map<EndpointId, number> {
    const sums = new Map(own);
    for (const { inFlight } of this.#groups.values()) {
      for (const [endpoint, n] of inFlight) {
        sums.set(endpoint, (sums.get(endpoint) ?? 0) + n);
      }
    }
    return sums;
  }

  /** Counts what was admitted since `known` was last brought up to date. */
  #count(
    account: AccountId,
    admitted: number,
    known: Map<AccountId, number>,
  ): void {
    const more = Math.max(0, admitted - (known.get(account) ?? 0));
    known.set(account, admitted);
    this.#admitted.set(account, (this.#admitted.get(account) ?? 0) + more);
  }
}

/** Stands for the start of a group that was suspected; no start is empty. */
const SUSPECT = "";
const NO_USES: ReadonlyMap<AccountId, AccountUse> = new Map();
const NO_FLIGHT: ReadonlyMap<EndpointId, number> = new Map();
