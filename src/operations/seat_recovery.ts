/**
 * The queries that a seat's new holder makes before it runs an id without a
 * record.
 *
 * The previous holder may have run the id and recorded it at any instance of
 * the region. If one of them were not queried, a hold on a lot would be placed
 * twice when its caller retries after the change of holders.
 *
 * @module
 */
import type { Clock } from "../core/mod.ts";
import type { SeatDirectory } from "../membership/mod.ts";
import { decisionFromWire, fenceEntry } from "./codec.ts";
import { publicIncarnation, type Replica } from "./home_token.ts";
import type { Ledger, OperationName, RecordView, SeatEpoch } from "./ledger.ts";
import type { Locality, PeerReplica, ReplicaTable } from "./replica_table.ts";
import type { DepartureHistory } from "./departure_history.ts";
import type { SettleQueue } from "./settle_queue.ts";
import type { StoreBackup } from "./store_backup.ts";

/** Dependencies of seat recovery. */
export interface SeatRecoveryDeps {
  readonly self: Replica & Locality;
  readonly clock: Clock;
  readonly seats: SeatDirectory;
  readonly ledger: Ledger;
  readonly replicas: ReplicaTable;
  readonly history: DepartureHistory;
  readonly queue: SettleQueue;
  readonly store: StoreBackup;
}

/** What the queried replicas have recorded of an id. */
export type RecoveryResult =
  | { readonly kind: "known"; readonly view: RecordView }
  /** No replica has a record, and all that could have one were queried. */
  | { readonly kind: "clear" }
  | { readonly kind: "incomplete" };

interface RecoveryReply {
  readonly replica: PeerReplica;
  readonly view: RecordView | undefined;
  readonly historyMs: number;
  readonly lost: readonly string[];
  /** Incarnations that this replica considers present. */
  readonly heard: readonly string[];
}

/**
 * Each operation is recorded twice, so after the loss of one instance the other
 * record remains. After the loss of two, both may be gone.
 */
const MAX_UNANSWERED = 1;

/** Queries the region for ids of a seat's earlier epochs. */
export class SeatRecovery {
  readonly #deps: SeatRecoveryDeps;
  readonly #heldSince = new Map<string, number>();
  /** Seats whose first holder is this instance or sent its member list. */
  readonly #firstHoldersSeen = new Set<string>();

  constructor(deps: SeatRecoveryDeps) {
    this.#deps = deps;
  }

  /** Tracks seat holders and own seats; to be called on each tick. */
  sweep(now: number): void {
    this.#recordFirstHolders();
    const held = new Set(this.#deps.seats.held(now).map(seatKey));
    for (const key of this.#heldSince.keys()) {
      if (!held.has(key)) this.#heldSince.delete(key);
    }
    for (const key of held) {
      if (!this.#heldSince.has(key)) this.#heldSince.set(key, now);
    }
  }

  /**
   * A new fleet has no long history. A seat's second holder still has every
   * instance that the first could use, if it received that one's member list.
   */
  #sawAllHolders(seat: SeatEpoch): boolean {
    return seat.epoch <= 2 &&
      this.#firstHoldersSeen.has(seatKey({ ...seat, epoch: 1 }));
  }

  #recordFirstHolders(): void {
    const { seats, replicas, history, self } = this.#deps;
    for (const seat of seats.entries()) {
      if (seat.epoch !== 1 || seat.holder === undefined) continue;
      if (this.#firstHoldersSeen.has(seatKey(seat))) continue;
      const holder = seat.holder === self.instance
        ? self
        : replicas.byInstance(seat.holder);
      if (holder === undefined || !history.covers(holder.incarnation)) continue;
      const other = seat.incarnation !== "" &&
        publicIncarnation(seat.incarnation) !== holder.incarnation;
      if (other) continue;
      this.#firstHoldersSeen.add(seatKey(seat));
    }
  }

  /** Whether operations of an earlier holder may still be retried. */
  isNeeded(seat: SeatEpoch): boolean {
    if (seat.epoch <= 1) return false;
    const { clock, ledger } = this.#deps;
    const now = clock.now();
    const since = this.#heldSince.get(seatKey(seat)) ?? now;
    return now - since < ledger.limits.retentionMs;
  }

  /** Queries all that could have a record, and fences off earlier holders. */
  async query(name: OperationName, seat: SeatEpoch): Promise<RecoveryResult> {
    const { ledger, clock } = this.#deps;
    const here = ledger.fence(name, { seat, now: clock.now() });
    if (here.state !== "none") return { kind: "known", view: here };
    const region = this.#regionOf(seat.zone);
    const replies = await Promise.all(
      this.#replicasIn(region).map((replica) =>
        this.#queryReplica(replica, name, seat)
      ),
    );
    const known = replies.flatMap(({ view }) => view ? [view] : [])
      .filter((view) => view.state !== "none")
      .sort((a, b) => statePriority(b) - statePriority(a))[0];
    if (known) return { kind: "known", view: known };
    return await this.#evaluate(replies, { name, region, seat });
  }

  async #evaluate(
    replies: readonly RecoveryReply[],
    { name, region, seat }: {
      name: OperationName;
      region: string;
      seat: SeatEpoch;
    },
  ): Promise<RecoveryResult> {
    const { history, ledger, self, store } = this.#deps;
    const answered = replies.filter((a) => a.view !== undefined);
    const here = region === self.region;
    const histories = answered.map((a) => a.historyMs);
    if (here) histories.push(history.lengthMs);
    const unanswered = this.#unanswered(replies, here);
    const historyTooShort =
      Math.max(0, ...histories) < ledger.limits.retentionMs &&
      !this.#sawAllHolders(seat);
    const successorMissing = unanswered.some((m) => history.isSuccessor(m));
    if (
      historyTooShort || successorMissing || unanswered.length > MAX_UNANSWERED
    ) {
      return { kind: "incomplete" };
    }
    for (const incarnation of unanswered) {
      const view = await store.fence(incarnation, name);
      if (view.state === "refused") continue;
      if (view.state === "unknown") return { kind: "incomplete" };
      return { kind: "known", view };
    }
    return { kind: "clear" };
  }

  /**
   * Incarnations that did not answer, or that any replica reports as lost or
   * present. Present ones matter when messages are lost: a new instance may not
   * have received any gossip from the replica that holds the record, and the
   * operation would run twice because that replica was not queried.
   */
  #unanswered(replies: readonly RecoveryReply[], here: boolean): string[] {
    const { history, self } = this.#deps;
    const answered = new Set([self.incarnation]);
    const expected = here ? [...history.lost(), ...history.present()] : [];
    for (const { replica, view, lost, heard } of replies) {
      if (view !== undefined) answered.add(replica.incarnation);
      expected.push(replica.incarnation, ...lost, ...heard);
    }
    // The successor answers for an incarnation that left gracefully.
    const resolved = expected.map((incarnation) =>
      history.resolve({ instance: "", incarnation }).incarnation
    );
    return [...new Set(resolved)].filter((i) => !answered.has(i));
  }

  async #queryReplica(
    replica: PeerReplica,
    name: OperationName,
    seat: SeatEpoch,
  ): Promise<RecoveryReply> {
    const reply = await this.#deps.queue.send(
      replica,
      fenceEntry(name, { seat }),
    );
    if (reply.isErr()) {
      return { replica, view: undefined, historyMs: 0, lost: [], heard: [] };
    }
    const { result, response } = reply.value;
    const { historyMs, lost, heard } = response;
    return { replica, view: decisionFromWire(result), historyMs, lost, heard };
  }

  #replicasIn(region: string): PeerReplica[] {
    const { history, replicas } = this.#deps;
    return replicas.all().filter((p) =>
      p.region === region && history.resolve(p) === p
    );
  }

  #regionOf(zone: string): string {
    const { replicas, self } = this.#deps;
    if (zone === self.zone) return self.region;
    return replicas.all().find((p) => p.zone === zone)?.region ?? "";
  }
}

function statePriority(view: RecordView): number {
  return ["none", "refused", "intent", "unknown", "answered"]
    .indexOf(view.state);
}

function seatKey({ zone, index, epoch }: SeatEpoch): string {
  return `${zone} ${index} ${epoch}`;
}
