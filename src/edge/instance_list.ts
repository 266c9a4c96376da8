/**
 * The list of instances that stands in the store, and joining it.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import type { Clock, Failure, Log, Random } from "../core/mod.ts";
import { sleep } from "../core/mod.ts";
import type { FleetMember, InstanceProfile } from "../fleet/mod.ts";

/** Where instances find each other. */
export interface InstanceList {
  /** Puts this instance on the list, in place of what it said before. */
  announce(
    profile: InstanceProfile,
    signal: AbortSignal,
  ): Promise<Result<void, Failure>>;
  read(
    signal: AbortSignal,
  ): Promise<Result<readonly InstanceProfile[], Failure>>;
}

/** Between two attempts to join while the store does not answer, in ms. */
const PAUSE_MS = 1_000;

/**
 * Puts an instance on the list and then reads it, until both are done. In this
 * order, of two instances that start together at least one reads the other.
 */
export async function joinList(
  list: InstanceList,
  profile: InstanceProfile,
  opts: {
    readonly member: Pick<FleetMember, "listed" | "fleetSize">;
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
      member.listed(read.value);
      log.event("instances_listed", { instances: member.fleetSize });
      return;
    }
    log.event("instances_unlisted", { code: read.error.code });
    await sleep(clock, PAUSE_MS * (0.5 + random.next()));
  }
}
