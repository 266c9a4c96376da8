/**
 * Maximum age of peers' reports when tokens are rebalanced.
 *
 * Rebalancing holds back what peers may have admitted within that time.
 *
 * @module
 */

/** Reports sent by each instance itself: gossip period plus network latency. */
export const DIRECT_GOSSIP_DELAY_MS = 400;
/** Reports aggregated by relays: the same plus two gossip periods. */
export const RELAYED_GOSSIP_DELAY_MS = 800;
