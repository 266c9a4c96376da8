/**
 * Chooses the instance of a zone that performs a task by rendezvous hashing.
 *
 * Members may briefly see different lists, and two may then perform the task,
 * so it must be idempotent.
 *
 * @module
 */
import { sha256 } from "../document/mod.ts";

/**
 * The member that performs a task; when a member leaves, only its tasks move.
 *
 * @example
 * ```ts
 * rendezvousOwner("watch", ["i1", "i2"]); // the same at every instance
 * ```
 */
export function rendezvousOwner(
  task: string,
  members: readonly string[],
): string | undefined {
  return rendezvousOrder(task, members)[0];
}

/** Members in the order in which they would perform the task. */
export function rendezvousOrder(
  task: string,
  members: readonly string[],
): string[] {
  return members
    .map((member) => ({ member, weight: sha256(`${task} ${member}`) }))
    .sort((a, b) => a.weight < b.weight ? 1 : -1)
    .map((m) => m.member);
}
