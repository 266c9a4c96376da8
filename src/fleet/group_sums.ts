/**
 * What several instances, or zones, were asked for, admitted and have in
 * flight, summed as one instance tells it to others.
 *
 * @module
 */
import type { EndpointId, InstanceId } from "../core/mod.ts";
import type { RatedId, RateUse } from "../decisions/quotas/mod.ts";
import type { GroupReport } from "./fleet_feed.ts";
import type { Report } from "./report_rows.ts";

/** Uses of accounts and requests in flight, of an instance or of several. */
export type Sums = Pick<Report, "uses" | "inFlight">;

interface Group {
  readonly news: GroupReport;
  readonly suspect: boolean;
  /** Requests admitted since the start, accounts out of use included. */
  readonly admitted: Map<RatedId, number>;
  /** Whether accounts that were not reported yet begin at zero. */
  readonly fromZero: boolean;
}

/**
 * Sums over groups. What was admitted counts up for good, though instances
 * come, start anew and go: it is the sum of what each admitted more than it had
 * reported before. Were the counts themselves added up, a restart would look
 * like requests taken back, and readers would admit them a second time.
 */
export class GroupSums {
  readonly #groups = new Map<InstanceId, Group>();
  readonly #admitted = new Map<RatedId, number>();
  readonly #own = new Map<RatedId, number>();

  /** The last news of the groups that are not suspect. */
  get heard(): readonly GroupReport[] {
    return [...this.#groups.values()]
      .filter(({ suspect }) => !suspect).map(({ news }) => news);
  }

  /**
   * Takes in a report.
   *
   * @param opts Whether all that the group admitted was admitted just now.
   */
  report(news: GroupReport, { fresh }: { readonly fresh: boolean }): void {
    const before = this.#groups.get(news.group);
    const counted = before?.suspect === false ? before : undefined;
    const same = counted?.news.start === news.start;
    const admitted = same ? counted.admitted : new Map<RatedId, number>();
    const fromZero = same ? counted.fromZero : fresh || counted !== undefined;
    for (const [account, use] of news.uses) {
      // What one admitted before it was first heard was reported by another.
      if (!fromZero && !admitted.has(account)) {
        admitted.set(account, use.admitted);
      } else this.#count(account, use.admitted, admitted);
    }
    this.#groups.set(news.group, { news, suspect: false, admitted, fromZero });
  }

  /**
   * Leaves out what a group that may be cut off is asked for. What it admits
   * until it is heard again is in the share that is set aside for it.
   */
  suspect(group: InstanceId): void {
    const known = this.#groups.get(group);
    if (known === undefined) return;
    const news = { ...known.news, uses: NO_USES };
    this.#groups.set(group, { ...known, news, suspect: true });
  }

  /** Leaves out what an unreachable group is asked for and has in flight. */
  unreachable(group: InstanceId): void {
    const known = this.#groups.get(group);
    if (known === undefined) return;
    const news = { ...known.news, uses: NO_USES, inFlight: NO_FLIGHT };
    this.#groups.set(group, { ...known, news });
  }

  forget(group: InstanceId): void {
    this.#groups.delete(group);
  }

  /** Sums over all groups and `own`, what is reported besides them. */
  with(own: Sums): Sums {
    return { uses: this.#uses(own.uses), inFlight: this.#inFlight(own) };
  }

  #uses(own: ReadonlyMap<RatedId, RateUse>): Map<RatedId, RateUse> {
    for (const [account, { admitted }] of own) {
      this.#count(account, admitted, this.#own);
    }
    const sums = new Map<RatedId, RateUse>();
    const all = [own, ...[...this.#groups.values()].map((g) => g.news.uses)];
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

  #inFlight(own: Sums): Map<EndpointId, number> {
    const sums = new Map(own.inFlight);
    for (const { news } of this.#groups.values()) {
      for (const [endpoint, n] of news.inFlight) {
        sums.set(endpoint, (sums.get(endpoint) ?? 0) + n);
      }
    }
    return sums;
  }

  /** Counts what was admitted since `known` was last brought up to date. */
  #count(
    account: RatedId,
    admitted: number,
    known: Map<RatedId, number>,
  ): void {
    const more = Math.max(0, admitted - (known.get(account) ?? 0));
    known.set(account, admitted);
    this.#admitted.set(account, (this.#admitted.get(account) ?? 0) + more);
  }
}

const NO_USES: ReadonlyMap<RatedId, RateUse> = new Map();
const NO_FLIGHT: ReadonlyMap<EndpointId, number> = new Map();
