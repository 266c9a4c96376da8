/**
 * How many requests of other instances may run here.
 *
 * Answers regions that fail over at once. If every instance read the same free
 * room and sent that much, two regions that lose their endpoints together
 * would fill the third twice over, which shows as its own callers waiting
 * behind strangers. So free room is divided over those who ask, and what was
 * granted stays set aside until it is lowered or runs out.
 *
 * @module
 */
import type { InstanceId, ServiceId } from "../../core/mod.ts";

interface Asker {
  wanted: number;
  askedAt: number;
  granted: number;
  grantedAt: number;
}

/** An asker not heard for this long, ten ticks, no longer has a part. */
const ASK_LIFE_MS = 1_000;
/** A grant stays set aside this long: the asker may act on it unheard. */
const GRANT_LIFE_MS = 3_000;

/** Grants of one instance, by service and asker. */
export class HeadroomGrants {
  readonly #askers = new Map<ServiceId, Map<InstanceId, Asker>>();

  /** Takes in what an instance would like to run here. */
  ask(
    from: { instance: InstanceId; service: ServiceId },
    wanted: number,
    now: number,
  ): void {
    const askers = this.#askers.get(from.service) ?? new Map();
    this.#askers.set(from.service, askers);
    const known = askers.get(from.instance);
    if (known) Object.assign(known, { wanted, askedAt: now });
    else if (wanted > 0) {
      const asker = { wanted, askedAt: now, granted: 0, grantedAt: -Infinity };
      askers.set(from.instance, asker);
    }
  }

  /** What an asker may run here out of `shareable`; all grants together never pass it. */
  grant(
    to: { instance: InstanceId; service: ServiceId },
    shareable: number,
    now: number,
  ): number {
    const askers = this.#askers.get(to.service);
    const asker = askers?.get(to.instance);
    if (askers === undefined || asker === undefined) return 0;
    const share = fairShare(activeWants(askers, now), shareable);
    const others = outstanding(askers, now) - live(asker, now);
    const granted = Math.max(
      0,
      Math.min(
        now - asker.askedAt <= ASK_LIFE_MS ? asker.wanted : 0,
        Math.max(share, rankedRemainder(askers, to.instance, shareable, now)),
        Math.floor(shareable) - others,
      ),
    );
    asker.granted = granted;
    asker.grantedAt = now;
    return granted;
  }

  /** What an asker was granted and may still act on. */
  granted(
    of: { instance: InstanceId; service: ServiceId },
    now: number,
  ): number {
    const asker = this.#askers.get(of.service)?.get(of.instance);
    return asker ? live(asker, now) : 0;
  }

  /** Services an instance asked for lately. */
  servicesOf(instance: InstanceId, now: number): ServiceId[] {
    return [...this.#askers].filter(([, askers]) => {
      const asker = askers.get(instance);
      return asker !== undefined &&
        (now - asker.askedAt <= ASK_LIFE_MS || live(asker, now) > 0);
    }).map(([service]) => service);
  }

  /** Forgets those who ask no more. */
  tick(now: number): void {
    for (const askers of this.#askers.values()) {
      for (const [id, asker] of askers) {
        const silent = now - asker.askedAt > GRANT_LIFE_MS;
        if (silent && live(asker, now) === 0) askers.delete(id);
      }
    }
  }
}

function live(asker: Asker, now: number): number {
  return now - asker.grantedAt <= GRANT_LIFE_MS ? asker.granted : 0;
}

function outstanding(askers: ReadonlyMap<InstanceId, Asker>, now: number) {
  return [...askers.values()].reduce((n, a) => n + live(a, now), 0);
}

function activeWants(
  askers: ReadonlyMap<InstanceId, Asker>,
  now: number,
): number[] {
  return [...askers.values()]
    .filter((a) => now - a.askedAt <= ASK_LIFE_MS && a.wanted > 0)
    .map((a) => a.wanted);
}

/** Max-min share: what small askers leave goes to the large ones. */
function fairShare(wants: readonly number[], total: number): number {
  let left = Math.floor(total);
  let share = 0;
  const sorted = [...wants].sort((a, b) => a - b);
  for (const [i, want] of sorted.entries()) {
    share = Math.floor(left / (sorted.length - i));
    if (want > share) return share;
    left -= want;
    share = want;
  }
  return share;
}

/** With less room than askers, the first few by name get one each. */
function rankedRemainder(
  askers: ReadonlyMap<InstanceId, Asker>,
  instance: InstanceId,
  shareable: number,
  now: number,
): number {
  const active = [...askers].filter(([, a]) =>
    now - a.askedAt <= ASK_LIFE_MS && a.wanted > 0
  ).map(([id]) => id).sort();
  if (active.length <= shareable) return 0;
  return active.indexOf(instance) < Math.floor(shareable) ? 1 : 0;
}
