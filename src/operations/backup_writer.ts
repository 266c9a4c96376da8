/**
 * Records the intents and conclusions of owners at a backup replica.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure, sleep } from "../core/mod.ts";
import type { LedgerEntry } from "../gen/ledger_pb.ts";
import { conclusionEntry, decisionFromWire, intentEntry } from "./codec.ts";
import type { Replica } from "./home_token.ts";
import type {
  Conclusion,
  IntentEntry,
  OperationName,
  SettleDecision,
} from "./ledger.ts";
import type { Locality, PeerReplica, ReplicaTable } from "./replica_table.ts";
import type { SettleQueue, SettleReply } from "./settle_queue.ts";
import { STORE_REPLICA, type StoreBackup } from "./store_backup.ts";

/** The replica that received an intent, and its decision. */
export interface BackupReceipt {
  readonly replica: Replica;
  readonly decision: SettleDecision;
}

/** Records intents and conclusions outside this instance. */
export interface BackupWriter {
  /** The replica to name in a new home token; undefined if there is none. */
  preferred(): Replica | undefined;
  /**
   * Records an intent at `backup`, or at any available replica.
   *
   * Fails with `peer_unavailable`, outcome `not-run`, if none can record it.
   */
  record(
    intent: IntentEntry,
    backup?: Replica,
  ): Promise<Result<BackupReceipt, Failure>>;
  /** Sends a run's conclusion to a replica; gives up after a few attempts. */
  conclude(
    replica: Replica,
    ended: { name: OperationName; run: string; conclusion: Conclusion },
  ): Promise<void>;
}

/** Dependencies of peer backups. */
export interface PeerBackupWriterDeps {
  readonly self: Replica & Locality;
  readonly replicas: ReplicaTable;
  readonly queue: SettleQueue;
  readonly clock: Clock;
}

const MAX_BACKUPS_TRIED = 2;
const MAX_CONCLUDE_ATTEMPTS = 3;
const CONCLUDE_RETRY_MS = 200;

/** Uses peers as backup replicas. */
export class PeerBackupWriter implements BackupWriter {
  readonly #deps: PeerBackupWriterDeps;

  constructor(deps: PeerBackupWriterDeps) {
    this.#deps = deps;
  }

  preferred(): Replica | undefined {
    return this.#deps.replicas.candidates(this.#deps.self)[0];
  }

  async record(
    intent: IntentEntry,
    backup?: Replica,
  ): Promise<Result<BackupReceipt, Failure>> {
    const { replicas, self } = this.#deps;
    // A reused connection may have been closed by the peer. Intents are
    // idempotent, so the intent is sent again before the replica is given up.
    const targets = backup
      ? [replicas.find(backup), replicas.find(backup)]
      : replicas.candidates(self);
    for (const replica of targets.slice(0, MAX_BACKUPS_TRIED)) {
      if (replica === undefined) continue;
      const reply = await this.#send(replica, intentEntry(intent));
      if (reply.isErr()) continue;
      const decision = decisionFromWire(reply.value.result);
      const declined = !decision.accepted && decision.state === "none";
      if (!declined) return ok({ replica, decision });
    }
    return fail("peer_unavailable", "no backup replica is reachable", {
      outcome: "not-run",
    });
  }

  async conclude(
    replica: Replica,
    ended: { name: OperationName; run: string; conclusion: Conclusion },
  ): Promise<void> {
    const entry = conclusionEntry(ended.name, ended.run, ended.conclusion);
    for (let i = 0; i < MAX_CONCLUDE_ATTEMPTS; i++) {
      const target = this.#deps.replicas.find(replica);
      if (target === undefined) return;
      if ((await this.#send(target, entry)).isOk()) return;
      await sleep(this.#deps.clock, CONCLUDE_RETRY_MS);
    }
  }

  async #send(
    replica: PeerReplica,
    entry: LedgerEntry,
  ): Promise<Result<SettleReply, Failure>> {
    const reply = await this.#deps.queue.send(replica, entry);
    if (reply.isOk()) return ok(reply.value);
    this.#deps.replicas.markSuspect(replica);
    return err(reply.error);
  }
}

/** Tries peers first, then the store. */
export class FallbackBackupWriter implements BackupWriter {
  readonly #peers: PeerBackupWriter;
  readonly #store: StoreBackup;

  constructor(peers: PeerBackupWriter, store: StoreBackup) {
    this.#peers = peers;
    this.#store = store;
  }

  preferred(): Replica | undefined {
    return this.#peers.preferred() ??
      (this.#store.usable ? STORE_REPLICA : undefined);
  }

  async record(
    intent: IntentEntry,
    backup?: Replica,
  ): Promise<Result<BackupReceipt, Failure>> {
    if (!isStore(backup)) {
      const receipt = await this.#peers.record(intent, backup);
      if (receipt.isOk() || backup !== undefined) return receipt;
    }
    const decision = await this.#store.record(intent);
    return decision.map((d) => ({ replica: STORE_REPLICA, decision: d }));
  }

  async conclude(
    replica: Replica,
    ended: { name: OperationName; run: string; conclusion: Conclusion },
  ): Promise<void> {
    if (!isStore(replica)) return await this.#peers.conclude(replica, ended);
    this.#store.conclude(ended.name, ended.run, ended.conclusion);
  }
}

/** Whether a replica is the store. */
export function isStore(replica: Replica | undefined): boolean {
  return replica?.instance === STORE_REPLICA.instance &&
    replica.incarnation === STORE_REPLICA.incarnation;
}
