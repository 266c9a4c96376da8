/**
 * Admission control and queueing for one service.
 *
 * Handles bursts and saturation. Without a queue, a burst that a short wait
 * could serve is refused; with an unbounded one, every request waits until its
 * deadline, and slots are full without goodput. So a request is queued only if
 * it can still complete in time, and is otherwise refused at once with the time
 * after which to retry.
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
import { LongRequestLimiter } from "./long_request_limiter.ts";
import {
  cancelled,
  NO_SLOT_RETRY_MS,
  noCapacity,
  noEndpoint,
  toRetryDelayMs,
} from "./refusals.ts";
import type { SlotLimits } from "./slot_limits.ts";
import { SlotTable } from "./slot_table.ts";
import { DurationEstimator } from "./duration_estimator.ts";

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

/** A queue not empty for this long is a standing queue and not a burst. */
const STANDING_QUEUE_MS = 500;
/** Longest wait in a standing queue, as a multiple of the typical duration. */
const STANDING_QUEUE_WAIT_RATIO = 1;
const MIN_STANDING_QUEUE_WAIT_MS = 20;

/** The queue and slots of one service at one instance. */
export class ServicePool {
  readonly #deps: ServicePoolDeps;
  readonly #durations = new DurationEstimator();
  readonly #queue: FairQueue<QueuedRequest>;
  readonly #slots: SlotTable;
  readonly #longRequests = new LongRequestLimiter();
  #queueLimit = 0;
  #unservedSinceTick = 0;
  #isFull = false;
  #lastEmptyAt = -Infinity;

  constructor(deps: ServicePoolDeps) {
    this.#deps = deps;
    this.#queue = new FairQueue(deps.weightOf);
    this.#slots = new SlotTable({
      ...deps,
      durations: this.#durations,
      onFree: (now) => this.#serveQueue(now),
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

  /** Free slots beyond those that queued requests will take. */
  free(now: number): number {
    return Math.max(0, this.#slots.free(now) - this.#queue.size);
  }

  /** Applies the endpoints and queue limit of a newly accepted document. */
  adopt(
    rows: readonly EndpointRow[],
    queueLimit: number,
    now: number,
  ): void {
    this.#slots.rows = rows;
    this.#queueLimit = queueLimit;
    this.#slots.refresh(now, this.#queue.size);
    if (!this.#hasOpenEndpoint()) this.#refuseAll();
    this.#serveQueue(now);
  }

  tick(now: number): void {
    this.#durations.evictIdle(now);
    this.#queue.pruneFinishTags();
    this.#slots.refresh(now, this.#queue.size + this.#unservedSinceTick);
    this.#unservedSinceTick = 0;
    this.#serveQueue(now);
  }

  /** Reserves a slot if one is free that no queued request can take. */
  tryAcquire(req: SteeringRequest, now: number): Slot | undefined {
    this.#serveQueue(now);
    if (this.#isFull) return undefined;
    const { cost, long } = this.#classify(req, now);
    const slot = this.#takeSlot(req, long, now);
    if (slot !== undefined) this.#queue.charge(req.account, cost);
    return slot;
  }

  /** Estimated milliseconds until a request would get a slot here. */
  expectedWaitMs(req: SteeringRequest, now: number): number {
    if (!this.#hasOpenEndpoint(req.exclude)) return Infinity;
    return this.#expectedWaitMs(req.account, now);
  }

  acquire(
    req: SteeringRequest,
    signal?: AbortSignal,
  ): Promise<Result<Slot, Failure>> {
    if (signal?.aborted) return Promise.resolve(cancelled());
    const now = this.#deps.clock.now();
    const slot = this.tryAcquire(req, now);
    if (slot !== undefined) return Promise.resolve(ok(slot));
    const { cost, long } = this.#classify(req, now);
    const refused = this.#refusal(req, cost, now);
    if (refused !== undefined) {
      this.#unservedSinceTick += 1;
      return Promise.resolve(refused);
    }
    return this.#enqueue({ account: req.account, cost, req, long }, signal);
  }

  #classify(
    req: SteeringRequest,
    now: number,
  ): { cost: number; long: boolean } {
    const cost = this.#durations.expectedMs(req.account, req.work ?? "");
    const long = this.#longRequests.isLong(
      cost,
      this.#durations.typicalMs,
      now,
    );
    return { cost, long };
  }

  /** Whether any endpoint is neither draining nor excluded. */
  #hasOpenEndpoint(exclude?: ReadonlySet<EndpointId>): boolean {
    return this.rows.some((r) =>
      r.drainingSince === undefined && !exclude?.has(r.id)
    );
  }

  /** The refusal of a request that may not be queued; undefined if it may. */
  #refusal(
    req: SteeringRequest,
    cost: number,
    now: number,
  ): Result<never, Failure> | undefined {
    if (!this.#hasOpenEndpoint(req.exclude)) return noEndpoint(req.service);
    const waitMs = this.#expectedWaitMs(req.account, now);
    if (!Number.isFinite(waitMs)) {
      return noCapacity(req.service, "no usable slot", NO_SLOT_RETRY_MS);
    }
    const late = now + waitMs + this.#upperBoundMs(req) - req.deadline;
    if (late > 0) return noCapacity(req.service, "wait too long", late);
    const over = waitMs - this.#maxWaitMs(now);
    if (over > 0) return noCapacity(req.service, "standing queue", over);
    if (this.#queue.size < this.#queueLimit) return undefined;
    const victim = this.#queue.victimFor(req.account);
    if (victim === undefined) {
      return noCapacity(req.service, "queue full", waitMs + cost);
    }
    this.#unservedSinceTick += 1;
    victim.settle(noCapacity(req.service, "queue full", waitMs + cost));
    return undefined;
  }

  /**
   * After a burst, requests may wait up to their deadline. A standing queue
   * only adds latency, so its length is limited to what keeps the slots busy.
   */
  #maxWaitMs(now: number): number {
    if (now - this.#lastEmptyAt <= STANDING_QUEUE_MS) return Infinity;
    return Math.max(
      MIN_STANDING_QUEUE_WAIT_MS,
      STANDING_QUEUE_WAIT_RATIO * this.#durations.typicalMs,
    );
  }

  /** Estimated milliseconds until a new request would get a slot. */
  #expectedWaitMs(account: AccountId, now: number): number {
    const capacity = this.#slots.capacity(now);
    const ahead = this.#queue.costAhead(account) + this.#durations.typicalMs;
    if (capacity > 0) return ahead / capacity;
    return this.#slots.unblockedAt(now) - now + ahead;
  }

  #upperBoundMs(req: SteeringRequest): number {
    return this.#durations.within(req.account, req.work ?? "");
  }

  #enqueue(
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
    // A request that starts later than this cannot complete in time.
    const latestStartAt = queued.req.deadline - this.#upperBoundMs(queued.req);
    const timer = clock.after(Math.max(0, latestStartAt - clock.now()), () => {
      this.#unservedSinceTick += 1;
      waiter.settle(this.#deadlineExceeded(queued.req));
    });
    signal?.addEventListener("abort", onAbort);
    this.#queue.push(waiter);
    this.#serveQueue(clock.now());
    return promise;
  }

  #deadlineExceeded(req: SteeringRequest): Result<never, Failure> {
    const waitMs = this.#expectedWaitMs(req.account, this.#deps.clock.now());
    const message =
      `service ${req.service} had no free slot before the deadline`;
    return fail("deadline_exceeded", message, {
      outcome: "not-run",
      retryAfterMs: toRetryDelayMs(waitMs),
    });
  }

  #serveQueue(now: number): void {
    this.#isFull = false;
    while (this.#queue.size > 0 && !this.#isFull) {
      let slot: Slot | undefined;
      const waiter = this.#queue.startNext((w) => {
        slot = this.#takeSlot(w.req, w.long, now);
        if (slot !== undefined) return "started";
        return this.#isFull ? "full" : "later";
      });
      if (waiter === undefined || slot === undefined) return;
      waiter.settle(ok(slot));
    }
    if (this.#queue.size === 0) this.#lastEmptyAt = now;
  }

  #takeSlot(
    req: SteeringRequest,
    long: boolean,
    now: number,
  ): Slot | undefined {
    if (long && !this.#longRequests.mayStart(this.#slots.capacity(now), now)) {
      return undefined;
    }
    const slot = this.#slots.take(req, now);
    if (slot === undefined) {
      if (req.exclude === undefined || req.exclude.size === 0) {
        this.#isFull = true;
      }
      return undefined;
    }
    return long ? this.#longRequests.count(slot) : slot;
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
