/**
 * The document of the soak: two regions, three zones, three accounts.
 *
 * @module
 */
import { sha256 } from "../../src/document/mod.ts";

/** Availability zones and their regions. */
export const ZONES: readonly { zone: string; region: string }[] = [
  { zone: "ra-1", region: "ra" },
  { zone: "ra-2", region: "ra" },
  { zone: "rb-1", region: "rb" },
];
/** Accounts with rate and burst. */
export const ACCOUNTS: Readonly<
  Record<string, { ratePerS: number; burst: number }>
> = {
  a1: { ratePerS: 40, burst: 20 },
  a2: { ratePerS: 20, burst: 10 },
  a3: { ratePerS: 6, burst: 6 },
};
/** Maximum concurrent requests of an endpoint. */
export const SLOTS = 6;
/** Request deadline, in milliseconds. */
export const DEADLINE_MS = 1_000;
/** Bandwidth cap between two regions, in bytes per second. */
export const LINK_BYTES_PER_S = 1_000_000;
export const KEY_GRACE_S = 30;
const ENDPOINTS_PER_ZONE = 2;
const BITS_PER_BYTE = 8;
const BITS_PER_MBIT = 1_000_000;

/** An account's API key; each withdrawal moves on to the next number. */
export function keyOf(account: string, number: number): string {
  return `key-${account}-${number}`;
}

/** The URL of an endpoint, derived from its name. */
export function endpointUrl(name: string): string {
  return `http://${name}`;
}

/** The initial document sections, edited later by the simulated operators. */
// deno-lint-ignore no-explicit-any -- operators write any JSON
export function documentSections(): Record<string, any> {
  const regions: Record<string, { zones: Record<string, unknown> }> = {};
  for (const { zone, region } of ZONES) {
    regions[region] ??= { zones: {} };
    regions[region].zones[zone] = { instances: 2 };
  }
  const cap = LINK_BYTES_PER_S * BITS_PER_BYTE / BITS_PER_MBIT;
  return {
    regions: {
      regions,
      links: [
        { from: "ra", to: "rb", cap_mbit_per_s: cap },
        { from: "rb", to: "ra", cap_mbit_per_s: cap },
      ],
    },
    accounts: {
      accounts: mapValues(ACCOUNTS, (_a, id) => ({
        cut_off_grace_s: KEY_GRACE_S,
        keys: [{ id: "k0", sha256: sha256(keyOf(id, 0)) }],
      })),
    },
    rates: {
      rates: mapValues(ACCOUNTS, (a) => ({
        rate_per_s: a.ratePerS,
        burst: a.burst,
      })),
    },
    services: {
      services: {
        reads: serviceOf("reads", true),
        writes: serviceOf("writes", false),
      },
    },
    drains: { drains: [] },
  };
}

function serviceOf(service: string, idempotent: boolean): unknown {
  const names = ZONES.flatMap(({ zone }) =>
    Array.from({ length: ENDPOINTS_PER_ZONE }, (_, i) => ({
      name: `${service}-${zone}-${i}`,
      zone,
    }))
  );
  const endpoints = names.map(({ name, zone }) => [name, {
    zone,
    url: endpointUrl(name),
    slots: SLOTS,
    connections: 100,
  }]);
  return {
    deadline_ms: DEADLINE_MS,
    routes: [{ method: "*", path_prefix: "/", idempotent }],
    endpoints: Object.fromEntries(endpoints),
  };
}

function mapValues<T, U>(
  record: Readonly<Record<string, T>>,
  map: (value: T, key: string) => U,
): Record<string, U> {
  const entries = Object.entries(record);
  return Object.fromEntries(entries.map(([k, v]) => [k, map(v, k)]));
}
