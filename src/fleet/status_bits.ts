/**
 * What an instance says of its state in one number.
 *
 * @module
 */
import type { Digest } from "./digest.ts";
import { INSTANCE_STATES } from "./instance_profile.ts";

/** What the number holds. */
export type InstanceStatus = Pick<
  Digest,
  "state" | "storeInTouch" | "isStoreWatcher" | "relays"
>;

/** The number of the state is in the lowest bits. */
const STATE_BITS = 3;
const STORE_IN_TOUCH = 4;
const ASKS_STORE = 8;
const RELAYS = 16;
/** The lowest bit that a message may use for itself. */
export const FREE_BIT = 32;

export function statusBits(status: InstanceStatus): number {
  const { state, storeInTouch, isStoreWatcher, relays } = status;
  return INSTANCE_STATES.indexOf(state) |
    (storeInTouch ? STORE_IN_TOUCH : 0) | (isStoreWatcher ? ASKS_STORE : 0) |
    (relays ? RELAYS : 0);
}

/** Undefined where the bits name no state. */
export function statusOf(bits: number): InstanceStatus | undefined {
  const state = INSTANCE_STATES[bits & STATE_BITS];
  if (state === undefined) return undefined;
  return {
    state,
    storeInTouch: (bits & STORE_IN_TOUCH) !== 0,
    isStoreWatcher: (bits & ASKS_STORE) !== 0,
    relays: (bits & RELAYS) !== 0,
  };
}
