/**
 * Selects the reserves that enough strong instances stand in for.
 *
 * @module
 */
import type { InstanceId, ZoneId } from "../core/mod.ts";
import { MIN_STRONG, strongOf } from "../decisions/reserves/mod.ts";
import type { Digest } from "./digest.ts";

type Reporting = Pick<
  Digest,
  "profile" | "capacity" | "linkClass" | "isReserve"
>;

/**
 * Reserves of the zones in which enough strong instances report. Elsewhere they
 * are needed, and named before they report that they are reserves no more.
 *
 * @param reporting The serving instances that are not suspect.
 */
export function reservesWithin(
  reporting: readonly Reporting[],
): readonly InstanceId[] {
  const byZone = new Map<ZoneId, Reporting[]>();
  for (const instance of reporting) {
    const { zone } = instance.profile;
    byZone.set(zone, [...byZone.get(zone) ?? [], instance]);
  }
  return [...byZone.values()].flatMap((zone) => {
    const reserves = zone.filter(({ isReserve }) => isReserve === true);
    if (reserves.length === 0) return [];
    const strong = strongOf(zone);
    if (strong.length < MIN_STRONG) return [];
    return reserves.filter((r) => !strong.includes(r))
      .map(({ profile }) => profile.id);
  });
}
