/**
 * Patterns of load that a dispatcher has to stand.
 *
 * @module
 */
import type { LoadPattern } from "./simulation.ts";

/** Accounts of each pattern. */
export const ACCOUNTS = 8;
/** Rates that no pattern reaches, so that only room limits what is served. */
const AMPLE = 4;
const DOMINANT = 2;

/** Every pattern, by the name under which it is reported. */
export const PATTERNS: readonly LoadPattern[] = [
  {
    // Half load, and every two seconds 200 ms of two and a half times all slots.
    name: "burst",
    rate: () => AMPLE,
    load: (_a, s) => (s % 2 < 0.2 ? 2.5 : 0.5) / ACCOUNTS,
  },
  {
    // Two accounts send twice their rates, which add up to all slots; six send
    // a twentieth each.
    name: "dominant",
    rate: (a) => a < DOMINANT ? 0.5 : 0.06,
    load: (a) => a < DOMINANT ? 1 : 0.05,
  },
  {
    // One endpoint in five takes ten times as long.
    name: "slow",
    rate: () => AMPLE,
    load: () => 0.6 / ACCOUNTS,
    slowness: (e) => e % 5 === 1 ? 10 : 1,
  },
  {
    // Two accounts send reports that take twelve times as long among reads.
    name: "long",
    rate: () => AMPLE,
    load: () => 0.35 / ACCOUNTS,
    longPart: (a) => a < DOMINANT ? 0.4 : 0,
    longFactor: 12,
  },
  {
    // Everybody sends half as much again as the slots can serve.
    name: "saturation",
    rate: () => AMPLE,
    load: () => 1.5 / ACCOUNTS,
  },
  {
    // An endpoint is drained at ordinary load.
    name: "drain",
    rate: () => AMPLE,
    load: () => 0.6 / ACCOUNTS,
    drainAt: 1,
  },
];
