/**
 * A bounded queue that is fair over accounts by weight, counted in the time
 * that slots are held (start-time fair queueing, Goyal 1996).
 *
 * Answers a few dominant accounts. In a first-come queue an account that sends
 * several times its part fills the queue, and every other waits behind it,
 * which shows as the worst-served account's latency rising with somebody
 * else's load. Here each account's turns are charged by the slot time they
 * take, and a full queue drops from the account with most waiting.
 *
 * @module
 */
import type { AccountId } from "../../core/mod.ts";

/** One request that waits. */
export interface Waiter {
  readonly account: AccountId;
  /** Slot time it is expected to take, in milliseconds. */
  readonly cost: number;
}

/** Whether a waiter started, cannot start yet, or nobody can. */
export type StartResult = "started" | "later" | "full";

interface Flow<W extends Waiter> {
  readonly account: AccountId;
  readonly weight: number;
  /** Virtual time at which its next request is due. */
  tag: number;
  waiting: W[];
  pendingCost: number;
}

/** A fair queue of one service. */
export class FairQueue<W extends Waiter> {
  readonly #weightOf: (account: AccountId) => number;
  readonly #flows = new Map<AccountId, Flow<W>>();
  /** Virtual time at which each account's last charge ends. */
  readonly #finish = new Map<AccountId, number>();
  #virtual = 0;
  #size = 0;

  constructor(weightOf: (account: AccountId) => number) {
    this.#weightOf = weightOf;
  }

  /** Requests waiting. */
  get size(): number {
    return this.#size;
  }

  /** Slot time of all that wait, in milliseconds. */
  get pendingCost(): number {
    let sum = 0;
    for (const flow of this.#flows.values()) sum += flow.pendingCost;
    return sum;
  }

  /** Charges an account for work that did not have to wait. */
  charge(account: AccountId, cost: number): void {
    const tag = this.#due(account);
    this.#virtual = Math.max(this.#virtual, tag);
    this.#finish.set(account, tag + cost / this.#weightOf(account));
  }

  push(waiter: W): void {
    const flow = this.#flows.get(waiter.account) ?? this.#open(waiter.account);
    flow.waiting.push(waiter);
    flow.pendingCost += waiter.cost;
    this.#size += 1;
  }

  remove(waiter: W): boolean {
    const flow = this.#flows.get(waiter.account);
    const at = flow?.waiting.indexOf(waiter) ?? -1;
    if (flow === undefined || at < 0) return false;
    flow.waiting.splice(at, 1);
    flow.pendingCost = Math.max(0, flow.pendingCost - waiter.cost);
    this.#size -= 1;
    if (flow.waiting.length === 0) this.#close(flow);
    return true;
  }

  /**
   * Takes out the next waiter that can start, by turn of its account; what
   * cannot start now keeps its place and does not hold up the others.
   */
  serve(tryStart: (waiter: W) => StartResult): W | undefined {
    const first = this.#earliest();
    if (first === undefined) return undefined;
    const tried = this.#serveFlow(first, tryStart);
    if (tried !== "later") return tried;
    const rest = [...this.#flows.values()].filter((f) => f !== first)
      .sort((a, b) => a.tag - b.tag);
    for (const flow of rest) {
      const served = this.#serveFlow(flow, tryStart);
      if (served !== "later") return served;
    }
    return undefined;
  }

  /** Slot time that would be served before a new request of the account. */
  costAhead(account: AccountId): number {
    const own = this.#flows.get(account);
    const pending = own?.pendingCost ?? 0;
    const weight = own?.weight ?? this.#weightOf(account);
    const turn = (own?.tag ?? this.#due(account)) + pending / weight;
    let sum = pending;
    for (const flow of this.#flows.values()) {
      if (flow === own) continue;
      const before = Math.max(0, (turn - flow.tag) * flow.weight);
      sum += Math.min(flow.pendingCost, before);
    }
    return sum;
  }

  /**
   * The waiter to drop for a new one of `account` when the queue is full: the
   * newest of the account with most slot time waiting for its weight;
   * undefined if that is `account` itself.
   */
  victimFor(account: AccountId): W | undefined {
    let worst: Flow<W> | undefined;
    for (const flow of this.#flows.values()) {
      if (worst === undefined || backlog(flow) > backlog(worst)) worst = flow;
    }
    const own = this.#flows.get(account);
    if (worst === undefined || own === worst) return undefined;
    if (own && backlog(own) >= backlog(worst)) return undefined;
    return worst.waiting.at(-1);
  }

  /** Every waiter, in no particular order. */
  waiters(): W[] {
    return [...this.#flows.values()].flatMap((f) => f.waiting);
  }

  /** Drops charges that lie in the past, so that state stays bounded. */
  forget(): void {
    for (const [account, finish] of this.#finish) {
      if (finish <= this.#virtual) this.#finish.delete(account);
    }
  }

  #due(account: AccountId): number {
    return Math.max(this.#virtual, this.#finish.get(account) ?? 0);
  }

  #open(account: AccountId): Flow<W> {
    const flow = {
      account,
      weight: this.#weightOf(account),
      tag: this.#due(account),
      waiting: [],
      pendingCost: 0,
    };
    this.#flows.set(account, flow);
    return flow;
  }

  #close(flow: Flow<W>): void {
    this.#flows.delete(flow.account);
    this.#finish.set(flow.account, flow.tag);
  }

  #earliest(): Flow<W> | undefined {
    let first: Flow<W> | undefined;
    for (const flow of this.#flows.values()) {
      if (first === undefined || flow.tag < first.tag) first = flow;
    }
    return first;
  }

  /** The waiter that started; undefined if none can; `later` to try others. */
  #serveFlow(
    flow: Flow<W>,
    tryStart: (waiter: W) => StartResult,
  ): W | undefined | "later" {
    for (const waiter of flow.waiting) {
      const result = tryStart(waiter);
      if (result === "full") return undefined;
      if (result === "later") continue;
      this.#virtual = Math.max(this.#virtual, flow.tag);
      flow.tag += waiter.cost / flow.weight;
      this.remove(waiter);
      return waiter;
    }
    return "later";
  }
}

function backlog(flow: Flow<Waiter>): number {
  return flow.pendingCost / flow.weight;
}
