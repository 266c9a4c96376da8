/**
 * Bit field with the status of an instance.
 *
 * @module
 */
import type { Digest } from "./digest.ts";
import { INSTANCE_STATES } from "./instance_profile.ts";

export type InstanceStatus = Pick<
  Digest,
  "state" | "storeInTouch" | "isStoreWatcher" | "relays"
>;

/** Mask of the lowest bits, which hold the index of the state. */
const STATE_MASK = 3;
const STORE_REACHABLE = 4;
const STORE_WATCHER = 8;
const RELAY = 16;
/** Lowest bit that a message may use for a flag of its own. */
export const FIRST_FREE_BIT = 32;

export function encodeStatus(status: InstanceStatus): number {
  const { state, storeInTouch, isStoreWatcher, relays } = status;
  return INSTANCE_STATES.indexOf(state) |
    (storeInTouch ? STORE_REACHABLE : 0) |
    (isStoreWatcher ? STORE_WATCHER : 0) |
    (relays ? RELAY : 0);
}

/** Undefined if the bits hold an unknown state. */
export function decodeStatus(bits: number): InstanceStatus | undefined {
  const state = INSTANCE_STATES[bits & STATE_MASK];
  if (state === undefined) return undefined;
  return {
    state,
    storeInTouch: (bits & STORE_REACHABLE) !== 0,
    isStoreWatcher: (bits & STORE_WATCHER) !== 0,
    relays: (bits & RELAY) !== 0,
  };
}
