/**
 * Loads of the two deployments of docs/OVERLOAD.md for the placement simulation:
 * the service with the most requests of each, in three regions, of which one has
 * a tenth of the endpoints for a third of the callers.
 *
 * @module
 */
import { hash } from "../../../core/mod.ts";
import type { SimulationOptions } from "./placement_simulation.ts";

/** A load, for which a placement is still to be chosen. */
export type Load = Omit<SimulationOptions, "placement">;

/** Views of deployment A: 553 requests a second for 198 keys. */
export const VIEWS: Load = {
  endpoints: { small: 11, mid: 42, big: 53 },
  slots: 4,
  cacheSize: 15,
  objects: 66,
  workMs: 877,
  hitShare: 0.3,
  targetMs: 537,
  deadlineMs: 4_294,
  requestsPerS: () => 184,
  instancesPerRegion: 27,
  digestDelayMs: 400,
  priority: 0,
  measureFromMs: 5_000,
  durationMs: 13_000,
};

/** Look-ups of deployment B: 709 requests a second for 252 keys. */
export const LOOKUPS: Load = {
  endpoints: { small: 6, mid: 22, big: 27 },
  slots: 9,
  cacheSize: 37,
  objects: 84,
  workMs: 755,
  hitShare: 0.3,
  targetMs: 623,
  deadlineMs: 4_016,
  requestsPerS: () => 236,
  instancesPerRegion: 9,
  digestDelayMs: 150,
  priority: 0,
  measureFromMs: 5_000,
  durationMs: 13_000,
};

const REGIONS = ["small", "mid", "big"];
const WAVE_MS = 36_000;
const WAVE_AMPLITUDE = 0.55;
const BURST = 2.3;

/** Demand in waves, a third of a period apart between the regions. */
function wave(region: string, now: number): number {
  const phase = now / WAVE_MS - REGIONS.indexOf(region) / REGIONS.length;
  return 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * phase);
}

/** Demand in waves, and at the crest of the small region's a burst for 4 s. */
function waveWithBurst(region: string, now: number): number {
  const isBurst = region === "small" && now >= 7_000 && now < 11_000;
  return wave(region, now) * (isBurst ? BURST : 1);
}

/** A share of 0.15 of the hosts at 2.5 times, changing every 600 ms. */
function noisyHost(endpoint: number, now: number): number {
  const draw = hash(`${endpoint} ${Math.floor(now / 600)}`) / 0x1_0000_0000;
  return draw < 0.15 ? 2.5 : 1;
}

/** Half of the endpoints, restarted one after another. */
function release(load: Load): Load {
  const names = Object.entries(load.endpoints).flatMap(([region, count]) =>
    Array.from({ length: count }, (_, i) => `e-${region}-${i}`)
  );
  const restarted = names.filter((_, i) => i % 2 === 0);
  const stepMs = Math.floor(7_000 / restarted.length);
  return {
    ...load,
    restarts: new Map(restarted.map((id, i) => [id, 5_000 + i * stepMs])),
  };
}

/** The variants of a deployment's load, by name. */
export function variantsOf(load: Load): Readonly<Record<string, Load>> {
  const { mid = 0 } = load.endpoints;
  const base = load.requestsPerS("mid", 0);
  return {
    "even demand": load,
    "a hot key": {
      ...load,
      objectWeight: (object) => object === 0 ? 13 : 1,
    },
    "Zipf keys": { ...load, objectWeight: (object) => 1 / (object + 1) ** 0.8 },
    "waves": {
      ...load,
      requestsPerS: (region, now) => base * wave(region, now),
      durationMs: 17_000,
    },
    "a burst at a crest": {
      ...load,
      requestsPerS: (region, now) => base * waveWithBurst(region, now),
      durationMs: 17_000,
    },
    "2.3 times everywhere for 4 s": {
      ...load,
      requestsPerS: (_, now) =>
        now >= 6_000 && now < 10_000 ? base * BURST : base,
    },
    "noisy hosts": { ...load, hostSlowdown: noisyHost },
    "digests 0.8 s old": { ...load, digestDelayMs: 800 },
    "a third of the instances without digests": {
      ...load,
      digestArrives: (instance) => instance % 3 !== 0,
    },
    "no digests": { ...load, digestArrives: () => false },
    "a release": release(load),
    "a drained zone": {
      ...load,
      drain: {
        endpoints: Array.from(
          { length: Math.floor(mid / 2) },
          (_, i) => `e-mid-${i}`,
        ),
        from: 6_000,
        to: 10_000,
      },
    },
    "accounts bound to a region": {
      ...load,
      pinned: { region: "small", part: 0.1, known: true },
    },
    "all caches empty": { ...load, measureFromMs: 0 },
  };
}
