/**
 * Faults and operator actions that a demo run can include.
 *
 * @module
 */
import { end } from "./processes.ts";
import type { Fleet } from "./fleet.ts";
import type { EventRecord } from "./records.ts";

/** Events by name. */
export const EVENTS = [
  "none",
  "kill",
  "drain",
  "withdraw",
  "store-down",
  "burst",
  "slow-endpoint",
] as const;
export type EventName = typeof EVENTS[number];

const STEADY_LOAD = 0.5;
const BURST_LOAD = 4;
const SLOW_FACTOR = 10;
/** When the event happens, as a fraction of the run. */
const EVENT_AT = 0.4;
const BURST_UNTIL = 0.7;

/** When the event happens, in milliseconds from the start of the run. */
export function eventAtMs(seconds: number): number {
  return seconds * 1_000 * EVENT_AT;
}

/** Load of an account as a fraction of its rate; a burst affects one account. */
export function loadFor(
  event: EventName,
  seconds: number,
): (account: string, elapsedMs: number) => number {
  return (account, elapsedMs) => {
    const elapsedFraction = elapsedMs / (seconds * 1_000);
    const bursting = event === "burst" && account.endsWith("-2") &&
      elapsedFraction >= EVENT_AT && elapsedFraction < BURST_UNTIL;
    return bursting ? BURST_LOAD : STEADY_LOAD;
  };
}

/** Triggers the event; returns what was edited and when. */
export async function triggerEvent(
  event: EventName,
  fleet: Fleet,
): Promise<EventRecord> {
  switch (event) {
    case "kill":
      await end(fleet.instances[2]!.child, "SIGKILL");
      return {};
    case "drain":
      return await drain(fleet);
    case "withdraw":
      return await withdraw(fleet);
    case "store-down":
      await fleet.storeDown(true);
      return {};
    case "slow-endpoint":
      await Promise.all(
        firstEndpoints(fleet).map((id) => fleet.slowDown(id, SLOW_FACTOR)),
      );
      return {};
    case "none":
    case "burst":
      return {};
  }
}

/** Drains the first endpoint of each service and stops one instance. */
async function drain(fleet: Fleet): Promise<EventRecord> {
  const drainedEndpoints = firstEndpoints(fleet);
  const drains = drainedEndpoints.map((id) => ({ kind: "endpoint", id }));
  await fleet.edit({ drains: { drains } });
  const drainedAt = Date.now();
  await end(fleet.instances[2]!.child, "SIGTERM");
  return { drainedEndpoints, drainedAt };
}

async function withdraw(fleet: Fleet): Promise<EventRecord> {
  const { accounts } = fleet.sections()["accounts"] as {
    accounts: Record<string, { keys: { withdrawn?: boolean }[] }>;
  };
  const withdrawnAccount = Object.keys(accounts)[2] as string;
  for (const key of accounts[withdrawnAccount]?.keys ?? []) {
    key.withdrawn = true;
  }
  await fleet.edit({ accounts: { accounts } });
  return { withdrawnAccount, withdrawnAt: Date.now() };
}

function firstEndpoints(fleet: Fleet): string[] {
  return Object.keys(fleet.deployment.services).map((s) => `${s}-1`);
}
