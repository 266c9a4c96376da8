/**
 * One entry instance: wires its components together, starts and stops them.
 *
 * @module
 */
import { getHeapStatistics } from "node:v8";
import type {
  Clock,
  EndpointId,
  Log,
  Metrics,
  Random,
  RegionId,
} from "../core/mod.ts";
import { sleep } from "../core/mod.ts";
import { LinkChecker, peersFor } from "../decisions/links/mod.ts";
import {
  AffinityPlacement,
  type Placement,
} from "../decisions/placement/mod.ts";
import {
  bufferBytes,
  ByteBudget,
  type ProcessMemory,
  ResponseSizes,
} from "../decisions/memory/mod.ts";
import { AccountQuotas } from "../decisions/quotas/mod.ts";
import { Utilization } from "../decisions/reserves/mod.ts";
import { SharedRetryBudget } from "../decisions/retries/mod.ts";
import { StartGate } from "../decisions/starting/mod.ts";
import {
  callerAddresses,
  type DatagramTransport,
  FleetMember,
  type InstanceProfile,
  type InstanceState,
  NameDictionary,
  type SelfReport,
} from "../fleet/mod.ts";
import type { EndpointRow, TrafficPlan } from "../traffic/mod.ts";
import { Admission } from "./admission.ts";
import { CallerServer } from "./caller_server.ts";
import type { EdgeSettings } from "./edge_settings.ts";
import { EndpointLimits } from "./endpoint_limits.ts";
import { EndpointChooser } from "./endpoint_chooser.ts";
import { EndpointRetries } from "./endpoint_retries.ts";
import { EndpointSignals } from "./endpoint_signals.ts";
import { EventLoopLag } from "./event_loop_lag.ts";
import { Entrance } from "./entrance.ts";
import { GossipHandlers } from "./gossip_handlers.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { joinList } from "./instance_list.ts";
import { AccessLog } from "./access_log.ts";
import { PeerForwarder, peerRequestAddress } from "./peer_forwarder.ts";
import { PeerLoad } from "./peer_load.ts";
import {
  PeerSnapshots,
  serveSnapshot,
  snapshotAddress,
} from "./peer_snapshots.ts";
import { PlainServer } from "./plain_server.ts";
import { requestClass } from "./request_class.ts";
import type { RequestCodec, RequestFields } from "./request_codec.ts";
import type { CallerRequest } from "./request_context.ts";
import { RequestFlow } from "./request_flow.ts";
import type { SteeringSources } from "./steering_sources.ts";
import { RESOURCE_KINDS } from "./steering_watchers.ts";
import { stopPlan } from "./stop_plan.ts";
import { StoreFollower } from "./store_follower.ts";
import { TrafficState } from "./traffic_state.ts";

/** Dependencies of an instance. */
export interface EdgeOptions {
  readonly cfg: EdgeSettings;
  readonly codec: RequestCodec;
  readonly sources: SteeringSources;
  readonly transport: DatagramTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly placement?: Placement;
  /** Processor time of the process since its start, in milliseconds. */
  readonly processorMs?: () => number;
  /** Samples the memory of the process. */
  readonly processMemory?: () => ProcessMemory;
}

/** Instances assumed per zone until the instance list is read. */
const ASSUMED_INSTANCES_PER_ZONE = 2;

/**
 * How long an instance that does not watch the store waits for snapshots from
 * peers at the fleet's first start, in milliseconds. Callers connect much later.
 */
const FIRST_START_WAIT_MS = 4_000;

export class EdgeInstance {
  readonly #opts: EdgeOptions;
  readonly #profile: InstanceProfile;
  readonly #state: TrafficState;
  readonly #member: FleetMember;
  readonly #quotas: AccountQuotas;
  readonly #limits: EndpointLimits;
  readonly #signals: EndpointSignals;
  readonly #chooser: EndpointChooser;
  readonly #sender: HttpEndpointSender;
  readonly #peerSender: HttpEndpointSender;
  readonly #links: LinkChecker<EndpointRow>;
  readonly #follower: StoreFollower;
  readonly #snapshots: PeerSnapshots;
  readonly #gate: StartGate;
  readonly #dictionary = new NameDictionary();
  readonly #abortController = new AbortController();
  readonly #retries: EndpointRetries;
  readonly #peerLoad: PeerLoad;
  /** Memory for what is buffered for callers and peers. */
  readonly #memory: ByteBudget;
  readonly #processor: Utilization;
  readonly #loopLag: EventLoopLag;
  #graceMs: number;
  /** The listeners for callers and for requests that peers pass on. */
  #servers: readonly CallerServer[] = [];
  #snapshotServer: PlainServer | undefined;
  #leaving = false;

  private constructor(opts: EdgeOptions) {
    this.#opts = opts;
    const { cfg, clock, random, log, codec, sources } = opts;
    this.#gate = new StartGate(clock);
    this.#memory = new ByteBudget(
      bufferBytes(cfg.memoryBytes, getHeapStatistics().heap_size_limit),
    );
    opts.metrics.gauge("buffers.limit", this.#memory.limitBytes);
    this.#processor = new Utilization(cfg.capacity);
    this.#loopLag = new EventLoopLag(opts);
    for (const kind of RESOURCE_KINDS) this.#dictionary.add(kind);
    this.#graceMs = cfg.graceMs;
    this.#profile = {
      ...cfg.instance,
      callerAddress: cfg.listen.caller,
      digestAddress: cfg.listen.digest,
    };
    this.#links = new LinkChecker({
      endpoints: () =>
        [...this.#state.endpoints.rows()].filter((row) => !row.isEnding),
      probe: (row) => this.#sender.probe(row, this.#healthPathOf(row)),
      onChange: (failingSince) => this.#onLinksChanged(failingSince),
      servingPeers: () => this.#member.serving().length,
      clock,
      log,
      metrics: opts.metrics,
    });
    this.#sender = new HttpEndpointSender(codec, clock, {
      sourceAddress: cfg.endpointSourceAddress,
      links: this.#links.observer,
    });
    this.#peerSender = new HttpEndpointSender(codec, clock);
    this.#snapshots = new PeerSnapshots(random);
    this.#state = new TrafficState((zone) => cfg.zones.get(zone), {
      added: (row) => this.#dictionary.add(row.id),
      removed: (row) => this.#onEndpointRemoved(row),
    });
    this.#peerLoad = new PeerLoad((id) => this.#state.endpoints.get(id));
    const fleetSize = () => this.#member.fleetSize;
    const isFleetKnown = () => this.#member.isSizeKnown;
    this.#retries = new EndpointRetries({
      budget: new SharedRetryBudget(cfg.retries, clock.now()),
      fleetSize,
      isFleetKnown,
      clock,
      log,
      metrics: opts.metrics,
    });
    this.#quotas = new AccountQuotas(cfg.instance.id, {
      fleetSize,
      gossipDelayMs: () => this.#member.gossipDelayMs,
      window: cfg.rates,
    });
    this.#limits = new EndpointLimits({
      own: cfg.instance.id,
      demand: this.#quotas.demand,
      gossipDelayMs: () => this.#member.gossipDelayMs,
      isFleetKnown,
      viewAgeMs: () => this.#member.viewAgeMs,
      clock,
      log,
      metrics: opts.metrics,
    });
    this.#signals = new EndpointSignals({
      endpoints: this.#state.endpoints,
      limits: this.#limits,
      clock,
      log,
      metrics: opts.metrics,
    });
    this.#chooser = new EndpointChooser({
      state: this.#state,
      signals: this.#signals,
      limits: this.#limits,
      placement: opts.placement ?? new AffinityPlacement(),
      fleetSize,
      isFleetKnown,
      own: cfg.instance.id,
      region: cfg.instance.region,
      regions: [...new Set(cfg.zones.values())],
    });
    this.#follower = new StoreFollower({
      state: this.#state,
      sources,
      clock,
      random,
      log,
      peersFirstMs: cfg.firstStart ? FIRST_START_WAIT_MS : 0,
      relay: (changes) => this.#member.relay(changes),
      fetch: (kind, atLeast, signal) => {
        const peers = this.#member.instancesWithRevision(kind, atLeast);
        return this.#snapshots.fetch(kind, peers, signal);
      },
      onPlanAdopted: (plan) => this.#onPlanAdopted(plan),
      onEndpointsListed: () => this.#openGateIfReady(),
    });
    this.#member = new FleetMember({
      profile: this.#profile,
      capacity: cfg.capacity,
      linkBytesPerS: cfg.linkBytesPerS,
      utilization: () => this.#utilization(),
      firstStart: cfg.firstStart,
      assumedFleetSize: cfg.zones.size * ASSUMED_INSTANCES_PER_ZONE,
      seeds: cfg.seeds.filter((seed) => seed !== cfg.listen.digest),
      transport: opts.transport,
      dictionary: this.#dictionary,
      clock,
      random,
      log,
      report: () => this.#selfReport(),
      events: new GossipHandlers({
        quotas: this.#quotas,
        limits: this.#limits,
        peerLoad: this.#peerLoad,
        follower: this.#follower,
        storeWatch: () => this.#member.storeWatch,
        log,
      }),
    });
  }

  /** Starts an instance; it is ready once a plan and the endpoints are loaded. */
  static async start(opts: EdgeOptions): Promise<EdgeInstance> {
    const instance = new EdgeInstance(opts);
    await instance.#run();
    return instance;
  }

  /** Whether callers should connect to this instance. */
  get ready(): boolean {
    return this.state === "serving" || this.state === "isolated";
  }

  get state(): InstanceState {
    if (this.#leaving) return "leaving";
    const isLoaded = this.#follower.endpointsListed &&
      this.#state.planVersion > 0;
    if (!isLoaded) return "starting";
    return this.#links.state === "up" ? "serving" : "isolated";
  }

  /** Host and port of the instances that callers of a region should use. */
  addresses(region: RegionId | undefined): string[] {
    const own = { profile: this.#profile, state: this.state };
    const others = {
      serving: this.#member.serving(),
      isolated: this.#member.isolated(),
      reserves: this.#member.reserves(),
    };
    return callerAddresses(others, own, region);
  }

  /**
   * Applies the settings that can change at run time: the grace period of a stop
   * and the retry budget. All others need a restart.
   */
  reconfigure(cfg: EdgeSettings): void {
    this.#graceMs = cfg.graceMs;
    this.#retries.setAllowance(cfg.retries);
    this.#opts.log.event("settings_reloaded", {
      graceMs: cfg.graceMs,
      retryRatio: cfg.retries.ratio,
      retrySlack: cfg.retries.slack,
    });
  }

  /** Shuts down gracefully; resolves when everything is closed. */
  async stop(): Promise<void> {
    if (this.#leaving) return;
    const { clock, log } = this.#opts;
    const stages = stopPlan(this.#graceMs);
    this.#leaving = true;
    for (const server of this.#servers) server.startDraining();
    this.#member.sendDigestNow();
    log.event("stop_begun", { graceMs: this.#graceMs });
    const stopStartedAt = clock.now();
    await sleep(clock, stages.stopListeningMs);
    for (const server of this.#servers) server.stopListening();
    const leftMs = Math.max(
      0,
      stages.forceCloseMs - (clock.now() - stopStartedAt),
    );
    const idle = Promise.all(this.#servers.map((server) => server.whenIdle()));
    await Promise.race([idle, sleep(clock, leftMs)]);
    log.event("stopped", { tookMs: Math.round(clock.now() - stopStartedAt) });
    await this.close();
  }

  /** Closes everything immediately. */
  async close(): Promise<void> {
    this.#abortController.abort();
    this.#follower.close();
    await this.#member.close();
    await this.#snapshotServer?.close();
    this.#snapshots.close();
    this.#links.close();
    this.#loopLag.close();
    await Promise.all(this.#servers.map((server) => server.close()));
    this.#sender.close();
    this.#peerSender.close();
  }

  async #run(): Promise<void> {
    const { cfg, clock, random, log, codec, sources } = this.#opts;
    this.#member.start();
    this.#snapshotServer = await PlainServer.listen(
      snapshotAddress(cfg.listen.digest),
      (_method, url) =>
        serveSnapshot(url, (kind) => this.#follower.snapshot(kind)),
    );
    const flow = this.#createFlow();
    const common = {
      codec,
      clock,
      handle: (req: CallerRequest) => flow.handle(req),
      log,
      metrics: this.#opts.metrics,
      cores: cfg.capacity,
      loopLag: this.#loopLag,
      entrance: new Entrance(this.#opts),
      memory: this.#memory,
      responseSizes: new ResponseSizes(),
      classOf: (fields: RequestFields) =>
        requestClass(this.#state.routeTable, fields),
    };
    const forPeers = peerRequestAddress(cfg.listen.digest);
    this.#servers = [
      await CallerServer.listen({
        ...common,
        address: cfg.listen.caller,
        fromPeers: false,
      }),
      await CallerServer.listen({
        ...common,
        address: forPeers,
        fromPeers: true,
      }),
    ];
    this.#links.start();
    this.#follower.run();
    void joinList(sources.instances, this.#profile, {
      member: this.#member,
      clock,
      random,
      log,
      signal: this.#abortController.signal,
    });
  }

  #createFlow(): RequestFlow {
    const { clock, log, metrics, codec } = this.#opts;
    return new RequestFlow({
      gate: this.#gate,
      admission: new Admission(this.#state, this.#quotas, clock),
      chooser: this.#chooser,
      signals: this.#signals,
      links: this.#links,
      forwarder: this.#createForwarder(),
      sender: this.#sender,
      codec,
      planVersion: () => this.#state.planVersion,
      retries: this.#retries,
      accessLog: new AccessLog({
        clock,
        log,
        metrics,
        planVersion: () => this.#state.planVersion,
        limitOf: (id) => this.#limits.limitOf(id),
      }),
      reads: this.#loopLag,
      clock,
    });
  }

  #createForwarder(): PeerForwarder {
    const { cfg, clock, random, codec } = this.#opts;
    const { region } = cfg.instance;
    return new PeerForwarder({
      own: cfg.instance.id,
      peersFor: ({ regions: allowed }) => {
        const inRegion = this.#member.isolated().filter((p) =>
          p.region === region
        );
        const isolated = inRegion.length + 1;
        return peersFor(this.#member.reporting(), {
          region,
          isolated,
          allowed,
        });
      },
      sender: this.#peerSender,
      codec,
      clock,
      random,
    });
  }

  #healthPathOf({ record }: EndpointRow): string {
    const services = this.#state.routeTable?.plan.services;
    return services?.get(record.service)?.healthPath ?? "/";
  }

  /** What failed since then was the link, not the endpoints. */
  #onLinksChanged(failingSince: number): void {
    this.#chooser.linksLost(failingSince);
    this.#member.sendDigestNow();
  }

  #onPlanAdopted(plan: TrafficPlan): void {
    this.#opts.metrics.gauge("plan.in_force", plan.version);
    for (const { id } of plan.accounts) this.#dictionary.add(id);
    this.#quotas.adopt(plan.accounts, this.#opts.clock.now());
    for (const server of this.#servers) server.applyLimits(plan.limits);
    this.#openGateIfReady();
  }

  #openGateIfReady(): void {
    if (this.ready && !this.#gate.isOpen) this.#gate.open();
  }

  #onEndpointRemoved(row: EndpointRow): void {
    this.#chooser.remove(row);
    this.#links.forget(row);
    this.#sender.closeIdleConnections(row);
  }

  #utilization(): number | undefined {
    const { processorMs, clock } = this.#opts;
    if (processorMs === undefined) return undefined;
    return this.#processor.update(processorMs(), clock.now());
  }

  #reportMemory(): void {
    const { metrics, processMemory } = this.#opts;
    metrics.gauge("buffers.used", this.#memory.usedBytes);
    const sample = processMemory?.();
    if (sample === undefined) return;
    metrics.gauge("memory.resident", sample.resident);
    metrics.gauge("memory.heap", sample.heap);
    metrics.gauge("memory.buffers", sample.buffers);
  }

  #selfReport(): SelfReport {
    const inFlight = new Map<EndpointId, number>();
    for (const row of this.#state.endpoints.rows()) {
      if (row.inFlight > 0) inFlight.set(row.id, row.inFlight);
    }
    const uses = this.#quotas.tick(this.#opts.clock.now());
    const { reporting } = this.#quotas.demand.shares;
    this.#reportMemory();
    this.#opts.metrics.gauge("fleet.instances", this.#member.fleetSize);
    this.#opts.metrics.gauge("fleet.reporting", reporting);
    const { viewAgeMs } = this.#member;
    if (viewAgeMs !== undefined) {
      this.#opts.metrics.timing("fleet.view_age", viewAgeMs);
    }
    this.#opts.metrics.gauge("fleet.reserve", this.#member.isReserve ? 1 : 0);
    for (const [id, use] of this.#limits.uses()) uses.set(id, use);
    return {
      state: this.state,
      planVersion: this.#state.planVersion,
      ...this.#follower.report(),
      uses,
      inFlight,
      limits: this.#limits.observed(),
      reservations: this.#quotas.reservations,
    };
  }
}
