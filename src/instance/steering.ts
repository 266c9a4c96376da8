/**
 * Wires the load-balancing components of one instance together.
 *
 * @module
 */
import {
  type Clock,
  type Log,
  type Metrics,
  type Random,
  type ServiceId,
  sleep,
} from "../core/mod.ts";
import {
  CapacityGrants,
  ForwardedAdmission,
  LinkBudgets,
  RegionDispatcher,
  RemoteCapacityTable,
} from "../decisions/regions/mod.ts";
import { DrainSet, DrainTracker } from "../decisions/drains/mod.ts";
import { type EntryChoice, EntryChooser } from "../decisions/lookup/mod.ts";
import { LinkChecker, type LinkTarget } from "../decisions/links/mod.ts";
import { RetryPolicy } from "../decisions/retries/mod.ts";
import {
  connectionShare,
  FairDispatcher,
  ProbeSchedule,
  type SlotLimits,
} from "../decisions/steering/mod.ts";
import {
  type DrainEntry,
  type SteeringDocument,
  zonesOf,
} from "../document/mod.ts";
import { type EndpointClient, Prober } from "../endpoints/mod.ts";
import type { Roster, SeatDirectory } from "../membership/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { LoadExchange } from "./load_exchange.ts";

/** Dependencies of {@link Steering}. */
export interface SteeringDeps {
  readonly cfg: Settings;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly endpoints: EndpointClient;
  readonly roster: Roster;
  readonly seats: SeatDirectory;
  readonly limits: SlotLimits;
  readonly document: () => SteeringDocument;
  readonly leaving: () => boolean;
  /** Callers' requests in flight. */
  readonly running: () => number;
}

const IDLE_POLL_MS = 20;
/** Time in which an endpoint answers a probe of the link, in milliseconds. */
const LINK_PROBE_TIMEOUT_MS = 500;

/** The load-balancing components of one instance. */
export class Steering {
  readonly #deps: SteeringDeps;
  readonly local: FairDispatcher;
  readonly dispatcher: RegionDispatcher;
  readonly forwardedAdmission: ForwardedAdmission;
  readonly links: LinkBudgets;
  readonly loadExchange: LoadExchange;
  readonly prober: Prober;
  readonly linkChecker: LinkChecker<LinkTarget>;
  readonly retries: RetryPolicy;
  readonly entries: EntryChooser;
  readonly drains: DrainTracker;
  readonly #remoteCapacity = new RemoteCapacityTable();
  #drained: DrainSet | undefined;

  constructor(deps: SteeringDeps) {
    this.#deps = deps;
    const { zone, region } = deps.cfg.instance;
    const remoteCapacity = this.#remoteCapacity;
    const grants = new CapacityGrants();
    this.local = new FairDispatcher({ ...deps, zone });
    this.links = new LinkBudgets({
      region,
      part: (now) => this.#heldSeatShare(now),
    });
    this.dispatcher = new RegionDispatcher({
      ...deps,
      zone,
      region,
      local: this.local,
      remoteCapacity,
      links: this.links,
      reachesEndpoints: () => this.#reachesEndpoints,
    });
    this.forwardedAdmission = new ForwardedAdmission({
      region,
      local: this.local,
      grants,
      links: this.links,
      document: deps.document,
      closed: () => this.closed || !this.#reachesEndpoints,
    });
    this.prober = this.#makeProber();
    this.linkChecker = this.#makeLinkChecker();
    this.entries = new EntryChooser(deps.random);
    this.drains = new DrainTracker({
      metrics: deps.metrics,
      running: (drain) => this.#inFlightAt(drain),
    });
    this.retries = new RetryPolicy(deps.random);
    this.loadExchange = new LoadExchange({
      clock: deps.clock,
      zone,
      region,
      prober: this.prober,
      grants,
      forwardedAdmission: this.forwardedAdmission,
      remoteCapacity,
      links: this.links,
      dispatcher: this.dispatcher,
      services: () => Object.keys(deps.document().services) as ServiceId[],
      load: () => this.load,
    });
  }

  /** Whether this instance accepts no more requests: it is leaving or drained. */
  get closed(): boolean {
    return this.#deps.leaving() || this.drained;
  }

  /** Whether the document marks this instance as drained. */
  get drained(): boolean {
    return this.#drained?.instance(this.#deps.cfg.instance.id) ?? false;
  }

  /** Requests in flight or waiting, divided by the slot capacity. */
  get load(): number {
    const loads = this.local.load(this.#deps.clock.now());
    const busy = loads.reduce((n, l) => n + l.inFlight + l.waiting, 0);
    const capacity = loads.reduce((n, l) => n + l.capacity, 0);
    return busy / Math.max(1, capacity);
  }

  adopt(document: SteeringDocument, now: number): void {
    this.#drained = new DrainSet(document);
    this.dispatcher.adopt(document, now);
    this.drains.adopt(document, now);
    this.retries.retain(new Set(Object.keys(document.services)));
  }

  tick(now: number): void {
    this.dispatcher.tick(now);
    this.loadExchange.tick(now);
    this.prober.tick(now);
    this.linkChecker.tick();
    this.drains.tick(now);
    this.#observeLoads(now);
  }

  /** Entries that are not drained, or all entries if every one is. */
  eligibleEntries(entries: readonly EntryChoice[]): readonly EntryChoice[] {
    const undrained = entries.filter(({ instance, zone }) =>
      !this.#drained?.instance(instance) && !this.#drained?.zone(zone)
    );
    return undrained.length > 0 ? undrained : entries;
  }

  /** Resolves when no forwarded request is in flight here. */
  async forwardedRequestsEnded(): Promise<void> {
    while (this.forwardedAdmission.totalInFlight > 0) {
      await sleep(this.#deps.clock, IDLE_POLL_MS);
    }
  }

  #observeLoads(now: number): void {
    const { roster, cfg } = this.#deps;
    const live = roster.live().map((m) => m.instance);
    for (const id of live) {
      const load = this.loadExchange.loadOf(id);
      if (load !== undefined) this.entries.observe(id, load, now);
    }
    this.entries.observe(cfg.instance.id, this.load, now);
    this.entries.retain(new Set([...live, cfg.instance.id]));
  }

  /** Requests from this instance in flight at the target of a drain. */
  #inFlightAt({ kind, id }: DrainEntry): number {
    const { cfg, running } = this.#deps;
    if (kind === "endpoint") return this.local.inFlight(id);
    if (kind === "instance" && id === cfg.instance.id) {
      return running() + this.forwardedAdmission.totalInFlight;
    }
    const elsewhere = this.#remoteCapacity.inFlightWhere((peer) =>
      peer[kind] === id
    );
    if (kind === "instance" || cfg.instance[kind] !== id) return elsewhere;
    const rows = this.local.rows();
    return elsewhere + rows.reduce((n, row) => n + row.inFlight, 0);
  }

  /** Fraction of the region's seats that this instance holds. */
  #heldSeatShare(now: number): number {
    const { seats, cfg, document } = this.#deps;
    const zones = zonesOf(document())
      .filter((z) => z.region === cfg.instance.region);
    const names = new Set<string>(zones.map((z) => z.zone));
    const all = zones.reduce((n, z) => n + z.instances, 0);
    const held = seats.held(now).filter((s) => names.has(s.zone))
      .reduce((n, s) => n + s.part, 0);
    return all === 0 ? 0 : held / all;
  }

  get #reachesEndpoints(): boolean {
    return this.linkChecker.state === "up";
  }

  #makeLinkChecker(): LinkChecker<LinkTarget> {
    const { clock, metrics, log, endpoints, roster } = this.#deps;
    return new LinkChecker({
      endpoints: (): LinkTarget[] =>
        this.local.rows().map(({ entry }) => ({
          address: entry.url,
          zone: entry.zone,
        })),
      probe: async ({ address }) =>
        (await endpoints.probe(address, LINK_PROBE_TIMEOUT_MS)).isOk(),
      onChange: () => {},
      servingPeers: () => roster.live().length,
      clock,
      log,
      metrics,
    });
  }

  #makeProber(): Prober {
    const { cfg, clock, metrics, random, endpoints, roster } = this.#deps;
    const { id, zone } = cfg.instance;
    return new Prober({
      clock,
      metrics,
      client: endpoints,
      schedule: new ProbeSchedule(id, random),
      targets: () =>
        this.local.rows().map(({ id, entry, inFlight, slotLimit }) => ({
          id,
          url: entry.url,
          connectionFree: inFlight < connectionShare(entry, slotLimit),
        })),
      zonePeers: () =>
        roster.live().filter((m) => m.zone === zone).map((m) => m.instance),
      onHint: (endpoint, hint) => this.local.recordHint(endpoint, hint),
    });
  }
}
