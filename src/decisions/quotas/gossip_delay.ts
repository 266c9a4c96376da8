/**
 * How old peers' reports may be when tokens are rebalanced.
 *
 * As much of a rate is left alone as peers may have admitted meanwhile.
 *
 * @module
 */

/** Reported by each instance itself: a digest's period and the way, in ms. */
export const DIRECT_GOSSIP_DELAY_MS = 400;
/** Reported by relays: the same and two more periods, in milliseconds. */
export const RELAYED_GOSSIP_DELAY_MS = 800;
