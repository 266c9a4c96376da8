/**
 * The instance list in the store, and joining it.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
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
 * the other. While the store takes no registration, the instances on the list are
 * added all the same: rates are divided by the number of those known.
 */
export async function joinList(
  list: InstanceList,
  profile: InstanceProfile,
  opts: {
    readonly member: Pick<
      FleetMember,
      "onInstanceList" | "addInstances" | "fleetSize"
    >;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { member, clock, random, log, signal } = opts;
  let isRegistered = false;
  let isListed = false;
  while (!signal.aborted) {
    const registered: Result<void, Failure> = isRegistered
      ? ok(undefined)
      : await list.announce(profile, signal);
    isRegistered = registered.isOk();
    const read = isRegistered || !isListed
      ? await list.read(signal)
      : undefined;
    if (signal.aborted) return;
    if (read?.isOk()) {
      isListed = true;
      if (isRegistered) member.onInstanceList(read.value);
      else member.addInstances(read.value);
      log.event("instances_listed", { instances: member.fleetSize });
      if (isRegistered) return;
    }
    const failed = registered.isErr() ? registered : read;
    const code = failed?.isErr() ? failed.error.code : undefined;
    log.event("instances_unlisted", { code });
    await sleep(clock, RETRY_INTERVAL_MS * (0.5 + random.next()));
  }
}
