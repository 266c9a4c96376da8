/**
 * The instance list in the store, and joining it.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import type { Clock, Failure, Log, Random } from "../core/mod.ts";
import { sleep } from "../core/mod.ts";
import type { FleetMember, InstanceProfile } from "../fleet/mod.ts";

/** List through which instances discover each other. */
export interface InstanceList {
  /** Registers this instance, replacing its previous entry. */
  announce(
    profile: InstanceProfile,
    signal: AbortSignal,
  ): Promise<Result<void, Failure>>;
  read(
    signal: AbortSignal,
  ): Promise<Result<readonly InstanceProfile[], Failure>>;
}

/** Mean interval between attempts to join, in milliseconds. */
const RETRY_INTERVAL_MS = 1_000;

/**
 * Registers an instance and then reads the list, and retries until both succeed.
 * The order ensures that of two instances that start together at least one reads
 * the other.
 */
export async function joinList(
  list: InstanceList,
  profile: InstanceProfile,
  opts: {
    readonly member: Pick<FleetMember, "onInstanceList" | "fleetSize">;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { member, clock, random, log, signal } = opts;
  while (!signal.aborted) {
    const announced = await list.announce(profile, signal);
    const read = announced.isOk()
      ? await list.read(signal)
      : err(announced.error);
    if (signal.aborted) return;
    if (read.isOk()) {
      member.onInstanceList(read.value);
      log.event("instances_listed", { instances: member.fleetSize });
      return;
    }
    log.event("instances_unlisted", { code: read.error.code });
    await sleep(clock, RETRY_INTERVAL_MS * (0.5 + random.next()));
  }
}
