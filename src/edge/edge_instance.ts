/**
 * One entry instance in the composition for a platform on which endpoints
 * register themselves: the parts put together, and their start and stop.
 *
 * @module
 */
import type { Clock, Log, Metrics, Random, RegionId } from "../core/mod.ts";
import { sleep } from "../core/mod.ts";
import {
  AffinityPlacement,
  type Placement,
} from "../decisions/placement/mod.ts";
import { AccountQuotas } from "../decisions/quotas/mod.ts";
import { SharedRetryBudget } from "../decisions/retries/mod.ts";
import {
  callerAddresses,
  type DatagramTransport,
  type Digest,
  DigestExchange,
  type InstanceProfile,
  type InstanceState,
  PeerTable,
} from "../fleet/mod.ts";
import { KindFollower, type KindSource } from "../follower/mod.ts";
import type {
  EndpointRecord,
  EndpointRow,
  TrafficPlan,
} from "../traffic/mod.ts";
import { Admission } from "./admission.ts";
import { CallerServer } from "./caller_server.ts";
import type { EdgeSettings } from "./edge_settings.ts";
import { EndpointChooser } from "./endpoint_chooser.ts";
import { HttpEndpointSender } from "./http_endpoint_sender.ts";
import { type InstanceList, joinList } from "./instance_list.ts";
import { LapseWatch } from "./lapse_watch.ts";
import { OutcomeJournal } from "./outcome_journal.ts";
import { PeerLoad } from "./peer_load.ts";
import type { RequestCodec } from "./request_codec.ts";
import { RequestFlow } from "./request_flow.ts";
import {
  EndpointIntake,
  EvacuationIntake,
  PlanIntake,
} from "./steering_intake.ts";
import { stopPlan } from "./stop_plan.ts";
import { TrafficState } from "./traffic_state.ts";

/** Where an instance learns what to steer by. */
export interface SteeringSources {
  readonly plans: KindSource<TrafficPlan>;
  readonly endpoints: KindSource<EndpointRecord>;
  readonly evacuations: KindSource<true>;
  readonly instances: InstanceList;
}

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
/** Instances that each digest names for those that could not read the list. */
const OTHERS_TOLD = 3;

/** A running instance. */
export class EdgeInstance {
  readonly #opts: EdgeOptions;
  readonly #profile: InstanceProfile;
  readonly #start: string;
  readonly #state: TrafficState;
  readonly #peers: PeerTable;
  readonly #quotas: AccountQuotas;
  readonly #chooser: EndpointChooser;
  readonly #sender: HttpEndpointSender;
  readonly #exchange: DigestExchange;
  readonly #lapses = new LapseWatch();
  readonly #endpointIntake: EndpointIntake;
  readonly #followers: readonly KindFollower<unknown>[];
  readonly #abort = new AbortController();
  readonly #retries: SharedRetryBudget;
  #graceMs: number;
  readonly #peerLoad = new PeerLoad();
  #server: CallerServer | undefined;
  #endpointsListed = false;
  #leaving = false;

  private constructor(opts: EdgeOptions) {
    this.#opts = opts;
    const { cfg, clock, random, log, transport, codec, sources } = opts;
    this.#start = random.hex(8);
    this.#retries = new SharedRetryBudget(cfg.retries);
    this.#graceMs = cfg.graceMs;
    this.#profile = {
      ...cfg.instance,
      callerAddress: cfg.listen.caller,
      digestAddress: cfg.listen.digest,
    };
    this.#sender = new HttpEndpointSender(codec, clock);
    this.#state = new TrafficState((zone) => cfg.zones.get(zone), {
      removed: (row) => this.#forget(row),
    });
    this.#peers = new PeerTable(
      cfg.instance.id,
      cfg.zones.size * ASSUMED_PER_ZONE,
      {
        told: (digest) => this.#told(digest),
        quiet: ({ profile }) => this.#quotas.silent(profile.id),
        silent: ({ profile }) => {
          this.#peerLoad.silent(profile.id);
          log.event("peer_silent", { peer: profile.id });
        },
        forgotten: ({ profile }) => {
          this.#quotas.forget(profile.id);
          log.event("peer_forgotten", { peer: profile.id });
        },
      },
    );
    const fleetSize = () => this.#peers.fleetSize;
    this.#chooser = new EndpointChooser({
      state: this.#state,
      placement: opts.placement ?? new AffinityPlacement(),
      fleetSize,
      own: cfg.instance.id,
      region: cfg.instance.region,
      regions: [...new Set(cfg.zones.values())],
    });
    this.#quotas = new AccountQuotas(cfg.instance.id, fleetSize);
    this.#exchange = new DigestExchange({
      transport,
      peers: this.#peers,
      clock,
      random,
      log,
      seeds: cfg.seeds.filter((seed) => seed !== cfg.listen.digest),
      compose: (seq) => this.#compose(seq),
    });
    this.#endpointIntake = new EndpointIntake({
      state: this.#state,
      clock,
      log,
      lapses: this.#lapses,
      listed: () => this.#endpointsListed = true,
    });
    this.#followers = this.#follow(sources);
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
    return callerAddresses(this.#peers, own, region);
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
    this.#exchange.tell();
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
    for (const follower of this.#followers) follower.close();
    this.#endpointIntake.close();
    await this.#exchange.close();
    await this.#server?.close();
    await this.#sender.close();
  }

  async #run(): Promise<void> {
    const { cfg, clock, random, log, codec, sources } = this.#opts;
    this.#exchange.start();
    const flow = this.#flow();
    this.#server = await CallerServer.listen({
      address: cfg.listen.caller,
      codec,
      clock,
      handle: (req) => flow.handle(req),
      log,
    });
    for (const follower of this.#followers) void follower.run();
    void joinList(sources.instances, this.#profile, {
      peers: this.#peers,
      clock,
      random,
      log,
      signal: this.#abort.signal,
    });
  }

  #flow(): RequestFlow {
    const { clock, log, metrics, codec } = this.#opts;
    return new RequestFlow({
      admission: new Admission(this.#state, this.#quotas, clock),
      chooser: this.#chooser,
      sender: this.#sender,
      codec,
      retries: this.#retries,
      fleetSize: () => this.#peers.fleetSize,
      journal: new OutcomeJournal(clock, log, metrics),
      clock,
    });
  }

  #follow(sources: SteeringSources): readonly KindFollower<unknown>[] {
    const { clock, random, log } = this.#opts;
    const common = { clock, random, log };
    const adopted = (plan: TrafficPlan) => {
      this.#quotas.adopt(plan.accounts, clock.now());
      this.#server?.limit(plan.limits);
    };
    return [
      new KindFollower({
        ...common,
        kind: "plans",
        source: sources.plans,
        sink: new PlanIntake(this.#state, log, adopted),
      }),
      new KindFollower({
        ...common,
        kind: "endpoints",
        source: sources.endpoints,
        sink: this.#endpointIntake,
      }),
      new KindFollower({
        ...common,
        kind: "evacuations",
        source: sources.evacuations,
        sink: new EvacuationIntake(this.#state, clock, log),
      }),
    ];
  }

  #forget(row: EndpointRow): void {
    this.#chooser.forget(row);
    this.#sender.forget(row);
  }

  #compose(seq: number): Digest {
    const now = this.#opts.clock.now();
    const uses = this.#quotas.tick(now);
    const inFlight = new Map(
      [...this.#state.endpoints.rows()].filter((row) => row.inFlight > 0)
        .map((row) => [row.id, row.inFlight] as const),
    );
    return {
      profile: this.#profile,
      state: this.state,
      start: this.#start,
      seq,
      planVersion: this.#state.planVersion,
      storeInTouch: this.#endpointsListed && this.#lapses.inTouch,
      uses,
      inFlight,
      others: this.#someOthers(),
    };
  }

  #someOthers(): InstanceProfile[] {
    const heard = this.#peers.peers().filter((p) => !p.silent);
    const { random } = this.#opts;
    const from = heard.length === 0 ? 0 : random.below(heard.length);
    return [...heard.slice(from), ...heard.slice(0, from)]
      .slice(0, OTHERS_TOLD).map((p) => p.profile);
  }

  #told(digest: Digest): void {
    const { profile, start, uses, inFlight } = digest;
    const now = this.#opts.clock.now();
    this.#quotas.told({ instance: profile.id, start }, uses, now);
    if (digest.storeInTouch) this.#lapses.otherInTouch(now);
    this.#peerLoad.told(profile.id, inFlight, this.#state.endpoints.rows());
  }
}
