/**
 * The backup's side of the protocol: receives intents and conclusions from
 * owners, and answers queries on their behalf.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import type { Clock } from "../core/mod.ts";
import {
  EntryKind,
  type LedgerEntry,
  type LedgerResult,
  type SettleRequest,
  type SettleResponse,
  SettleResponseSchema,
} from "../gen/ledger_pb.ts";
import {
  answerFromWire,
  decisionToWire,
  nameFromWire,
  seatFromWire,
  stateFromWire,
} from "./codec.ts";
import { type Replica, TOKEN_TTL_MS } from "./home_token.ts";
import type { Ledger, OperationName, SettleDecision } from "./ledger.ts";
import type { ReplicaTable } from "./replica_table.ts";
import type { DepartureHistory } from "./departure_history.ts";

/** Dependencies of the settle handler. */
export interface SettleHandlerDeps {
  readonly self: Replica;
  readonly ledger: Ledger;
  readonly replicas: ReplicaTable;
  readonly history: DepartureHistory;
  readonly clock: Clock;
}

const NOT_ACCEPTED: SettleDecision = {
  accepted: false,
  state: "none",
  fingerprint: "",
};

/** Settles entries from other instances. */
export class SettleHandler {
  readonly #deps: SettleHandlerDeps;

  constructor(deps: SettleHandlerDeps) {
    this.#deps = deps;
  }

  /**
   * Settles a request. It is rejected if meant for another incarnation or if
   * sent by an unknown peer, which could fence off operations.
   */
  settle(req: SettleRequest): SettleResponse {
    const { replicas, self } = this.#deps;
    const isTarget = req.incarnation === self.incarnation;
    if (!isTarget || !replicas.authenticates(req.from)) {
      return create(SettleResponseSchema, { gone: true });
    }
    const results = req.entries.map((entry) => this.#settleEntry(entry));
    const { history } = this.#deps;
    return create(SettleResponseSchema, {
      results,
      historyMs: history.lengthMs,
      lost: history.lost(),
      heard: req.entries.some(isSeatQuery) ? history.present() : [],
    });
  }

  /** Answers on behalf of an owner that is unreachable. */
  fence(name: OperationName, issuedMs: number): SettleDecision {
    const { ledger, clock } = this.#deps;
    const known = ledger.view(name);
    if (known.state !== "none") return { ...known, accepted: true };
    if (this.#mayHaveExpired(name, issuedMs)) return NOT_ACCEPTED;
    return ledger.fence(name, { now: clock.now() });
  }

  #settleEntry(entry: LedgerEntry): LedgerResult {
    return decisionToWire(this.#decide(entry));
  }

  #decide(entry: LedgerEntry): SettleDecision {
    const { ledger, clock } = this.#deps;
    const name = nameFromWire(entry.name);
    const seat = seatFromWire(entry.seat);
    const now = clock.now();
    const { fingerprint, run, owner, keepMs } = entry;
    switch (entry.kind) {
      case EntryKind.INTENT:
        return ledger.intent(
          { name, fingerprint, run, owner, keepMs, seat },
          now,
        );
      case EntryKind.ANSWER:
      case EntryKind.REFUSED:
        return this.#conclude(entry, name);
      case EntryKind.FENCE:
        return seat
          ? ledger.fence(name, { seat, now })
          : this.fence(name, entry.issuedMs);
      case EntryKind.COPY: {
        const state = stateFromWire(entry.state);
        const answer = answerFromWire(entry.answer);
        const record = { name, fingerprint, run, owner, seat, state, answer };
        return { ...NOT_ACCEPTED, accepted: ledger.copy(record, now) };
      }
      default:
        return NOT_ACCEPTED;
    }
  }

  #conclude(entry: LedgerEntry, name: OperationName): SettleDecision {
    const { ledger, clock } = this.#deps;
    const state = stateFromWire(entry.state);
    const conclusion = state === "answered"
      ? { state, answer: answerFromWire(entry.answer) }
      : { state: state === "refused" ? state : "unknown" } as const;
    ledger.conclude(name, entry.run, { conclusion, now: clock.now() });
    return { ...ledger.view(name), answer: undefined, accepted: true };
  }

  /**
   * A record outlives a token, so a young token without a record was never
   * used. For an old token the record may have expired, and "not run" could be
   * false.
   */
  #mayHaveExpired(name: OperationName, issuedMs: number): boolean {
    const owner = name.scope.split("~")[0] ?? "";
    return this.#deps.replicas.ageOf(owner, issuedMs) > TOKEN_TTL_MS;
  }
}

/** Whether a seat's new holder asks; it needs the incarnations to query. */
function isSeatQuery({ kind, seat }: LedgerEntry): boolean {
  return kind === EntryKind.FENCE && seat !== undefined;
}
