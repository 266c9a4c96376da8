/**
 * Admission and waiting for one service.
 *
 * Answers bursts and saturation. Without a queue a burst is refused that a
 * short wait would have served; with an unbounded one every request waits
 * until its deadline and is then useless, which shows as full slots and no
 * goodput. So a request waits only where it can still end in time, and is
 * otherwise refused at once with the time after which it could be taken.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import {
  type AccountId,
  type Clock,
  type EndpointId,
  fail,
  type Failure,
  type Random,
  type ServiceId,
} from "../../core/mod.ts";
import type { Slot, SteeringRequest } from "./dispatcher.ts";
import type { EndpointRow } from "./endpoint_row.ts";
import { FairQueue, type Waiter } from "./fair_queue.ts";
import { LongWork } from "./long_work.ts";
import {
  cancelled,
  NO_SLOT_RETRY_MS,
  noCapacity,
  noEndpoint,
  retryAfter,
} from "./refusals.ts";
import type { SlotLimits } from "./slot_limits.ts";
import { SlotTable } from "./slot_table.ts";
import { WorkTimes } from "./work_times.ts";

/** What a pool needs. */
export interface ServicePoolDeps {
  readonly service: ServiceId;
  readonly clock: Clock;
  readonly random: Random;
  readonly limits: SlotLimits;
  readonly weightOf: (account: AccountId) => number;
  readonly onDrained: (endpoint: EndpointId, ms: number) => void;
}

interface QueuedRequest extends Waiter {
  readonly req: SteeringRequest;
  readonly long: boolean;
  readonly settle: (result: Result<Slot, Failure>) => void;
}

/** A queue that was not empty for this long is no burst any more. */
const STANDING_MS = 500;
/** Typical times of work that may be waited in a standing queue. */
const STANDING_WAITS = 1;
const LEAST_WAIT_MS = 20;

/** The queue and slots of one service at one instance. */
export class ServicePool {
  readonly #deps: ServicePoolDeps;
  readonly #times = new WorkTimes();
  readonly #queue: FairQueue<QueuedRequest>;
  readonly #slots: SlotTable;
  readonly #long = new LongWork();
  #queueLimit = 0;
  #turnedAway = 0;
  #full = false;
  #emptyAt = -Infinity;

  constructor(deps: ServicePoolDeps) {
    this.#deps = deps;
    this.#queue = new FairQueue(deps.weightOf);
    this.#slots = new SlotTable({
      ...deps,
      times: this.#times,
      onFree: (now) => this.#pump(now),
    });
  }

  get rows(): readonly EndpointRow[] {
    return this.#slots.rows;
  }

  get waiting(): number {
    return this.#queue.size;
  }

  get inFlight(): number {
    return this.#slots.inFlight;
  }

  /** Slots that may be in use at once. */
  capacity(now: number): number {
    return this.#slots.capacity(now);
  }

  /** Slots free and wanted by nobody here. */
  free(now: number): number {
    return Math.max(0, this.#slots.free(now) - this.#queue.size);
  }

  /** Takes over endpoints and queue limit of a newly accepted document. */
  adopt(
    rows: readonly EndpointRow[],
    queueLimit: number,
    now: number,
  ): void {
    this.#slots.rows = rows;
    this.#queueLimit = queueLimit;
    this.#slots.refresh(now, this.#queue.size);
    if (!this.#open()) this.#refuseAll();
    this.#pump(now);
  }

  tick(now: number): void {
    this.#times.forget(now);
    this.#queue.forget();
    this.#slots.refresh(now, this.#queue.size + this.#turnedAway);
    this.#turnedAway = 0;
    this.#pump(now);
  }

  /** A slot if one is free that nobody who waits may take. */
  tryNow(req: SteeringRequest, now: number): Slot | undefined {
    this.#pump(now);
    if (this.#full) return undefined;
    const { cost, long } = this.#assess(req, now);
    const slot = this.#take(req, long, now);
    if (slot !== undefined) this.#queue.charge(req.account, cost);
    return slot;
  }

  /** Milliseconds until a request of the account would get a slot here. */
  expectedWait(req: SteeringRequest, now: number): number {
    if (!this.#open(req.exclude)) return Infinity;
    return this.#expectedWait(req.account, now);
  }

  acquire(
    req: SteeringRequest,
    signal?: AbortSignal,
  ): Promise<Result<Slot, Failure>> {
    if (signal?.aborted) return Promise.resolve(cancelled());
    const now = this.#deps.clock.now();
    const slot = this.tryNow(req, now);
    if (slot !== undefined) return Promise.resolve(ok(slot));
    const { cost, long } = this.#assess(req, now);
    const refused = this.#refusal(req, cost, now);
    if (refused !== undefined) {
      this.#turnedAway += 1;
      return Promise.resolve(refused);
    }
    return this.#wait({ account: req.account, cost, req, long }, signal);
  }

  #assess(req: SteeringRequest, now: number): { cost: number; long: boolean } {
    const cost = this.#times.expected(req.account, req.work ?? "");
    const long = this.#long.isLong(cost, this.#times.typical, now);
    return { cost, long };
  }

  /** Whether any endpoint may be tried, now or later. */
  #open(exclude?: ReadonlySet<EndpointId>): boolean {
    return this.rows.some((r) =>
      r.drainingSince === undefined && !exclude?.has(r.id)
    );
  }

  /** Why a request must not wait; undefined if it may. */
  #refusal(
    req: SteeringRequest,
    cost: number,
    now: number,
  ): Result<never, Failure> | undefined {
    if (!this.#open(req.exclude)) return noEndpoint(req.service);
    const waitMs = this.#expectedWait(req.account, now);
    if (!Number.isFinite(waitMs)) {
      return noCapacity(req.service, "no slot", NO_SLOT_RETRY_MS);
    }
    const late = now + waitMs + this.#within(req) - req.deadline;
    if (late > 0) return noCapacity(req.service, "too long a wait", late);
    const over = waitMs - this.#longestWait(now);
    if (over > 0) return noCapacity(req.service, "a standing queue", over);
    if (this.#queue.size < this.#queueLimit) return undefined;
    const victim = this.#queue.victimFor(req.account);
    if (victim === undefined) {
      return noCapacity(req.service, "a full queue", waitMs + cost);
    }
    this.#turnedAway += 1;
    victim.settle(noCapacity(req.service, "a full queue", waitMs + cost));
    return undefined;
  }

  /**
   * A queue that a burst left may be waited in up to the deadline. One that
   * has not been empty for long only adds its length to every answer's time;
   * there just as much may wait as keeps the slots busy.
   */
  #longestWait(now: number): number {
    if (now - this.#emptyAt <= STANDING_MS) return Infinity;
    return Math.max(LEAST_WAIT_MS, STANDING_WAITS * this.#times.typical);
  }

  /** Milliseconds until a request that comes now would get a slot. */
  #expectedWait(account: AccountId, now: number): number {
    const capacity = this.#slots.capacity(now);
    const ahead = this.#queue.costAhead(account) + this.#times.typical;
    if (capacity > 0) return ahead / capacity;
    return this.#slots.unblockedAt(now) - now + ahead;
  }

  #within(req: SteeringRequest): number {
    return this.#times.within(req.account, req.work ?? "");
  }

  #wait(
    queued: Omit<QueuedRequest, "settle">,
    signal: AbortSignal | undefined,
  ): Promise<Result<Slot, Failure>> {
    const { promise, resolve } = withResolvers<Result<Slot, Failure>>();
    const { clock } = this.#deps;
    const onAbort = () => waiter.settle(cancelled());
    const waiter: QueuedRequest = {
      ...queued,
      settle: (result) => {
        this.#queue.remove(waiter);
        timer.close();
        signal?.removeEventListener("abort", onAbort);
        resolve(result);
      },
    };
    // Later than this the request could not end in time even if it started.
    const patience = queued.req.deadline - this.#within(queued.req);
    const timer = clock.after(Math.max(0, patience - clock.now()), () => {
      this.#turnedAway += 1;
      waiter.settle(this.#tooLate(queued.req));
    });
    signal?.addEventListener("abort", onAbort);
    this.#queue.push(waiter);
    this.#pump(clock.now());
    return promise;
  }

  #tooLate(req: SteeringRequest): Result<never, Failure> {
    const waitMs = this.#expectedWait(req.account, this.#deps.clock.now());
    const message = `service ${req.service} had no room before the deadline`;
    return fail("deadline_exceeded", message, {
      outcome: "not-run",
      retryAfterMs: retryAfter(waitMs),
    });
  }

  #pump(now: number): void {
    this.#full = false;
    while (this.#queue.size > 0 && !this.#full) {
      let slot: Slot | undefined;
      const waiter = this.#queue.serve((w) => {
        slot = this.#take(w.req, w.long, now);
        if (slot !== undefined) return "started";
        return this.#full ? "full" : "later";
      });
      if (waiter === undefined || slot === undefined) return;
      waiter.settle(ok(slot));
    }
    if (this.#queue.size === 0) this.#emptyAt = now;
  }

  #take(req: SteeringRequest, long: boolean, now: number): Slot | undefined {
    if (long && !this.#long.mayRun(this.#slots.capacity(now), now)) {
      return undefined;
    }
    const slot = this.#slots.take(req, now);
    if (slot === undefined) {
      if (req.exclude === undefined || req.exclude.size === 0) {
        this.#full = true;
      }
      return undefined;
    }
    return long ? this.#long.count(slot) : slot;
  }

  #refuseAll(): void {
    for (const waiter of this.#queue.waiters()) {
      waiter.settle(noEndpoint(waiter.req.service));
    }
  }
}

function withResolvers<T>(): {
  promise: Promise<T>;
  resolve: (value: T) => void;
} {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>((r) => resolve = r);
  return { promise, resolve };
}
