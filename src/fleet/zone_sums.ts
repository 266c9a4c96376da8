/**
 * What the instances of a zone were asked for, admitted and have in flight,
 * summed as one of them tells it to other zones.
 *
 * @module
 */
import type { AccountId, EndpointId, InstanceId } from "../core/mod.ts";
import type { AccountUse } from "../decisions/quotas/mod.ts";
import type { Digest } from "./digest.ts";

interface Mate {
  readonly start: string;
  readonly uses: ReadonlyMap<AccountId, AccountUse>;
  readonly inFlight: ReadonlyMap<EndpointId, number>;
  /** Requests admitted since the start, accounts out of use included. */
  readonly admitted: Map<AccountId, number>;
}

/**
 * Sums over the zone. What was admitted counts up for good, though instances
 * come, start anew and go: it is the sum of what each admitted more than it had
 * told before. Were the counts themselves added up, a restart would look like
 * requests taken back, and other zones would admit them a second time.
 */
export class ZoneSums {
  readonly #mates = new Map<InstanceId, Mate>();
  readonly #admitted = new Map<AccountId, number>();
  readonly #own = new Map<AccountId, number>();

  /** Takes in a digest of an instance of the zone. */
  told({ profile, start, uses, inFlight }: Digest): void {
    const before = this.#mates.get(profile.id);
    const known = before?.start === start
      ? before.admitted
      : new Map<AccountId, number>();
    for (const [account, { admitted }] of uses) {
      // What one admitted before it was first heard was told by another.
      if (before === undefined) known.set(account, admitted);
      else this.#count(account, admitted, known);
    }
    this.#mates.set(profile.id, { start, uses, inFlight, admitted: known });
  }

  /** Leaves out what an instance that is not heard any more has in flight. */
  silent(instance: InstanceId): void {
    const mate = this.#mates.get(instance);
    if (mate === undefined) return;
    this.#mates.set(instance, { ...mate, uses: NO_USES, inFlight: NO_FLIGHT });
  }

  forget(instance: InstanceId): void {
    this.#mates.delete(instance);
  }

  /** The zone's uses, this instance's own included. */
  uses(own: ReadonlyMap<AccountId, AccountUse>): Map<AccountId, AccountUse> {
    for (const [account, { admitted }] of own) {
      this.#count(account, admitted, this.#own);
    }
    const sums = new Map<AccountId, AccountUse>();
    const all = [own, ...[...this.#mates.values()].map((m) => m.uses)];
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

  /** Requests of the zone at endpoints, this instance's own included. */
  inFlight(
    own: ReadonlyMap<EndpointId, number>,
  ): Map<EndpointId, number> {
    const sums = new Map(own);
    for (const { inFlight } of this.#mates.values()) {
      for (const [endpoint, n] of inFlight) {
        sums.set(endpoint, (sums.get(endpoint) ?? 0) + n);
      }
    }
    return sums;
  }

  /** Counts what was admitted since `told` was last brought up to date. */
  #count(
    account: AccountId,
    admitted: number,
    told: Map<AccountId, number>,
  ): void {
    const more = Math.max(0, admitted - (told.get(account) ?? 0));
    told.set(account, admitted);
    this.#admitted.set(account, (this.#admitted.get(account) ?? 0) + more);
  }
}

const NO_USES: ReadonlyMap<AccountId, AccountUse> = new Map();
const NO_FLIGHT: ReadonlyMap<EndpointId, number> = new Map();
