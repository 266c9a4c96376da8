/**
 * The second place's side: takes in intents and conclusions of others, and
 * answers who asks in an owner's stead.
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
  nameFromWire,
  resultToWire,
  seatFromWire,
  stateFromWire,
} from "./codec.ts";
import { type Place, TOKEN_LIFE_MS } from "./home_token.ts";
import type { Ledger, OperationName, PlaceDecision } from "./ledger.ts";
import type { PlaceTable } from "./places.ts";
import type { RegionHistory } from "./region_history.ts";

/** What the second place's side needs. */
export interface SecondSideDeps {
  readonly self: Place;
  readonly ledger: Ledger;
  readonly places: PlaceTable;
  readonly history: RegionHistory;
  readonly clock: Clock;
}

const NOT_TAKEN: PlaceDecision = {
  accepted: false,
  state: "none",
  fingerprint: "",
};

/** Settles what other instances send. */
export class SecondSide {
  readonly #deps: SecondSideDeps;

  constructor(deps: SecondSideDeps) {
    this.#deps = deps;
  }

  /**
   * Settles a whole request. Another incarnation than the one meant refuses,
   * and so does everybody to a stranger, who could shut out operations.
   */
  settle(req: SettleRequest): SettleResponse {
    const { places, self } = this.#deps;
    const meant = req.incarnation === self.incarnation;
    if (!meant || !places.recognises(req.from)) {
      return create(SettleResponseSchema, { gone: true });
    }
    const results = req.entries.map((entry) => this.#entry(entry));
    const { history } = this.#deps;
    return create(SettleResponseSchema, {
      results,
      historyMs: history.lengthMs,
      lost: history.lost(),
      heard: req.entries.some(asksForSeat) ? history.present() : [],
    });
  }

  /** Answers in the stead of an owner that is out of reach. */
  fence(name: OperationName, issuedMs: number): PlaceDecision {
    const { ledger, clock } = this.#deps;
    const known = ledger.view(name);
    if (known.state !== "none") return { ...known, accepted: true };
    if (this.#mayHaveForgotten(name, issuedMs)) return NOT_TAKEN;
    return ledger.fence(name, { now: clock.now() });
  }

  #entry(entry: LedgerEntry): LedgerResult {
    return resultToWire(this.#decide(entry));
  }

  #decide(entry: LedgerEntry): PlaceDecision {
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
        return { ...NOT_TAKEN, accepted: ledger.copy(record, now) };
      }
      default:
        return NOT_TAKEN;
    }
  }

  #conclude(entry: LedgerEntry, name: OperationName): PlaceDecision {
    const { ledger, clock } = this.#deps;
    const state = stateFromWire(entry.state);
    const conclusion = state === "answered"
      ? { state, answer: answerFromWire(entry.answer) }
      : { state: state === "refused" ? state : "unknown" } as const;
    ledger.conclude(name, entry.run, { conclusion, now: clock.now() });
    return { ...ledger.view(name), answer: undefined, accepted: true };
  }

  /**
   * A record lives longer than a token, so a young token without a record was
   * never used. Of an old one that cannot be said: its record may be over its
   * time, and "not run" would be false.
   */
  #mayHaveForgotten(name: OperationName, issuedMs: number): boolean {
    const owner = name.scope.split("~")[0] ?? "";
    return this.#deps.places.ageOf(owner, issuedMs) > TOKEN_LIFE_MS;
  }
}

/** Whether a seat's new holder asks, who has to know whom else to ask. */
function asksForSeat({ kind, seat }: LedgerEntry): boolean {
  return kind === EntryKind.FENCE && seat !== undefined;
}
