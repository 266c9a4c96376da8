/**
 * The size of a simulated deployment, and fixtures derived from it.
 *
 * @module
 */
import type { ZoneId } from "../../../src/core/mod.ts";
import {
  parseDocument,
  type SteeringDocument,
} from "../../../src/document/mod.ts";
import type { SeatDirectory } from "../../../src/membership/mod.ts";

/** Size of a simulated deployment. */
export interface FleetShape {
  readonly zones: number;
  readonly instancesPerZone: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly workMs: number;
  readonly accounts: number;
}

/** Max-min fair share: the cap on each demand that divides `total` among all. */
export function fairShare(demands: readonly number[], total: number): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let remaining = total;
  for (const [i, demand] of sorted.entries()) {
    const share = remaining / (sorted.length - i);
    if (demand > share) return share;
    remaining -= demand;
  }
  return Infinity;
}

/** Indexes of the accounts. */
export function accountsOf(shape: FleetShape): number[] {
  return Array.from({ length: shape.accounts }, (_, i) => i);
}

/** A seat directory in which the instance holds one seat that never expires. */
export function seatsOf(zone: ZoneId, index: number): SeatDirectory {
  const seat = { zone, index, epoch: 1, part: 1, until: Infinity };
  return { held: () => [seat], entries: () => [] };
}

/** Builds a steering document of the given size. */
export function documentOf(shape: FleetShape): SteeringDocument {
  const zones = Array.from({ length: shape.zones }, (_, i) => `z${i}`);
  const endpoints = Array.from(
    { length: shape.endpoints },
    (_, i) => [`e${i}`, {
      zone: zones[i % zones.length],
      url: `http://127.0.0.1:${10_000 + i}`,
      slots: shape.slots,
      connections: 390,
    }],
  );
  return parseDocument({
    accounts: {
      accounts: Object.fromEntries(accountsOf(shape).map((a) => [`a${a}`, {}])),
    },
    regions: {
      regions: {
        r: {
          zones: Object.fromEntries(zones.map((z) => [z, {
            instances: shape.instancesPerZone,
          }])),
        },
      },
    },
    services: {
      services: { s: { endpoints: Object.fromEntries(endpoints) } },
    },
  })._unsafeUnwrap();
}
