/**
 * One entry instance in the composition for a platform on which endpoints
 * register themselves: the parts put together, and their start and stop.
 *
 * @module
 */
import type {
  Clock,
  EndpointId,
  Log,
  Metrics,
  Random,
  RegionId,
} from "../core/mod.ts";
import { sleep } from "../core/mod.ts";
import {
  AffinityPlacement,
  type Placement,
} from "../decisions/placement/mod.ts";
import { AccountQuotas } from "../decisions/quotas/mod.ts";
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
import { GossipHandlers } from "./gossip_handlers.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { joinList } from "./instance_list.ts";
import { ExpiryGuard } from "./expiry_guard.ts";
import { AccessLog } from "./access_log.ts";
import { PeerLoad } from "./peer_load.ts";
import {
  answerSnapshot,
  PeerSnapshots,
  snapshotAddress,
} from "./peer_snapshots.ts";
import { PlainServer } from "./plain_server.ts";
import type { RequestCodec } from "./request_codec.ts";
import { RequestFlow } from "./request_flow.ts";
import { KINDS, SteeringWatchers } from "./steering_watchers.ts";
import {
  EndpointHandler,
  EvacuationHandler,
  PlanHandler,
} from "./steering_handlers.ts";
import type { SteeringSources } from "./steering_sources.ts";
import { stopPlan } from "./stop_plan.ts";
import { TrafficState } from "./traffic_state.ts";

/** What an instance is made of. */
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
}

/** Until the list is read, each zone is taken to have this many instances. */
const ASSUMED_PER_ZONE = 2;

/**
 * How long an instance waits at the fleet's first start for others to read the
 * store for it, in milliseconds. Callers come much later.
 */
const FIRST_START_MS = 4_000;

/** A running instance. */
export class EdgeInstance {
  readonly #opts: EdgeOptions;
  readonly #profile: InstanceProfile;
  readonly #state: TrafficState;
  readonly #member: FleetMember;
  readonly #quotas: AccountQuotas;
  readonly #limits: EndpointLimits;
  readonly #chooser: EndpointChooser;
  readonly #sender: HttpEndpointSender;
  readonly #expiry = new ExpiryGuard();
  readonly #endpointHandler: EndpointHandler;
  readonly #watchers: SteeringWatchers;
  readonly #snapshots: PeerSnapshots;
  readonly #gate: StartGate;
  readonly #book = new NameDictionary();
  readonly #abort = new AbortController();
  readonly #retries: SharedRetryBudget;
  readonly #peerLoad: PeerLoad;
  #graceMs: number;
  #server: CallerServer | undefined;
  #snapshotServer: PlainServer | undefined;
  #endpointsListed = false;
  #leaving = false;

  private constructor(opts: EdgeOptions) {
    this.#opts = opts;
    const { cfg, clock, random, log, codec, sources } = opts;
    this.#retries = new SharedRetryBudget(cfg.retries);
    this.#gate = new StartGate(clock);
    for (const kind of KINDS) this.#book.add(kind);
    this.#graceMs = cfg.graceMs;
    this.#profile = {
      ...cfg.instance,
      callerAddress: cfg.listen.caller,
      digestAddress: cfg.listen.digest,
    };
    this.#sender = new HttpEndpointSender(codec, clock);
    this.#snapshots = new PeerSnapshots(random);
    this.#state = new TrafficState((zone) => cfg.zones.get(zone), {
      added: (row) => this.#book.add(row.id),
      removed: (row) => this.#forget(row),
    });
    this.#peerLoad = new PeerLoad((id) => this.#state.endpoints.get(id));
    const fleetSize = () => this.#member.fleetSize;
    this.#quotas = new AccountQuotas(cfg.instance.id, {
      fleetSize,
      gossipDelayMs: () => this.#member.gossipDelayMs,
      window: cfg.rates,
    });
    this.#limits = new EndpointLimits({
      own: cfg.instance.id,
      demand: this.#quotas.demand,
      gossipDelayMs: () => this.#member.gossipDelayMs,
      clock,
      log,
      metrics: opts.metrics,
    });
    this.#chooser = new EndpointChooser({
      state: this.#state,
      limits: this.#limits,
      placement: opts.placement ?? new AffinityPlacement(),
      fleetSize,
      own: cfg.instance.id,
      region: cfg.instance.region,
      regions: [...new Set(cfg.zones.values())],
    });
    this.#endpointHandler = new EndpointHandler({
      state: this.#state,
      clock,
      log,
      expiry: this.#expiry,
      listed: () => this.#listed(),
    });
    this.#watchers = new SteeringWatchers({
      sources,
      handlers: {
        plans: new PlanHandler(this.#state, log, (p) => this.#adopted(p)),
        endpoints: this.#endpointHandler,
        evacuations: new EvacuationHandler(this.#state, clock, log),
      },
      clock,
      random,
      log,
      peersFirstMs: cfg.firstStart ? FIRST_START_MS : 0,
      relay: (changes) => this.#member.relay(changes),
      fetch: (kind, atLeast, signal) => {
        const from = this.#member.instancesWithRevision(kind, atLeast);
        return this.#snapshots.fetch(kind, from, signal);
      },
    });
    this.#member = new FleetMember({
      profile: this.#profile,
      capacity: cfg.capacity,
      firstStart: cfg.firstStart,
      assumedFleetSize: cfg.zones.size * ASSUMED_PER_ZONE,
      seeds: cfg.seeds.filter((seed) => seed !== cfg.listen.digest),
      transport: opts.transport,
      dictionary: this.#book,
      clock,
      random,
      log,
      report: () => this.#report(),
      events: new GossipHandlers({
        quotas: this.#quotas,
        limits: this.#limits,
        peerLoad: this.#peerLoad,
        watchers: this.#watchers,
        expiry: this.#expiry,
        watchPeerInTouch: () => this.#member.watchPeerInTouch,
        clock,
        log,
      }),
    });
  }

  /** Starts an instance; it is ready once it has a plan and the endpoints. */
  static async start(opts: EdgeOptions): Promise<EdgeInstance> {
    const instance = new EdgeInstance(opts);
    await instance.#run();
    return instance;
  }

  /** Whether callers should be sent here. */
  get ready(): boolean {
    return this.state === "serving";
  }

  get state(): InstanceState {
    if (this.#leaving) return "leaving";
    const known = this.#endpointsListed && this.#state.planVersion > 0;
    return known ? "serving" : "starting";
  }

  /** Host and port of the instances for callers of a region. */
  addresses(region: RegionId | undefined): string[] {
    const own = { profile: this.#profile, state: this.state };
    return callerAddresses(this.#member.serving(), own, region);
  }

  /**
   * Takes over what may change while it runs: the time for a stop and the
   * budget for second sends. Who and where it is holds until its next start.
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

  /** Stops without cutting a request; resolves when all is closed. */
  async stop(): Promise<void> {
    if (this.#leaving) return;
    const { clock, log } = this.#opts;
    const plan = stopPlan(this.#graceMs);
    this.#leaving = true;
    this.#server?.leave();
    this.#member.sendDigestNow();
    log.event("stop_begun", { graceMs: this.#graceMs });
    const began = clock.now();
    await sleep(clock, plan.stopListeningMs);
    this.#server?.stopListening();
    const leftMs = Math.max(0, plan.giveUpMs - (clock.now() - began));
    await Promise.race([this.#server?.idle(), sleep(clock, leftMs)]);
    log.event("stopped", { tookMs: Math.round(clock.now() - began) });
    await this.close();
  }

  /** Ends at once. */
  async close(): Promise<void> {
    this.#abort.abort();
    this.#watchers.close();
    this.#endpointHandler.close();
    await this.#member.close();
    await this.#snapshotServer?.close();
    this.#snapshots.close();
    await this.#server?.close();
    this.#sender.close();
  }

  async #run(): Promise<void> {
    const { cfg, clock, random, log, codec, sources } = this.#opts;
    this.#member.start();
    this.#snapshotServer = await PlainServer.listen(
      snapshotAddress(cfg.listen.digest),
      (_method, url) =>
        answerSnapshot(url, (kind) => this.#watchers.snapshot(kind)),
    );
    const flow = this.#flow();
    this.#server = await CallerServer.listen({
      address: cfg.listen.caller,
      codec,
      clock,
      handle: (req) => flow.handle(req),
      log,
    });
    this.#watchers.run();
    void joinList(sources.instances, this.#profile, {
      member: this.#member,
      clock,
      random,
      log,
      signal: this.#abort.signal,
    });
  }

  #flow(): RequestFlow {
    const { clock, log, metrics, codec } = this.#opts;
    return new RequestFlow({
      gate: this.#gate,
      admission: new Admission(this.#state, this.#quotas, clock),
      chooser: this.#chooser,
      sender: this.#sender,
      codec,
      retries: this.#retries,
      fleetSize: () => this.#member.fleetSize,
      accessLog: new AccessLog({
        clock,
        log,
        metrics,
        planVersion: () => this.#state.planVersion,
        limitOf: (id) => this.#limits.limitOf(id),
      }),
      clock,
    });
  }

  #adopted(plan: TrafficPlan): void {
    this.#opts.metrics.gauge("plan.in_force", plan.version);
    for (const { id } of plan.accounts) this.#book.add(id);
    this.#quotas.adopt(plan.accounts, this.#opts.clock.now());
    this.#server?.limit(plan.limits);
    this.#openGate();
  }

  #listed(): void {
    this.#endpointsListed = true;
    this.#openGate();
  }

  #openGate(): void {
    if (this.ready && !this.#gate.isOpen) this.#gate.open();
  }

  #forget(row: EndpointRow): void {
    this.#chooser.forget(row);
    this.#sender.forget(row);
  }

  #report(): SelfReport {
    const inFlight = new Map<EndpointId, number>();
    for (const row of this.#state.endpoints.rows()) {
      if (row.inFlight > 0) inFlight.set(row.id, row.inFlight);
    }
    const uses = this.#quotas.tick(this.#opts.clock.now());
    for (const [id, use] of this.#limits.uses()) uses.set(id, use);
    return {
      state: this.state,
      planVersion: this.#state.planVersion,
      storeInTouch: this.#endpointsListed && this.#expiry.inTouch,
      changes: this.#watchers.changes(),
      uses,
      inFlight,
      limits: this.#limits.observed(),
      reservations: this.#quotas.reservations,
    };
  }
}
