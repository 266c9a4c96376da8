/**
 * Weighted fair queue over accounts, measured in the time that slots are held
 * (start-time fair queueing, Goyal 1996).
 *
 * Isolates accounts from each other. In a FIFO queue an account that sends
 * several times its share fills the queue, and the latency of all others rises
 * with its load. Here each account is charged for the slot time it uses, and a
 * full queue evicts from the account with the largest weighted backlog.
 *
 * @module
 */
import type { AccountId } from "../../core/mod.ts";

/** One queued request. */
export interface Waiter {
  readonly account: AccountId;
  /** Expected slot time in milliseconds. */
  readonly cost: number;
}

/** The waiter started, can't start yet (`later`), or none can (`full`). */
export type StartResult = "started" | "later" | "full";

interface Flow<W extends Waiter> {
  readonly account: AccountId;
  readonly weight: number;
  /** Start tag of its next request, in virtual time. */
  startTag: number;
  waiting: W[];
  pendingCost: number;
}

/** The fair queue of one service. */
export class FairQueue<W extends Waiter> {
  readonly #weightOf: (account: AccountId) => number;
  readonly #flows = new Map<AccountId, Flow<W>>();
  /** Finish tag of each account's last charge, in virtual time. */
  readonly #finishTags = new Map<AccountId, number>();
  #virtualTime = 0;
  #size = 0;

  constructor(weightOf: (account: AccountId) => number) {
    this.#weightOf = weightOf;
  }

  /** Queued requests. */
  get size(): number {
    return this.#size;
  }

  /** Slot time of all queued requests, in milliseconds. */
  get pendingCost(): number {
    let sum = 0;
    for (const flow of this.#flows.values()) sum += flow.pendingCost;
    return sum;
  }

  /** Charges an account for a request that did not have to wait. */
  charge(account: AccountId, cost: number): void {
    const startTag = this.#startTagOf(account);
    this.#virtualTime = Math.max(this.#virtualTime, startTag);
    this.#finishTags.set(account, startTag + cost / this.#weightOf(account));
  }

  push(waiter: W): void {
    const flow = this.#flows.get(waiter.account) ??
      this.#openFlow(waiter.account);
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
    if (flow.waiting.length === 0) this.#closeFlow(flow);
    return true;
  }

  /**
   * Removes and returns the next waiter that can start, in start-tag order. A
   * waiter that cannot start now keeps its place and does not block the others.
   */
  startNext(tryStart: (waiter: W) => StartResult): W | undefined {
    const first = this.#earliestFlow();
    if (first === undefined) return undefined;
    const tried = this.#startFromFlow(first, tryStart);
    if (tried !== "later") return tried;
    const rest = [...this.#flows.values()].filter((f) => f !== first)
      .sort((a, b) => a.startTag - b.startTag);
    for (const flow of rest) {
      const served = this.#startFromFlow(flow, tryStart);
      if (served !== "later") return served;
    }
    return undefined;
  }

  /** Slot time that is served before a new request of the account. */
  costAhead(account: AccountId): number {
    const own = this.#flows.get(account);
    const pending = own?.pendingCost ?? 0;
    const weight = own?.weight ?? this.#weightOf(account);
    const newStartTag = (own?.startTag ?? this.#startTagOf(account)) +
      pending / weight;
    let sum = pending;
    for (const flow of this.#flows.values()) {
      if (flow === own) continue;
      const before = Math.max(0, (newStartTag - flow.startTag) * flow.weight);
      sum += Math.min(flow.pendingCost, before);
    }
    return sum;
  }

  /**
   * The waiter to evict for a new one of `account` when the queue is full: the
   * newest of the account with the largest backlog per weight; undefined if
   * that is `account` itself.
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

  /** All waiters, in no particular order. */
  waiters(): W[] {
    return [...this.#flows.values()].flatMap((f) => f.waiting);
  }

  /** Removes finish tags that virtual time has passed, to bound memory. */
  pruneFinishTags(): void {
    for (const [account, finish] of this.#finishTags) {
      if (finish <= this.#virtualTime) this.#finishTags.delete(account);
    }
  }

  #startTagOf(account: AccountId): number {
    return Math.max(this.#virtualTime, this.#finishTags.get(account) ?? 0);
  }

  #openFlow(account: AccountId): Flow<W> {
    const flow = {
      account,
      weight: this.#weightOf(account),
      startTag: this.#startTagOf(account),
      waiting: [],
      pendingCost: 0,
    };
    this.#flows.set(account, flow);
    return flow;
  }

  #closeFlow(flow: Flow<W>): void {
    this.#flows.delete(flow.account);
    this.#finishTags.set(flow.account, flow.startTag);
  }

  #earliestFlow(): Flow<W> | undefined {
    let first: Flow<W> | undefined;
    for (const flow of this.#flows.values()) {
      if (first === undefined || flow.startTag < first.startTag) first = flow;
    }
    return first;
  }

  /** The waiter that started; undefined if none can; `later` to try others. */
  #startFromFlow(
    flow: Flow<W>,
    tryStart: (waiter: W) => StartResult,
  ): W | undefined | "later" {
    for (const waiter of flow.waiting) {
      const result = tryStart(waiter);
      if (result === "full") return undefined;
      if (result === "later") continue;
      this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
      flow.startTag += waiter.cost / flow.weight;
      this.remove(waiter);
      return waiter;
    }
    return "later";
  }
}

function backlog(flow: Flow<Waiter>): number {
  return flow.pendingCost / flow.weight;
}
