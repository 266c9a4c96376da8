/**
 * Bit field with the status of an instance.
 *
 * @module
 */
import type { Digest } from "./digest.ts";
import { INSTANCE_STATES } from "./instance_profile.ts";

export type InstanceStatus = Pick<
  Digest,
  | "state"
  | "storeInTouch"
  | "isStoreWatcher"
  | "relays"
  | "isReserve"
  | "utilization"
  | "linkClass"
>;

/** Mask of the lowest bits, which hold the index of the state. */
const STATE_MASK = 3;
const STORE_REACHABLE = 4;
const STORE_WATCHER = 8;
const RELAY = 16;
/** The one bit that a message may use for a flag of its own. */
export const FIRST_FREE_BIT = 32;
/**
 * Earlier builds ignore this bit and those above, so to them a reserve is
 * serving; a state of its own would make its digests invalid for them.
 */
const RESERVE = 64;
/** Seven bits: 0 for unknown, else the utilization in percent plus 1. */
const UTILIZATION_SHIFT = 7;
const UTILIZATION_MASK = 127;
const PERCENT = 100;
/** Five bits: 0 for unknown, else the class. */
const LINK_SHIFT = 14;
const LINK_MASK = 31;

export function encodeStatus(status: InstanceStatus): number {
  const { state, storeInTouch, isStoreWatcher, relays } = status;
  return INSTANCE_STATES.indexOf(state) |
    (storeInTouch ? STORE_REACHABLE : 0) |
    (isStoreWatcher ? STORE_WATCHER : 0) |
    (relays ? RELAY : 0) |
    (status.isReserve === true ? RESERVE : 0) |
    utilizationBits(status.utilization) << UTILIZATION_SHIFT |
    Math.min(LINK_MASK, status.linkClass ?? 0) << LINK_SHIFT;
}

function utilizationBits(utilization: number | undefined): number {
  if (utilization === undefined) return 0;
  const percent = Math.round(Math.max(0, utilization) * PERCENT);
  return Math.min(UTILIZATION_MASK, percent + 1);
}

/** Undefined if the bits hold an unknown state. */
export function decodeStatus(bits: number): InstanceStatus | undefined {
  const state = INSTANCE_STATES[bits & STATE_MASK];
  if (state === undefined) return undefined;
  const utilization = bits >> UTILIZATION_SHIFT & UTILIZATION_MASK;
  const linkClass = bits >> LINK_SHIFT & LINK_MASK;
  return {
    state,
    storeInTouch: (bits & STORE_REACHABLE) !== 0,
    isStoreWatcher: (bits & STORE_WATCHER) !== 0,
    relays: (bits & RELAY) !== 0,
    ...((bits & RESERVE) === 0 ? {} : { isReserve: true }),
    ...(utilization === 0 ? {} : { utilization: (utilization - 1) / PERCENT }),
    ...(linkClass === 0 ? {} : { linkClass }),
  };
}
