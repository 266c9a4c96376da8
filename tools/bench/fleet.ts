/**
 * `npm run bench -- fleet`: what gossip costs an instance, by fleet size: digests
 * and the quotas and load computed from them, without a network.
 *
 * @module
 */
import process from "node:process";
import type { AccountId, EndpointId } from "../../src/core/mod.ts";
import { PeerLoad } from "../../src/edge/peer_load.ts";
import { AccountQuotas } from "../../src/decisions/quotas/mod.ts";
import {
  MemberFleet,
  type TestMember,
} from "../../src/fleet/testing/member_fleet.ts";
import type { Account } from "../../src/traffic/mod.ts";
import { roundTo } from "./figures.ts";

/** A fleet to measure. */
interface Size {
  readonly zones: number;
  readonly perZone: number;
  readonly accounts: number;
  readonly endpoints: number;
}

const SIZES: readonly Size[] = [
  { zones: 6, perZone: 2, accounts: 8, endpoints: 44 },
  { zones: 6, perZone: 5, accounts: 140, endpoints: 340 },
  { zones: 6, perZone: 13, accounts: 82, endpoints: 170 },
  { zones: 9, perZone: 22, accounts: 140, endpoints: 340 },
  { zones: 9, perZone: 33, accounts: 140, endpoints: 340 },
];
/** Accounts and endpoints for which an instance has requests at one time. */
const ACTIVE_ACCOUNTS = 14;
const ACTIVE_ENDPOINTS = 14;
const SETTLE_MS = 3_000;
const MEASURED_S = 2;
const MS_PER_S = 1_000;
const US_PER_MS = 1_000;

/** Simulates each size and prints an instance's CPU time and sent data. */
export async function benchFleet(): Promise<void> {
  const rows = [];
  for (const size of SIZES) {
    const row = await measure(size);
    console.log(JSON.stringify(row));
    rows.push(row);
  }
  console.table(rows);
  console.log(JSON.stringify({ bench: "fleet", rows }));
}

async function measure(size: Size) {
  const { zones, perZone, accounts, endpoints } = size;
  const names = Array.from({ length: zones }, (_, i) => `${"abc"[i % 3]}${i}`);
  const fleet = new MemberFleet(names, perZone);
  await Promise.resolve();
  for (const [i, member] of fleet.members.entries()) {
    addLoad(member, i, fleet, { accounts, endpoints });
  }
  fleet.advance(SETTLE_MS);
  const before = { ...fleet.sent };
  const cpu = process.cpuUsage();
  fleet.advance(MEASURED_S * MS_PER_S);
  const { user, system } = process.cpuUsage(cpu);
  const instanceSeconds = fleet.members.length * MEASURED_S;
  return {
    instances: fleet.members.length,
    zones,
    accounts,
    endpoints,
    cpuMsPerS: roundTo((user + system) / US_PER_MS / instanceSeconds, 2),
    sentPerS: roundTo((fleet.sent.count - before.count) / instanceSeconds, 2),
    bytesPerS: Math.round((fleet.sent.bytes - before.bytes) / instanceSeconds),
    acrossBytesPerS: Math.round(
      (fleet.sent.acrossBytes - before.acrossBytes) / instanceSeconds,
    ),
  };
}

/** Gives a member demand, requests in flight and consumers of gossip reports. */
function addLoad(
  member: TestMember,
  index: number,
  fleet: MemberFleet,
  size: { readonly accounts: number; readonly endpoints: number },
): void {
  const all = Array.from({ length: size.accounts }, (_, i) => account(i));
  const quotas = new AccountQuotas(member.profile.id, {
    fleetSize: () => fleet.members.length,
  });
  quotas.adopt(all, fleet.clock.now());
  const load = new PeerLoad(() => undefined);
  const activeCount = Math.min(ACTIVE_ACCOUNTS, all.length);
  member.consumer = {
    reported: (report, now) => {
      quotas.applyReport(
        { ...report, instance: report.group },
        report.uses,
        now,
      );
      load.applyReport(report.group, report.inFlight);
    },
    report: (now) => {
      for (let i = 0; i < activeCount; i++) {
        // The first accounts are large: they send requests to every instance.
        const at = i < activeCount / 2 ? i : (index * 7 + i * 13) % all.length;
        const subject = all[at];
        if (subject !== undefined) quotas.take(subject, now);
      }
      return quotas.tick(now);
    },
    reservations: () => quotas.reservations,
  };
  for (let i = 0; i < Math.min(ACTIVE_ENDPOINTS, size.endpoints); i++) {
    const at = (index * 11 + i * 17) % size.endpoints;
    member.inFlight.set(`endpoint-${at}` as EndpointId, 1 + i % 2);
  }
}

function account(i: number): Account {
  return {
    id: `account-${i}` as AccountId,
    keys: [],
    priority: 0,
    ratePerS: 1_000,
    burst: 1_000,
    allowedRegions: [],
  };
}
