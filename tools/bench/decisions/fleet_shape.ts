/**
 * The size of a simulated deployment and what follows from it.
 *
 * @module
 */
import type { ZoneId } from "../../../src/core/mod.ts";
import {
  parseDocument,
  type SteeringDocument,
} from "../../../src/document/mod.ts";
import type { SeatDirectory } from "../../../src/membership/mod.ts";

/** Size of what is simulated. */
export interface FleetShape {
  readonly zones: number;
  readonly instancesPerZone: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly workMs: number;
  readonly accounts: number;
}

/** What each may have so that all together have `total`, none more than it wants. */
export function fairShare(wants: readonly number[], total: number): number {
  const sorted = [...wants].sort((a, b) => a - b);
  let left = total;
  for (const [i, want] of sorted.entries()) {
    const share = left / (sorted.length - i);
    if (want > share) return share;
    left -= want;
  }
  return Infinity;
}

/** Accounts by number. */
export function accountsOf(shape: FleetShape): number[] {
  return Array.from({ length: shape.accounts }, (_, i) => i);
}

/** A directory in which an instance holds one seat for good. */
export function seatsOf(zone: ZoneId, index: number): SeatDirectory {
  const seat = { zone, index, epoch: 1, part: 1, until: Infinity };
  return { held: () => [seat], entries: () => [] };
}

/** A document of that size. */
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
