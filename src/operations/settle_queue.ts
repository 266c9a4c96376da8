/**
 * Entries on their way to other places, batched per place.
 *
 * What goes wrong without it: one call an operation costs about 0.1 ms of
 * processor time at both ends, which shows as control taking a whole core. An
 * entry leaves at once while few calls are out; while as many as allowed are,
 * entries gather and leave together, so that light load waits for nothing.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { ok, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";
import {
  type LedgerEntry,
  type LedgerResult,
  type SettleRequest,
  SettleRequestSchema,
  type SettleResponse,
} from "../gen/ledger_pb.ts";
import type { PeerTransport } from "../peers/mod.ts";
import type { PeerCredential } from "./home_token.ts";
import type { KnownPlace } from "./places.ts";

/** What became of an entry, and what the place says of itself. */
export interface Settled {
  readonly result: LedgerResult;
  readonly response: SettleResponse;
}

interface Waiting {
  readonly entry: LedgerEntry;
  readonly done: (settled: Result<Settled, Failure>) => void;
}

interface Lane {
  waiting: Waiting[];
  out: number;
  /** Whether this turn's entries are about to be sent. */
  due: boolean;
}

const MAX_OUT = 2;
const MAX_ENTRIES = 256;
/** Answers of this many bytes together end a batch. */
const MAX_BATCH_BYTES = 1_000_000;
/**
 * A second place within the region answers in a few milliseconds. On a machine
 * that is short of processor time a hundred times that has been seen, and
 * giving up then would refuse what could have run.
 */
export const SETTLE_TIMEOUT_MS = 500;

/** Sends entries; a failure's outcome says whether they may have arrived. */
export class SettleQueue {
  readonly #transport: PeerTransport;
  readonly #self: PeerCredential;
  readonly #lanes = new Map<string, Lane>();

  constructor(transport: PeerTransport, self: PeerCredential) {
    this.#transport = transport;
    this.#self = self;
  }

  /** Sends one entry; fails with `peer_unavailable`. */
  send(
    place: KnownPlace,
    entry: LedgerEntry,
  ): Promise<Result<Settled, Failure>> {
    const lane = this.#lane(place);
    return new Promise((done) => {
      lane.waiting.push({ entry, done });
      this.#schedule(place, lane);
    });
  }

  /** Forgets lanes that stand idle, so that ended incarnations leave none. */
  sweep(): void {
    for (const [key, lane] of this.#lanes) {
      if (lane.out === 0 && lane.waiting.length === 0) this.#lanes.delete(key);
    }
  }

  #lane(place: KnownPlace): Lane {
    const known = this.#lanes.get(place.incarnation);
    if (known) return known;
    const lane = { waiting: [], out: 0, due: false };
    this.#lanes.set(place.incarnation, lane);
    return lane;
  }

  #schedule(place: KnownPlace, lane: Lane): void {
    if (lane.due || lane.out >= MAX_OUT || lane.waiting.length === 0) return;
    lane.due = true;
    queueMicrotask(() => {
      lane.due = false;
      void this.#flush(place, lane);
    });
  }

  async #flush(place: KnownPlace, lane: Lane): Promise<void> {
    const batch = takeBatch(lane.waiting);
    if (batch.length === 0) return;
    lane.out += 1;
    this.#schedule(place, lane);
    const req = create(SettleRequestSchema, {
      incarnation: place.incarnation,
      from: this.#self,
      entries: batch.map((w) => w.entry),
    });
    const response = await this.#call(place, req);
    lane.out -= 1;
    this.#schedule(place, lane);
    batch.forEach((waiting, i) => waiting.done(resultAt(response, i)));
  }

  #call(
    place: KnownPlace,
    req: SettleRequest,
  ): Promise<Result<SettleResponse, Failure>> {
    return this.#transport.settle(place.peerUrl, req, SETTLE_TIMEOUT_MS);
  }
}

function takeBatch(waiting: Waiting[]): Waiting[] {
  let bytes = 0;
  let n = 0;
  while (n < waiting.length && n < MAX_ENTRIES && bytes < MAX_BATCH_BYTES) {
    bytes += waiting[n]?.entry.answer?.body.length ?? 0;
    n += 1;
  }
  return waiting.splice(0, n);
}

function resultAt(
  response: Result<SettleResponse, Failure>,
  index: number,
): Result<Settled, Failure> {
  return response.andThen((res) => {
    if (res.gone) {
      return fail<Settled>("not_found", "the incarnation is gone", {
        outcome: "not-run",
      });
    }
    const result = res.results[index];
    if (result) return ok({ result, response: res });
    return fail<Settled>("peer_unavailable", "the peer's answer is short", {
      outcome: "unknown",
    });
  });
}
