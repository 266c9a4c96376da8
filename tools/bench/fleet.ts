/**
 * What telling each other costs an instance, by the size of the fleet: digests,
 * the rates and the load that go by them, without a network.
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
/** Accounts and endpoints with requests of one instance at a moment. */
const BUSY_ACCOUNTS = 14;
const BUSY_ENDPOINTS = 14;
const SETTLE_MS = 3_000;
const MEASURED_S = 2;
const MS_PER_S = 1_000;
const MICROS_PER_MS = 1_000;

/** Plays each size and prints what an instance sends, takes in and works. */
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
    engage(member, i, fleet, { accounts, endpoints });
  }
  fleet.advance(SETTLE_MS);
  const before = { ...fleet.sent };
  const cpu = process.cpuUsage();
  fleet.advance(MEASURED_S * MS_PER_S);
  const { user, system } = process.cpuUsage(cpu);
  const per = fleet.members.length * MEASURED_S;
  return {
    instances: fleet.members.length,
    zones,
    accounts,
    endpoints,
    cpuMsPerS: round((user + system) / MICROS_PER_MS / per),
    sentPerS: round((fleet.sent.count - before.count) / per),
    bytesPerS: Math.round((fleet.sent.bytes - before.bytes) / per),
    acrossBytesPerS: Math.round(
      (fleet.sent.acrossBytes - before.acrossBytes) / per,
    ),
  };
}

/** Gives a member demand, requests in flight and the parts that go by news. */
function engage(
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
  const busy = Math.min(BUSY_ACCOUNTS, all.length);
  member.consumer = {
    reported: (news, now) => {
      quotas.applyReport({ ...news, instance: news.group }, news.uses, now);
      load.applyReport(news.group, news.inFlight);
    },
    report: (now) => {
      for (let i = 0; i < busy; i++) {
        // The first accounts are large: every instance is asked for them.
        const at = i < busy / 2 ? i : (index * 7 + i * 13) % all.length;
        const subject = all[at];
        if (subject !== undefined) quotas.take(subject, now);
      }
      return quotas.tick(now);
    },
    reservations: () => quotas.reservations,
  };
  for (let i = 0; i < Math.min(BUSY_ENDPOINTS, size.endpoints); i++) {
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

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
