/**
 * Converts between the ledger's types and their wire messages.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { err, ok } from "neverthrow";
import { failure, type FailureCode, type Outcome } from "../core/mod.ts";
import {
  EntryKind,
  type ForwardFailure,
  ForwardFailureSchema,
  type ForwardResponse,
  ForwardResponseSchema,
  type LedgerEntry,
  LedgerEntrySchema,
  type LedgerResult,
  LedgerResultSchema,
  type OperationName as OperationNameMessage,
  type RecordedAnswerMessage,
  RecordedAnswerMessageSchema,
  RecordState as WireState,
  type SeatEpochMessage,
} from "../gen/ledger_pb.ts";
import type {
  Conclusion,
  IntentEntry,
  LedgerRecord,
  OperationName,
  RecordState,
  SeatEpoch,
  SettleDecision,
} from "./ledger.ts";
import type { RecordedAnswer, RunResult } from "./operations.ts";

const STATE_TO_WIRE: Readonly<Record<RecordState, WireState>> = {
  none: WireState.NONE,
  intent: WireState.INTENT,
  answered: WireState.ANSWERED,
  refused: WireState.REFUSED,
  unknown: WireState.UNKNOWN,
};

const STATE_FROM_WIRE = new Map<WireState, RecordState>(
  Object.entries(STATE_TO_WIRE).map((
    [state, wire],
  ) => [wire, state as RecordState]),
);

/** Encodes an intent as an entry. */
export function intentEntry(intent: IntentEntry): LedgerEntry {
  const { seat, ...rest } = intent;
  return create(LedgerEntrySchema, {
    ...rest,
    kind: EntryKind.INTENT,
    ...(seat ? { seat: seatToWire(seat) } : {}),
  });
}

/** Encodes the conclusion of a run as an entry. */
export function conclusionEntry(
  name: OperationName,
  run: string,
  conclusion: Conclusion,
): LedgerEntry {
  const refused = conclusion.state === "refused";
  return create(LedgerEntrySchema, {
    kind: refused ? EntryKind.REFUSED : EntryKind.ANSWER,
    name,
    run,
    state: STATE_TO_WIRE[conclusion.state],
    ...(conclusion.state === "answered" && conclusion.answer
      ? { answer: answerToWire(conclusion.answer) }
      : {}),
  });
}

/** Encodes a query that rejects later intents, as an entry. */
export function fenceEntry(
  name: OperationName,
  { seat, issuedMs }: { seat?: SeatEpoch; issuedMs?: number },
): LedgerEntry {
  return create(LedgerEntrySchema, {
    kind: EntryKind.FENCE,
    name,
    ...(seat ? { seat: seatToWire(seat) } : {}),
    issuedMs: issuedMs ?? 0,
  });
}

/** Encodes a record of a leaving instance as an entry. */
export function copyEntry(record: LedgerRecord): LedgerEntry {
  const { name, fingerprint, run, owner, seat, state, answer } = record;
  return create(LedgerEntrySchema, {
    kind: EntryKind.COPY,
    name,
    fingerprint,
    run,
    owner,
    state: STATE_TO_WIRE[state],
    ...(seat ? { seat: seatToWire(seat) } : {}),
    ...(answer ? { answer: answerToWire(answer) } : {}),
  });
}

/** Decodes a state; a state added by a newer version is read as unknown. */
export function stateFromWire(state: WireState): RecordState {
  return STATE_FROM_WIRE.get(state) ?? "unknown";
}

export function nameFromWire(
  name: OperationNameMessage | undefined,
): OperationName {
  return {
    account: name?.account ?? "",
    id: name?.id ?? "",
    scope: name?.scope ?? "",
  };
}

export function seatFromWire(
  seat: SeatEpochMessage | undefined,
): SeatEpoch | undefined {
  if (seat === undefined) return undefined;
  const { zone, index, epoch } = seat;
  return { zone, index, epoch: Number(epoch) };
}

export function answerFromWire(
  answer: RecordedAnswerMessage | undefined,
): RecordedAnswer | undefined {
  if (answer === undefined || answer.bodyDropped) return undefined;
  const { status, headers, body } = answer;
  return { status, headers, body };
}

/** Encodes a replica's decision. */
export function decisionToWire(decision: SettleDecision): LedgerResult {
  const { accepted, state, fingerprint, answer } = decision;
  return create(LedgerResultSchema, {
    accepted,
    state: STATE_TO_WIRE[state],
    fingerprint,
    ...(answer ? { answer: answerToWire(answer) } : {}),
  });
}

/** Decodes a replica's decision. */
export function decisionFromWire(result: LedgerResult): SettleDecision {
  return {
    accepted: result.accepted,
    state: stateFromWire(result.state),
    fingerprint: result.fingerprint,
    answer: answerFromWire(result.answer),
  };
}

/** Encodes the result of a forwarded run. */
export function runResultToWire(result: RunResult): ForwardResponse {
  if (result.isOk()) {
    return create(ForwardResponseSchema, {
      answer: answerToWire(result.value),
    });
  }
  const { code, message, outcome, retryAfterMs } = result.error;
  const failure = create(ForwardFailureSchema, {
    code,
    message,
    outcome: outcome ?? "unknown",
    retryAfterMs: retryAfterMs ?? 0,
  });
  return create(ForwardResponseSchema, { failure });
}

/** Decodes the result of a forwarded run. */
export function runResultFromWire(res: ForwardResponse): RunResult {
  const answer = answerFromWire(res.answer);
  return answer ? ok(answer) : err(failureFromWire(res.failure));
}

function failureFromWire(wire: ForwardFailure | undefined) {
  const outcome: Outcome = wire?.outcome === "not-run" ? "not-run" : "unknown";
  return failure(
    (wire?.code || "outcome_unknown") as FailureCode,
    wire?.message ?? "the home gave no answer",
    {
      outcome,
      ...(wire?.retryAfterMs ? { retryAfterMs: wire.retryAfterMs } : {}),
    },
  );
}

function answerToWire(answer: RecordedAnswer): RecordedAnswerMessage {
  const { status, headers, body } = answer;
  return create(RecordedAnswerMessageSchema, {
    status,
    headers: { ...headers },
    body,
  });
}

function seatToWire({ zone, index, epoch }: SeatEpoch) {
  return { zone, index, epoch: BigInt(epoch) };
}
