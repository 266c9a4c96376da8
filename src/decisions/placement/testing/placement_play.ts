/**
 * Plays a load against a placement without a network: instances that know of
 * each other late, endpoints with slots, a queue and a memory for objects, and
 * callers in several regions whose objects are their region's own.
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
import { type BoundDemand, NOTHING_BOUND } from "../bound_demand.ts";
import type { Placement } from "../placement.ts";

/** What is played. */
export interface PlayOptions {
  readonly placement: () => Placement;
  /** Endpoints in each region, by region. */
  readonly endpoints: Readonly<Record<string, number>>;
  readonly slots: number;
  /** Objects that an endpoint remembers. */
  readonly remembers: number;
  /** Objects of each region. */
  readonly objects: number;
  /** Work on an object that is not remembered, in milliseconds. */
  readonly workMs: number;
  /** Part of the work that remains when it is. */
  readonly warmPart: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
  /** Requests a second of a region at a time, in milliseconds. */
  readonly perS: (region: string, now: number) => number;
  /** Objects that may be served in one region only, as a part of all. */
  readonly bound?: {
    readonly region: string;
    readonly part: number;
    /** Whether instances know of it. */
    readonly known: boolean;
  };
  readonly forMs: number;
  /** What came before this is not counted, in milliseconds. */
  readonly countFromMs?: number;
  /** An endpoint that ends at a time. */
  readonly loses?: { readonly at: number; readonly endpoint: string };
  readonly seed?: number;
}

/** What callers got. */
export interface PlayResult {
  readonly asked: number;
  readonly inAim: number;
  readonly late: number;
  readonly refused: number;
  /** Part of the requests that ran in another region than the caller's. */
  readonly abroad: number;
  /** Part of the runs on an object that was not remembered. */
  readonly firstVisits: number;
}

const INSTANCES_PER_REGION = 4;
const STEP_MS = 1;
/** How often instances tell each other what they have in flight. */
const TELL_MS = 250;
const IN_REGION_MS = 1;
const BETWEEN_REGIONS_MS = 12;
const CALLER_MS = 8;
/** An endpoint's queue, in rounds of its slots. */
const QUEUE_ROUNDS = 3;
const SPREAD = 0.15;
const LEAST_RETRY_MS = 50;

interface Job {
  readonly object: string;
  readonly region: string;
  readonly sentAt: number;
  readonly instance: Instance;
  readonly row: EndpointRow;
  readonly wayMs: number;
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
  readonly memory = new Map<string, true>();
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
  /** The rows as one array, the same until they change. */
  known: readonly EndpointRow[] = [];
  /** Those that bound objects may go to. */
  bound: readonly EndpointRow[] = [];
  usualMs = 200;

  constructor(region: string, placement: Placement) {
    this.region = region;
    this.placement = placement;
  }
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Plays and counts. */
export function play(opts: PlayOptions): PlayResult {
  return new Play(opts).run();
}

class Play {
  readonly #opts: PlayOptions;
  readonly #random: SeededRandom;
  readonly #endpoints: Endpoint[] = [];
  readonly #instances: Instance[] = [];
  readonly #events = new Map<number, Event[]>();
  #now = 0;
  #asked = 0;
  #inAim = 0;
  #late = 0;
  #refused = 0;
  #abroad = 0;
  #runs = 0;
  #firstVisits = 0;
  /** What instances know of bound work. */
  readonly #bound: BoundDemand;

  constructor(opts: PlayOptions) {
    this.#opts = opts;
    const { bound } = opts;
    this.#bound = bound?.known
      ? new Map([[bound.region as RegionId, bound.part]])
      : NOTHING_BOUND;
    this.#random = new SeededRandom(opts.seed ?? 1);
    for (const [region, count] of Object.entries(opts.endpoints)) {
      for (let i = 0; i < count; i++) {
        this.#endpoints.push(new Endpoint(`e-${region}-${i}`, region));
      }
      for (let i = 0; i < INSTANCES_PER_REGION; i++) {
        this.#instances.push(new Instance(region, opts.placement()));
      }
    }
    for (const instance of this.#instances) this.#know(instance);
  }

  run(): PlayResult {
    const { forMs, deadlineMs } = this.#opts;
    for (; this.#now < forMs + deadlineMs; this.#now += STEP_MS) {
      for (const event of this.#events.get(this.#now) ?? []) event.run();
      this.#events.delete(this.#now);
      if (this.#now % TELL_MS === 0) this.#tell();
      this.#lose();
      if (this.#now < forMs) this.#arrive();
      for (const endpoint of this.#endpoints) this.#work(endpoint);
    }
    const runs = Math.max(1, this.#runs);
    return {
      asked: this.#asked,
      inAim: this.#inAim / this.#asked,
      late: this.#late / this.#asked,
      refused: this.#refused / this.#asked,
      abroad: this.#abroad / runs,
      firstVisits: this.#firstVisits / runs,
    };
  }

  #know(instance: Instance): void {
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
    this.#knowRows(instance);
  }

  #knowRows(instance: Instance): void {
    instance.known = [...instance.rows.values()];
    const { bound } = this.#opts;
    instance.bound = instance.known.filter((r) => r.region === bound?.region);
  }

  #isBound(object: string): boolean {
    const { bound, objects } = this.#opts;
    const number = Number(object.slice(object.indexOf("-") + 1));
    return number < objects * (bound?.part ?? 0);
  }

  #lose(): void {
    const { loses } = this.#opts;
    if (loses === undefined || loses.at !== this.#now) return;
    for (const endpoint of this.#endpoints) {
      if (endpoint.id !== loses.endpoint) continue;
      endpoint.gone = true;
      for (const instance of this.#instances) {
        instance.rows.delete(endpoint.id);
        this.#knowRows(instance);
      }
    }
  }

  #arrive(): void {
    for (const region of Object.keys(this.#opts.endpoints)) {
      const mean = this.#opts.perS(region, this.#now) * STEP_MS / 1_000;
      const whole = Math.floor(mean);
      const count = whole + (this.#random.next() < mean - whole ? 1 : 0);
      for (let i = 0; i < count; i++) {
        const object = `${region}-${this.#random.below(this.#opts.objects)}`;
        if (this.#counts) this.#asked++;
        this.#ask(region, object, this.#now, false);
      }
    }
  }

  get #counts(): boolean {
    return this.#now >= (this.#opts.countFromMs ?? 0);
  }

  #ask(region: string, object: string, sentAt: number, retried: boolean): void {
    const near = this.#instances.filter((i) => i.region === region);
    const instance = near[this.#random.below(near.length)];
    if (instance === undefined) return;
    const isBound = this.#isBound(object);
    const rows = isBound ? instance.bound : instance.known;
    const placed = instance.placement.choose(rows, {
      affinityKey: object,
      region: region as RegionId,
      regions: Object.keys(this.#opts.endpoints) as RegionId[],
      bound: isBound ? NOTHING_BOUND : this.#bound,
      usable: () => true,
      usualMs: instance.usualMs,
      rank: 2,
    });
    if (placed.endpoint === undefined) {
      const waitMs = Math.max(LEAST_RETRY_MS, placed.waitMs);
      this.#refuse(region, object, sentAt, retried, waitMs);
      return;
    }
    const row = placed.endpoint;
    row.inFlight++;
    const wayMs = row.region === region ? IN_REGION_MS : BETWEEN_REGIONS_MS;
    const job = { object, region, sentAt, instance, row, wayMs, retried };
    this.#after(wayMs, () => this.#reach(job));
  }

  #refuse(
    region: string,
    object: string,
    sentAt: number,
    retried: boolean,
    retryAfterMs: number,
  ): void {
    if (retried) {
      if (sentAt >= (this.#opts.countFromMs ?? 0)) this.#refused++;
      return;
    }
    const waitMs = Math.round(retryAfterMs) + 2 * CALLER_MS;
    this.#after(waitMs, () => this.#ask(region, object, sentAt, true));
  }

  #reach(job: Job): void {
    const endpoint = this.#endpoints.find((e) => e.id === job.row.id);
    if (endpoint === undefined) return;
    const most = this.#opts.slots * QUEUE_ROUNDS;
    if (endpoint.gone || endpoint.queue.length >= most) {
      this.#after(job.wayMs, () => {
        job.row.inFlight--;
        const { region, object, sentAt, retried } = job;
        this.#refuse(region, object, sentAt, retried, 200);
      });
      return;
    }
    endpoint.queue.push(job);
  }

  #work(endpoint: Endpoint): void {
    for (
      const [i, { job, endsAt }] of [...endpoint.running.entries()].reverse()
    ) {
      if (endsAt > this.#now) continue;
      endpoint.running.splice(i, 1);
      remember(endpoint.memory, job.object, this.#opts.remembers);
      this.#after(job.wayMs, () => {
        job.row.inFlight--;
        this.#answered(job);
      });
    }
    while (
      endpoint.queue.length > 0 && endpoint.running.length < this.#opts.slots
    ) {
      const job = endpoint.queue.shift();
      if (job !== undefined) this.#begin(endpoint, job);
    }
  }

  #begin(endpoint: Endpoint, job: Job): void {
    const known = endpoint.memory.has(job.object);
    const spread = 1 + SPREAD * (this.#random.next() * 2 - 1) * 1.7;
    const part = known ? this.#opts.warmPart : 1;
    const ms = this.#opts.workMs * part * spread;
    endpoint.running.push({ job, endsAt: this.#now + Math.round(ms) });
    if (!this.#counts) return;
    this.#runs++;
    if (!known) this.#firstVisits++;
    if (endpoint.region !== job.region) this.#abroad++;
  }

  #answered(job: Job): void {
    const tookMs = this.#now - job.sentAt;
    job.instance.usualMs += (tookMs - job.instance.usualMs) * 0.03;
    if (job.sentAt < (this.#opts.countFromMs ?? 0)) return;
    const callerMs = tookMs + 2 * CALLER_MS;
    if (callerMs > this.#opts.deadlineMs) this.#refused++;
    else if (callerMs <= this.#opts.aimMs) this.#inAim++;
    else this.#late++;
  }

  #tell(): void {
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

  #after(ms: number, run: () => void): void {
    const at = this.#now + Math.max(1, Math.ceil(ms));
    const list = this.#events.get(at);
    if (list === undefined) this.#events.set(at, [{ at, run }]);
    else list.push({ at, run });
  }
}

function remember(
  memory: Map<string, true>,
  object: string,
  most: number,
): void {
  memory.delete(object);
  memory.set(object, true);
  if (memory.size <= most) return;
  const [oldest] = memory.keys();
  if (oldest !== undefined) memory.delete(oldest);
}
