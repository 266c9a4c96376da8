/**
 * Sums of request rates, admissions and requests in flight over several
 * instances or zones, as a relay reports them.
 *
 * @module
 */
import type { EndpointId, InstanceId } from "../core/mod.ts";
import type { RateLimitId, RateUse } from "../decisions/quotas/mod.ts";
import type { GroupReport } from "./fleet_feed.ts";
import type { Report } from "./report_rows.ts";

/** Usage and requests in flight of one or several instances. */
export type Sums = Pick<Report, "uses" | "inFlight">;

interface Group {
  readonly report: GroupReport;
  readonly suspect: boolean;
  /** Admissions as last reported, including those of accounts now idle. */
  readonly admitted: Map<RateLimitId, number>;
  /** Whether the first count of an account is added in full. */
  readonly countsFromZero: boolean;
}

/**
 * Sums reports over groups. Admission counters only grow, although instances
 * join, restart and leave: each report adds its increase over the previous one.
 * If the counters themselves were added up, a restart would look like requests
 * taken back, and receivers would admit them a second time.
 */
export class GroupSums {
  readonly #groups = new Map<InstanceId, Group>();
  readonly #admitted = new Map<RateLimitId, number>();
  readonly #ownAdmitted = new Map<RateLimitId, number>();

  /** Latest reports of the groups that are not suspect. */
  get heard(): readonly GroupReport[] {
    return [...this.#groups.values()]
      .filter(({ suspect }) => !suspect).map(({ report }) => report);
  }

  /**
   * Adds a report.
   *
   * @param opts `fresh` if the group has just started: all admissions are new.
   */
  report(report: GroupReport, { fresh }: { readonly fresh: boolean }): void {
    const previous = this.#groups.get(report.group);
    const continued = previous?.suspect === false ? previous : undefined;
    const sameRun = continued?.report.start === report.start;
    const admitted = sameRun
      ? continued.admitted
      : new Map<RateLimitId, number>();
    const countsFromZero = sameRun
      ? continued.countsFromZero
      : fresh || continued !== undefined;
    for (const [account, use] of report.uses) {
      // Admissions before the first report were already reported elsewhere.
      if (!countsFromZero && !admitted.has(account)) {
        admitted.set(account, use.admitted);
      } else this.#count(account, use.admitted, admitted);
    }
    this.#groups.set(report.group, {
      report,
      suspect: false,
      admitted,
      countsFromZero,
    });
  }

  /**
   * Leaves out the usage of a group that may be partitioned. What it admits
   * until its next report is covered by the share reserved for it.
   */
  suspect(group: InstanceId): void {
    const known = this.#groups.get(group);
    if (known === undefined) return;
    const report = { ...known.report, uses: NO_USES };
    this.#groups.set(group, { ...known, report, suspect: true });
  }

  /** Leaves out the usage and requests in flight of an unreachable group. */
  unreachable(group: InstanceId): void {
    const known = this.#groups.get(group);
    if (known === undefined) return;
    const report = { ...known.report, uses: NO_USES, inFlight: NONE_IN_FLIGHT };
    this.#groups.set(group, { ...known, report });
  }

  forget(group: InstanceId): void {
    this.#groups.delete(group);
  }

  /** Sums over all groups and `own`, which belongs to none of them. */
  sumWith(own: Sums): Sums {
    return { uses: this.#uses(own.uses), inFlight: this.#inFlight(own) };
  }

  #uses(own: ReadonlyMap<RateLimitId, RateUse>): Map<RateLimitId, RateUse> {
    for (const [account, { admitted }] of own) {
      this.#count(account, admitted, this.#ownAdmitted);
    }
    const sums = new Map<RateLimitId, RateUse>();
    const all = [own, ...[...this.#groups.values()].map((g) => g.report.uses)];
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
    for (const { report } of this.#groups.values()) {
      for (const [endpoint, n] of report.inFlight) {
        sums.set(endpoint, (sums.get(endpoint) ?? 0) + n);
      }
    }
    return sums;
  }

  /** Adds the increase over `known` to the account's total. */
  #count(
    account: RateLimitId,
    admitted: number,
    known: Map<RateLimitId, number>,
  ): void {
    const increase = Math.max(0, admitted - (known.get(account) ?? 0));
    known.set(account, admitted);
    this.#admitted.set(account, (this.#admitted.get(account) ?? 0) + increase);
  }
}

const NO_USES: ReadonlyMap<RateLimitId, RateUse> = new Map();
const NONE_IN_FLIGHT: ReadonlyMap<EndpointId, number> = new Map();
