/**
 * Load patterns on which dispatchers are compared.
 *
 * @module
 */
import type { LoadPattern } from "./simulation.ts";

/** Number of accounts in each pattern. */
export const ACCOUNTS = 8;
/** Rate that no pattern reaches, so that only capacity limits what is served. */
const UNREACHED_RATE = 4;
const DOMINANT_ACCOUNTS = 2;

/** Every pattern; the name is the one in the report. */
export const PATTERNS: readonly LoadPattern[] = [
  {
    // Half load, with bursts of 2.5 times the capacity for 200 ms every 2 s.
    name: "burst",
    rate: () => UNREACHED_RATE,
    load: (_a, s) => (s % 2 < 0.2 ? 2.5 : 0.5) / ACCOUNTS,
  },
  {
    // Two accounts send twice their rates, which add up to the whole capacity;
    // six send a twentieth of the capacity each.
    name: "dominant",
    rate: (a) => a < DOMINANT_ACCOUNTS ? 0.5 : 0.06,
    load: (a) => a < DOMINANT_ACCOUNTS ? 1 : 0.05,
  },
  {
    // One endpoint in five takes ten times as long.
    name: "slow",
    rate: () => UNREACHED_RATE,
    load: () => 0.6 / ACCOUNTS,
    slowness: (e) => e % 5 === 1 ? 10 : 1,
  },
  {
    // 40% of two accounts' requests take twelve times as long as the others.
    name: "long",
    rate: () => UNREACHED_RATE,
    load: () => 0.35 / ACCOUNTS,
    longFraction: (a) => a < DOMINANT_ACCOUNTS ? 0.4 : 0,
    longFactor: 12,
  },
  {
    // All accounts together send 1.5 times what the slots can serve.
    name: "saturation",
    rate: () => UNREACHED_RATE,
    load: () => 1.5 / ACCOUNTS,
  },
  {
    // An endpoint is drained at ordinary load.
    name: "drain",
    rate: () => UNREACHED_RATE,
    load: () => 0.6 / ACCOUNTS,
    drainAt: 1,
  },
];
