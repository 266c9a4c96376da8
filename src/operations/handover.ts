/**
 * Hands the records of a leaving instance to a peer, so that retries of its
 * operations find them after it has stopped.
 *
 * @module
 */
import { copyEntry } from "./codec.ts";
import type { Replica } from "./home_token.ts";
import type { Ledger } from "./ledger.ts";
import type { Locality, PeerReplica, ReplicaTable } from "./replica_table.ts";
import type { SettleQueue } from "./settle_queue.ts";

/** Dependencies of a handover. */
export interface HandoverDeps {
  readonly self: Replica & Locality;
  readonly ledger: Ledger;
  readonly replicas: ReplicaTable;
  readonly queue: SettleQueue;
}

const MAX_SUCCESSORS_TRIED = 3;
/** Records sent before waiting for their results; the queue batches them. */
const MAX_RECORDS_IN_FLIGHT = 512;

/**
 * Copies all records to one peer; undefined if no peer accepted all of them. A
 * peer with only part of them is not named as successor, since a missing record
 * would be read as "not run".
 */
export async function handOver(
  deps: HandoverDeps,
): Promise<Replica | undefined> {
  const candidates = deps.replicas.candidates(deps.self);
  for (const replica of candidates.slice(0, MAX_SUCCESSORS_TRIED)) {
    if (await copyAll(deps, replica)) {
      return { instance: replica.instance, incarnation: replica.incarnation };
    }
  }
  return undefined;
}

async function copyAll(
  { ledger, queue }: HandoverDeps,
  replica: PeerReplica,
): Promise<boolean> {
  const records = [...ledger.records()];
  for (let i = 0; i < records.length; i += MAX_RECORDS_IN_FLIGHT) {
    const chunk = records.slice(i, i + MAX_RECORDS_IN_FLIGHT);
    const sent = await Promise.all(
      chunk.map((record) => queue.send(replica, copyEntry(record))),
    );
    if (!sent.every((s) => s.isOk() && s.value.result.accepted)) return false;
  }
  return true;
}
