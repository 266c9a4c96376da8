/**
 * Simulates load on a placement without a network: instances that gossip their
 * requests in flight, endpoints with slots, a queue and an LRU cache of objects,
 * and callers in several regions, each region with objects of its own.
 *
 * @module
 */
import {
  type EndpointId,
  hash,
  type RegionId,
  SeededRandom,
  type ServiceId,
  type ZoneId,
} from "../../../core/mod.ts";
import { EndpointRow } from "../../../traffic/mod.ts";
import { NOTHING_PINNED, type PinnedDemand } from "../pinned_demand.ts";
import { EndpointBackoff } from "../endpoint_backoff.ts";
import type { Placement } from "../placement.ts";

/** Parameters of a simulation. */
export interface SimulationOptions {
  readonly placement: () => Placement;
  /** Number of endpoints by region. */
  readonly endpoints: Readonly<Record<string, number>>;
  readonly slots: number;
  /** Maximum of objects in an endpoint's cache. */
  readonly cacheSize: number;
  /** Number of objects of each region. */
  readonly objects: number;
  /** Duration of a request on a cache miss, in milliseconds. */
  readonly workMs: number;
  /** Duration of a request on a cache hit, as a share of `workMs`. */
  readonly hitShare: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** A region's requests per second at a time in milliseconds. */
  readonly requestsPerS: (region: string, now: number) => number;
  /** Objects pinned to a region, as a share of every region's objects. */
  readonly pinned?: {
    readonly region: string;
    readonly part: number;
    /** Whether placement takes the pinned demand into account. */
    readonly known: boolean;
  };
  readonly durationMs: number;
  /** Requests sent before this time are not counted, in milliseconds. */
  readonly measureFromMs?: number;
  /** An endpoint that is removed, and when. */
  readonly removal?: { readonly at: number; readonly endpoint: string };
  /** Endpoints with less capacity for a while, which shed with Retry-After. */
  readonly overload?: {
    readonly endpoints: readonly string[];
    readonly from: number;
    readonly to: number;
    readonly slots: number;
    readonly retryAfterMs: number;
  };
  /** Whether instances ignore Retry-After. */
  readonly ignoreRetryAfter?: boolean;
  readonly seed?: number;
}

/** Results, as shares of the counted requests or of the runs at endpoints. */
export interface SimulationResult {
  readonly requests: number;
  readonly withinTarget: number;
  readonly late: number;
  readonly refused: number;
  /** Share of runs in another region than the caller's. */
  readonly crossRegion: number;
  /** Share of runs on an object that was not in the cache. */
  readonly cacheMisses: number;
  /** Sheds by endpoints, per request. */
  readonly sheds: number;
}

const INSTANCES_PER_REGION = 4;
const STEP_MS = 1;
const GOSSIP_INTERVAL_MS = 250;
const INTRA_REGION_MS = 1;
const INTER_REGION_MS = 12;
const CALLER_LINK_MS = 8;
/** Capacity of an endpoint's queue, as a multiple of its slots. */
const QUEUE_FACTOR = 3;
const WORK_JITTER = 0.15;
const MIN_RETRY_MS = 50;
/** When callers retry after a shed, and after one of an overloaded endpoint. */
const SHED_RETRY_MS = 200;
const OVERLOAD_RETRY_MS = 20;

interface Job {
  readonly object: string;
  readonly region: string;
  readonly sentAt: number;
  readonly instance: Instance;
  readonly row: EndpointRow;
  readonly linkMs: number;
  retried: boolean;
}

interface Running {
  readonly job: Job;
  readonly endsAt: number;
}

class Endpoint {
  readonly id: EndpointId;
  readonly region: string;
  readonly running: Running[] = [];
  readonly queue: Job[] = [];
  readonly cache = new Map<string, true>();
  gone = false;

  constructor(id: string, region: string) {
    this.id = id as EndpointId;
    this.region = region;
  }
}

class Instance {
  readonly region: string;
  readonly placement: Placement;
  readonly rows = new Map<EndpointId, EndpointRow>();
  readonly backoff = new EndpointBackoff();
  /** The rows as one array, replaced only when they change. */
  known: readonly EndpointRow[] = [];
  /** The endpoints that pinned objects may be sent to. */
  pinned: readonly EndpointRow[] = [];
  meanLatencyMs = 200;

  constructor(region: string, placement: Placement) {
    this.region = region;
    this.placement = placement;
  }
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

export function simulate(opts: SimulationOptions): SimulationResult {
  return new Simulation(opts).run();
}

class Simulation {
  readonly #opts: SimulationOptions;
  readonly #random: SeededRandom;
  readonly #endpoints: Endpoint[] = [];
  readonly #instances: Instance[] = [];
  readonly #events = new Map<number, Event[]>();
  #now = 0;
  #requests = 0;
  #withinTarget = 0;
  #late = 0;
  #refused = 0;
  #crossRegion = 0;
  #runs = 0;
  #cacheMisses = 0;
  #sheds = 0;
  /** The pinned demand passed to placement. */
  readonly #pinned: PinnedDemand;

  constructor(opts: SimulationOptions) {
    this.#opts = opts;
    const { pinned } = opts;
    this.#pinned = pinned?.known
      ? new Map([[pinned.region as RegionId, pinned.part]])
      : NOTHING_PINNED;
    this.#random = new SeededRandom(opts.seed ?? 1);
    for (const [region, count] of Object.entries(opts.endpoints)) {
      for (let i = 0; i < count; i++) {
        this.#endpoints.push(new Endpoint(`e-${region}-${i}`, region));
      }
      for (let i = 0; i < INSTANCES_PER_REGION; i++) {
        this.#instances.push(new Instance(region, opts.placement()));
      }
    }
    for (const instance of this.#instances) this.#addRows(instance);
  }

  run(): SimulationResult {
    const { durationMs, deadlineMs } = this.#opts;
    for (; this.#now < durationMs + deadlineMs; this.#now += STEP_MS) {
      for (const event of this.#events.get(this.#now) ?? []) event.run();
      this.#events.delete(this.#now);
      if (this.#now % GOSSIP_INTERVAL_MS === 0) this.#gossip();
      this.#removeEndpoint();
      if (this.#now < durationMs) this.#generateRequests();
      for (const endpoint of this.#endpoints) this.#process(endpoint);
    }
    const runs = Math.max(1, this.#runs);
    return {
      requests: this.#requests,
      withinTarget: this.#withinTarget / this.#requests,
      late: this.#late / this.#requests,
      refused: this.#refused / this.#requests,
      crossRegion: this.#crossRegion / runs,
      cacheMisses: this.#cacheMisses / runs,
      sheds: this.#sheds / this.#requests,
    };
  }

  #addRows(instance: Instance): void {
    for (const { id, region } of this.#endpoints) {
      const record = {
        id,
        service: "s" as ServiceId,
        address: "",
        zone: region as ZoneId,
        slots: this.#opts.slots,
        draining: false,
        coldMs: 0,
        bornAt: undefined,
      };
      const opts = { seed: hash(id), now: 0 };
      const row = new EndpointRow(record, region as RegionId, opts);
      instance.rows.set(id, row);
    }
    this.#refreshRows(instance);
  }

  #refreshRows(instance: Instance): void {
    instance.known = [...instance.rows.values()];
    const { pinned } = this.#opts;
    instance.pinned = instance.known.filter((r) => r.region === pinned?.region);
  }

  #isPinned(object: string): boolean {
    const { pinned, objects } = this.#opts;
    const number = Number(object.slice(object.indexOf("-") + 1));
    return number < objects * (pinned?.part ?? 0);
  }

  #removeEndpoint(): void {
    const { removal } = this.#opts;
    if (removal === undefined || removal.at !== this.#now) return;
    for (const endpoint of this.#endpoints) {
      if (endpoint.id !== removal.endpoint) continue;
      endpoint.gone = true;
      for (const instance of this.#instances) {
        instance.rows.delete(endpoint.id);
        this.#refreshRows(instance);
      }
    }
  }

  #generateRequests(): void {
    for (const region of Object.keys(this.#opts.endpoints)) {
      const mean = this.#opts.requestsPerS(region, this.#now) * STEP_MS / 1_000;
      const whole = Math.floor(mean);
      const count = whole + (this.#random.next() < mean - whole ? 1 : 0);
      for (let i = 0; i < count; i++) {
        const object = `${region}-${this.#random.below(this.#opts.objects)}`;
        if (this.#isMeasured) this.#requests++;
        this.#send(region, object, this.#now, false);
      }
    }
  }

  get #isMeasured(): boolean {
    return this.#now >= (this.#opts.measureFromMs ?? 0);
  }

  #send(
    region: string,
    object: string,
    sentAt: number,
    retried: boolean,
  ): void {
    const regional = this.#instances.filter((i) => i.region === region);
    const instance = regional[this.#random.below(regional.length)];
    if (instance === undefined) return;
    const isPinned = this.#isPinned(object);
    const rows = isPinned ? instance.pinned : instance.known;
    const placed = instance.placement.choose(rows, {
      affinityKey: object,
      region: region as RegionId,
      regions: Object.keys(this.#opts.endpoints) as RegionId[],
      pinned: isPinned ? NOTHING_PINNED : this.#pinned,
      usable: (row) =>
        this.#opts.ignoreRetryAfter === true ||
        instance.backoff.leftMs(row, this.#now) === 0,
      meanLatencyMs: instance.meanLatencyMs,
      priority: 2,
    });
    if (placed.endpoint === undefined) {
      const waitMs = Math.max(MIN_RETRY_MS, placed.waitMs);
      this.#retryOrRefuse(region, object, sentAt, retried, waitMs);
      return;
    }
    const row = placed.endpoint;
    row.inFlight++;
    const linkMs = row.region === region ? INTRA_REGION_MS : INTER_REGION_MS;
    const job = { object, region, sentAt, instance, row, linkMs, retried };
    this.#schedule(linkMs, () => this.#enqueue(job));
  }

  #retryOrRefuse(
    region: string,
    object: string,
    sentAt: number,
    retried: boolean,
    retryAfterMs: number,
  ): void {
    if (retried) {
      if (sentAt >= (this.#opts.measureFromMs ?? 0)) this.#refused++;
      return;
    }
    const waitMs = Math.round(retryAfterMs) + 2 * CALLER_LINK_MS;
    this.#schedule(waitMs, () => this.#send(region, object, sentAt, true));
  }

  #enqueue(job: Job): void {
    const endpoint = this.#endpoints.find((e) => e.id === job.row.id);
    if (endpoint === undefined) return;
    const capacity = this.#opts.slots * QUEUE_FACTOR;
    const overload = this.#overloadOf(endpoint);
    const isFull = endpoint.queue.length >= (overload?.slots ?? capacity);
    if (endpoint.gone || isFull) {
      if (this.#isMeasured) this.#sheds++;
      this.#schedule(job.linkMs, () => {
        job.row.inFlight--;
        const { region, object, sentAt, retried, instance, row } = job;
        if (overload !== undefined) {
          instance.backoff.start(row, overload.retryAfterMs, this.#now);
        }
        const waitMs = overload === undefined
          ? SHED_RETRY_MS
          : OVERLOAD_RETRY_MS;
        this.#retryOrRefuse(region, object, sentAt, retried, waitMs);
      });
      return;
    }
    endpoint.queue.push(job);
  }

  #overloadOf({ id }: Endpoint): SimulationOptions["overload"] {
    const { overload } = this.#opts;
    if (overload === undefined || !overload.endpoints.includes(id)) return;
    const { from, to } = overload;
    return this.#now >= from && this.#now < to ? overload : undefined;
  }

  #process(endpoint: Endpoint): void {
    for (
      const [i, { job, endsAt }] of [...endpoint.running.entries()].reverse()
    ) {
      if (endsAt > this.#now) continue;
      endpoint.running.splice(i, 1);
      cacheObject(endpoint.cache, job.object, this.#opts.cacheSize);
      this.#schedule(job.linkMs, () => {
        job.row.inFlight--;
        this.#complete(job);
      });
    }
    while (
      endpoint.queue.length > 0 &&
      endpoint.running.length <
        (this.#overloadOf(endpoint)?.slots ?? this.#opts.slots)
    ) {
      const job = endpoint.queue.shift();
      if (job !== undefined) this.#start(endpoint, job);
    }
  }

  #start(endpoint: Endpoint, job: Job): void {
    const known = endpoint.cache.has(job.object);
    const jitter = 1 + WORK_JITTER * (this.#random.next() * 2 - 1) * 1.7;
    const part = known ? this.#opts.hitShare : 1;
    const ms = this.#opts.workMs * part * jitter;
    endpoint.running.push({ job, endsAt: this.#now + Math.round(ms) });
    if (!this.#isMeasured) return;
    this.#runs++;
    if (!known) this.#cacheMisses++;
    if (endpoint.region !== job.region) this.#crossRegion++;
  }

  #complete(job: Job): void {
    const tookMs = this.#now - job.sentAt;
    job.instance.meanLatencyMs += (tookMs - job.instance.meanLatencyMs) * 0.03;
    if (job.sentAt < (this.#opts.measureFromMs ?? 0)) return;
    const callerMs = tookMs + 2 * CALLER_LINK_MS;
    if (callerMs > this.#opts.deadlineMs) this.#refused++;
    else if (callerMs <= this.#opts.targetMs) this.#withinTarget++;
    else this.#late++;
  }

  #gossip(): void {
    for (const instance of this.#instances) {
      for (const row of instance.rows.values()) {
        let sum = 0;
        for (const other of this.#instances) {
          if (other === instance) continue;
          sum += other.rows.get(row.id)?.inFlight ?? 0;
        }
        row.peersInFlight = sum;
      }
    }
  }

  #schedule(ms: number, run: () => void): void {
    const at = this.#now + Math.max(1, Math.ceil(ms));
    const list = this.#events.get(at);
    if (list === undefined) this.#events.set(at, [{ at, run }]);
    else list.push({ at, run });
  }
}

function cacheObject(
  cache: Map<string, true>,
  object: string,
  capacity: number,
): void {
  cache.delete(object);
  cache.set(object, true);
  if (cache.size <= capacity) return;
  const [oldest] = cache.keys();
  if (oldest !== undefined) cache.delete(oldest);
}
