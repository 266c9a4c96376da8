/**
 * Requests of the callers of a soak.
 *
 * @module
 */
import type { Random } from "../../src/core/mod.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type { SentAttempt } from "./property_checker.ts";
import { HOST, type SoakAccount } from "./soak_operators.ts";

const CLIENT_TIMEOUT_MS = 2_000;
const OBJECTS = 40;

/** An attempt of an account that is sent to an instance now. */
export function buildAttempt(
  account: SoakAccount,
  instance: InstanceProcess,
  opts: Pick<SentAttempt, "path" | "idempotent" | "since"> & {
    /** Start of the request's id. */
    readonly name: string;
    readonly random: Random;
  },
): SentAttempt {
  const { name, path, idempotent, since, random } = opts;
  return {
    request: `${name}-${random.hex(4)}`,
    host: HOST,
    path,
    key: account.keys[random.below(account.keys.length)] ?? "",
    object: String(random.below(OBJECTS)),
    idempotent,
    clientTimeoutMs: CLIENT_TIMEOUT_MS,
    account: account.id,
    instance: instance.opts.id,
    life: instance.life,
    sentAt: Date.now(),
    since,
  };
}
