/**
 * Operations whose home is named by a token.
 *
 * @module
 */
import type { Clock, Metrics } from "../core/mod.ts";
import { decisionFromWire, fenceEntry } from "./codec.ts";
import {
  deadlineExceeded,
  type OperationForwarder,
} from "./operation_forwarder.ts";
import {
  formatHomeToken,
  type HomeToken,
  type Replica,
  scopeOf,
  TOKEN_TTL_MS,
} from "./home_token.ts";
import type { Ledger, OperationName, RecordView } from "./ledger.ts";
import type { OperationRequest, RunResult } from "./operations.ts";
import type { OwnedOperations } from "./owned_operations.ts";
import type { ReplicaTable } from "./replica_table.ts";
import type { DepartureHistory } from "./departure_history.ts";
import { type BackupWriter, isStore } from "./backup_writer.ts";
import type { SettleHandler } from "./settle_handler.ts";
import type { SettleQueue } from "./settle_queue.ts";
import type { StoreBackup } from "./store_backup.ts";
import { refused, resultOf, unknown } from "./run_results.ts";

/** Dependencies of the token home router. */
export interface TokenHomeRouterDeps {
  readonly self: Replica;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly ledger: Ledger;
  readonly replicas: ReplicaTable;
  readonly history: DepartureHistory;
  readonly queue: SettleQueue;
  readonly store: StoreBackup;
  readonly seconds: BackupWriter;
  readonly owned: OwnedOperations;
  readonly settleHandler: SettleHandler;
  readonly forwarder: OperationForwarder;
}

/** Routes operations to the home named by their token. */
export class TokenHomeRouter {
  readonly #deps: TokenHomeRouterDeps;
  /** Tokens issued up to then start nothing, as some were refused for good. */
  #refusedUpToMs = -1;

  constructor(deps: TokenHomeRouterDeps) {
    this.#deps = deps;
  }

  /** A token for this instance; undefined while it accepts no operations. */
  ownToken(): string | undefined {
    const { ledger, seconds, self, clock } = this.#deps;
    if (ledger.full || ledger.closed) return undefined;
    const backup = seconds.preferred();
    if (backup === undefined) return undefined;
    const issuedMs = clock.now();
    return formatHomeToken({ owner: self, backup, issuedMs, round: 0 });
  }

  /** Runs the operation at its home, or returns its recorded result. */
  async run(req: OperationRequest, home: HomeToken): Promise<RunResult> {
    const { clock, forwarder, history, replicas } = this.#deps;
    const own = this.own(req, home);
    if (own) return await own;
    const deadline = clock.now() + req.maxWaitMs;
    const next = history.resolve(home.owner);
    if (next !== home.owner) return await this.#query(req, { home, at: next });
    const owner = replicas.find(home.owner);
    const forwarded = owner && !replicas.isSilent(owner)
      ? await forwarder.send(req, owner)
      : undefined;
    if (forwarded?.isOk()) return forwarded.value;
    if (clock.now() >= deadline) return deadlineExceeded();
    const at = history.resolve(home.backup);
    return await this.#query(req, { home, at });
  }

  /** Runs the operation if its home is here; else returns undefined. */
  own(req: OperationRequest, home: HomeToken): Promise<RunResult> | undefined {
    if (!this.#isSelf(home.owner)) return undefined;
    const { forwarder, ledger, owned } = this.#deps;
    const name = nameOf(req, home);
    const closed = ledger.has(name) ? undefined : this.#refusalFor(home);
    if (closed) return Promise.resolve(closed);
    const ownership = { name, backup: home.backup, isCurrent: () => true };
    return forwarder.withCallerTimeout(req, owned.attempt(req, ownership));
  }

  /**
   * The reason why a token starts no new operation, if any. A full ledger has
   * no room to record each refusal, so all tokens issued so far end together: a
   * late duplicate of a refused attempt must not run once there is room again.
   */
  #refusalFor(home: HomeToken): RunResult | undefined {
    const { clock, ledger } = this.#deps;
    const now = clock.now();
    if (now - home.issuedMs > TOKEN_TTL_MS) {
      return unknown("came with an expired home token");
    }
    if (ledger.full || ledger.closed) this.#refusedUpToMs = Math.floor(now);
    if (home.issuedMs > this.#refusedUpToMs) return undefined;
    return refused("the home's ledger was full or closed");
  }

  /** Queries another replica because the owner is unreachable or has left. */
  async #query(
    req: OperationRequest,
    { home, at }: { home: HomeToken; at: Replica },
  ): Promise<RunResult> {
    this.#deps.metrics.count("operations.owner_lost");
    const view = await this.#queryRecord(nameOf(req, home), { home, at });
    if (view === undefined) return unknown("has unreachable records");
    return resultOf(view, req.fingerprint);
  }

  async #queryRecord(
    name: OperationName,
    { home, at }: { home: HomeToken; at: Replica },
  ): Promise<RecordView | undefined> {
    const { replicas, queue, settleHandler, store } = this.#deps;
    if (isStore(at)) return await store.fence(home.owner.incarnation, name);
    if (this.#isSelf(at)) return settleHandler.fence(name, home.issuedMs);
    const known = replicas.find(at);
    if (known === undefined) return undefined;
    const entry = fenceEntry(name, { issuedMs: home.issuedMs });
    const reply = await queue.send(known, entry);
    if (reply.isErr()) return undefined;
    return decisionFromWire(reply.value.result);
  }

  #isSelf(replica: Replica): boolean {
    return replica.incarnation === this.#deps.self.incarnation;
  }
}

function nameOf(req: OperationRequest, home: HomeToken): OperationName {
  return { account: req.account, id: req.id, scope: scopeOf(home) };
}
