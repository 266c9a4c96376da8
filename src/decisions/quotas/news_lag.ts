/**
 * How old what the others told may be when tokens are handed round.
 *
 * As much of a rate is left alone as they may have admitted meanwhile.
 *
 * @module
 */

/** Told one by one: a digest's period and the way, in milliseconds. */
export const DIRECT_LAG_MS = 400;
/** Told by zone: that of two more, in milliseconds. */
export const BY_ZONE_LAG_MS = 800;
