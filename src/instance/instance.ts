/**
 * One entry instance: tables, the systems that run over them each tick, and
 * the listeners.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import Emittery from "emittery";
import { err, ok, type Result } from "neverthrow";
import {
  adminApp,
  type InstanceStatus,
  type PeerStatus,
} from "../admin/mod.ts";
import type { Clock, Failure, Log, Metrics, Random } from "../core/mod.ts";
import { type EntryChoice, MAX_REUSE_MS } from "../decisions/lookup/mod.ts";
import {
  type AcceptedDocument,
  ContentStore,
  DocumentStore,
  emptyDocument,
  type SteeringDocument,
  zonesOf,
} from "../document/mod.ts";
import type { EndpointClient } from "../endpoints/mod.ts";
import {
  callerApp,
  forwardApp,
  KeyRing,
  OperationDispatch,
  RequestPath,
  SlotSender,
} from "../gateway/mod.ts";
import type { Sender } from "../gen/peer_pb.ts";
import { SenderSchema } from "../gen/peer_pb.ts";
import { create } from "@bufbuild/protobuf";
import {
  InstanceListPoller,
  type LeasedSeats,
  rendezvousOwner,
  Roster,
} from "../membership/mod.ts";
import { HomeOperations } from "../operations/mod.ts";
import {
  type DocumentTransport,
  PeerExchange,
  type PeerTransport,
} from "../peers/mod.ts";
import type { ListedInstance, Platform } from "../store/mod.ts";
import { BurnPublisher } from "../slo/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { ClientSites } from "./client_sites.ts";
import type { DocumentFollower } from "./document_follower.ts";
import { DocumentSource } from "./document_source.ts";
import { EntryLookup } from "./entry_lookup.ts";
import { FleetBudgets } from "./fleet_budgets.ts";
import {
  type InstanceListeners,
  SocketListeners,
} from "./instance_listeners.ts";
import {
  type InstanceParts,
  makeFollower,
  makeSeats,
} from "./instance_parts.ts";
import { outcomeLog } from "./outcome_log.ts";
import { PlatformContact } from "./platform_contact.ts";
import { Steering } from "./steering.ts";
import { type Heritage, stopInOrder } from "./stop_sequence.ts";
import { TickLoop } from "./tick_loop.ts";

/** All that an instance is handed; nothing is global. */
export interface InstanceDeps {
  readonly cfg: Settings;
  readonly platform: Platform;
  readonly transport: PeerTransport & DocumentTransport;
  readonly endpoints: EndpointClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Sockets by the settings, unless handed in. */
  readonly listeners?: InstanceListeners;
  readonly parts?: InstanceParts;
}

/** What an instance tells those who listen. */
export interface InstanceEvents {
  document: AcceptedDocument;
  leaving: undefined;
}

const INCARNATION_BYTES = 8;
/** Callers hold a look-up's answer this long; then they know of the leaving. */
const LEAVE_NOTICE_MS = MAX_REUSE_MS;

/**
 * A running entry instance.
 *
 * @example
 * ```ts
 * const instance = await Instance.start(deps);
 * if (instance.isOk()) await instance.value.stop();
 * ```
 */
export class Instance {
  readonly events: Emittery<InstanceEvents> = new Emittery();
  readonly #deps: InstanceDeps;
  readonly #listeners: InstanceListeners;
  readonly #incarnation: string;
  readonly #keys: KeyRing;
  readonly #contact: PlatformContact;
  readonly #budgets: FleetBudgets;
  readonly #steering: Steering;
  readonly #roster: Roster;
  readonly #seats: LeasedSeats;
  readonly #exchange: PeerExchange;
  readonly #operations: HomeOperations;
  readonly #burn: BurnPublisher;
  readonly #path: RequestPath;
  readonly #follower: DocumentFollower;
  readonly #ticks: TickLoop;
  /** What is handed over at the end, in this order. */
  readonly #heritage: readonly Heritage[];
  readonly #sites = new ClientSites();
  readonly #lookup: EntryLookup;
  #document: SteeringDocument = emptyDocument();
  #joined = false;
  #leaving = false;
  #closed: Promise<void> | undefined;

  private constructor(deps: InstanceDeps) {
    const { cfg, clock, log, random } = deps;
    this.#deps = deps;
    this.#listeners = deps.listeners ?? new SocketListeners(deps);
    this.#incarnation = random.hex(INCARNATION_BYTES);
    this.#contact = new PlatformContact(clock);
    this.#keys = new KeyRing(() => this.#contact.ageMs());
    this.#roster = new Roster(clock, cfg.instance.id);
    this.#seats = makeSeats(deps.parts, {
      ...deps,
      instance: cfg.instance.id,
      zone: cfg.instance.zone,
      incarnation: this.#incarnation,
      log: log.child("seats"),
      document: () => this.#document,
    });
    this.#budgets = this.#makeBudgets();
    this.#steering = new Steering({
      ...deps,
      roster: this.#roster,
      seats: this.#seats,
      limits: this.#budgets.slotLimits,
      document: () => this.#document,
      leaving: () => this.#leaving,
      running: () => this.#path.running,
    });
    this.#exchange = new PeerExchange({
      ...deps,
      log: log.child("peers"),
      self: () => this.#sender(),
      peers: () => this.#roster.members(),
    });
    this.#exchange.register(this.#roster);
    this.#exchange.register(this.#seats);
    this.#exchange.register(this.#budgets);
    this.#exchange.register(this.#steering.exchange);
    const document = () => this.#document;
    const { dispatcher, links, retries } = this.#steering;
    const sender = new SlotSender({
      ...deps,
      links,
      identity: { instance: cfg.instance.id, incarnation: this.#incarnation },
    });
    const runner = new OperationDispatch({
      ...deps,
      sender,
      retries,
      dispatcher,
      document,
    });
    this.#operations = new HomeOperations({
      ...deps,
      log: log.child("operations"),
      self: {
        ...cfg.instance,
        instance: cfg.instance.id,
        incarnation: this.#incarnation,
      },
      seats: this.#seats,
      runner,
    });
    this.#exchange.register(this.#operations);
    this.#burn = new BurnPublisher({
      ...deps,
      log: log.child("burn"),
      self: {
        ...cfg.instance,
        instance: cfg.instance.id,
        incarnation: this.#incarnation,
      },
      zonePeers: () =>
        this.#roster.live().filter((m) => m.zone === cfg.instance.zone),
    });
    this.#exchange.register(this.#burn);
    this.#path = new RequestPath({
      ...deps,
      outcomes: outcomeLog({ ...deps, counts: this.#burn.counts, document }),
      keys: this.#keys,
      limiter: this.#budgets.limiter,
      sender,
      retries,
      dispatcher,
      operations: deps.parts?.operations
        ? new deps.parts.operations(runner)
        : this.#operations,
      document,
    });
    this.#lookup = new EntryLookup({
      clock,
      everyMs: cfg.tick_ms,
      own: () => this.#entry(),
      leaving: () => this.#leaving,
      sites: this.#sites,
      roster: this.#roster,
      seats: this.#seats,
      steering: this.#steering,
      operations: this.#operations,
    });
    this.#follower = this.#makeFollower();
    this.#exchange.register(this.#follower);
    this.#exchange.register(this.#contact);
    this.#heritage = [
      { name: "forwards", handOver: () => this.#steering.forwardsEnded() },
      { name: "operations", handOver: () => this.#operations.handOver() },
      {
        name: "budgets",
        limitMs: () => this.#budgets.handOverLimitMs(),
        handOver: () => this.#budgets.handOver(),
      },
      { name: "seats", handOver: () => this.#seats.handOver() },
      { name: "burn", handOver: () => this.#burn.flush() },
    ];
    this.#ticks = this.#makeTicks();
  }

  /** Opens the listeners, joins the others and begins to serve. */
  static async start(deps: InstanceDeps): Promise<Result<Instance, Failure>> {
    const instance = new Instance(deps);
    const opened = await instance.#open();
    if (opened.isErr()) {
      await instance.close();
      return err(opened.error);
    }
    await instance.#join();
    instance.#ticks.start();
    deps.log.event("instance_started", { instance: deps.cfg.instance.id });
    return ok(instance);
  }

  /** Where callers reach this instance. */
  get callerUrl(): string {
    return this.#listeners.callerUrl;
  }

  /** Where other instances reach this one. */
  get peerUrl(): string {
    return this.#listeners.peerUrl;
  }

  /** Where operators reach this instance. */
  get adminUrl(): string {
    return this.#listeners.adminUrl;
  }

  /** Whether a document is in force and the instance is not leaving. */
  get ready(): boolean {
    return this.#serving && !this.#leaving;
  }

  /** What this instance says of itself. */
  status(): InstanceStatus {
    const { id, zone } = this.#deps.cfg.instance;
    const age = this.#contact.ageMs();
    const now = this.#deps.clock.now();
    return {
      instance: id,
      zone,
      generation: this.#follower.generation,
      rejected: this.#follower.rejected,
      contact_age_ms: Number.isFinite(age) ? Math.round(age) : null,
      seats: this.#seats.held(now),
      settled: this.#budgets.settled(now),
      running: this.#path.running,
      leaving: this.#leaving,
      drained: this.#steering.drained,
      drains: this.#steering.drains.progress(),
      members: this.#roster.live().map((m) => m.instance),
      peers: this.#peerStatus(),
    };
  }

  #peerStatus(): PeerStatus {
    return {
      batches_sent: this.#exchange.sent,
      listener_bytes: this.#listeners.peerBytes(),
    };
  }

  /** Announces leaving, lets running work end, hands over, then closes. */
  async stop(): Promise<void> {
    this.#leaving = true;
    this.#seats.leave();
    await this.events.emit("leaving");
    await stopInOrder({
      ...this.#deps,
      listeners: this.#listeners,
      running: () => this.#running(),
      announce: async () => {
        await Promise.all([
          this.#deps.platform.announce(this.#listed()),
          this.#exchange.flush(),
        ]);
      },
      flush: () => this.#exchange.flush(),
      heritage: this.#heritage,
      noticeMs: LEAVE_NOTICE_MS,
    });
    await this.close();
  }

  /** Requests of callers and of other instances that have not ended. */
  #running(): number {
    const rows = this.#steering.local.rows();
    return rows.reduce((n, row) => n + row.inFlight, this.#path.running);
  }

  /** Ends at once, cutting what runs. */
  close(): Promise<void> {
    this.#closed ??= this.#close();
    return this.#closed;
  }

  async #close(): Promise<void> {
    this.#ticks.close();
    this.#follower.close();
    this.#budgets.close();
    await this.#listeners.close();
    await this.#deps.transport.close();
    await this.#deps.endpoints.close();
    await this.#deps.platform.close();
    await this.#deps.metrics.close();
  }

  /**
   * Adopts the newest document that the store or any peer has, before serving:
   * a stale store would otherwise bring a withdrawn key back to life here.
   */
  async #join(): Promise<void> {
    const { platform } = this.#deps;
    await platform.announce(this.#listed());
    const [listed] = await Promise.all([
      platform.instances(),
      this.#follower.start(),
    ]);
    if (listed.isOk()) this.#roster.applyList(listed.value);
    await this.#exchange.flush();
    await this.#follower.settled();
    this.#joined = true;
  }

  #open(): Promise<Result<void, Failure>> {
    return this.#listeners.open({
      caller: callerApp({
        path: this.#path,
        lookup: (client) => this.#lookup.answer(client),
        ready: () => this.#serving,
      }),
      admin: this.#adminApp(),
      forwards: this.#forwardApp(),
      batch: (batch) => this.#exchange.answer(batch),
      ledger: this.#operations,
      borrow: (call) => this.#budgets.answer(call),
      document: this.#follower,
    });
  }

  #adminApp(): RequestListener {
    const { cfg, platform, clock, random } = this.#deps;
    return adminApp({
      ready: () => this.ready,
      status: () => this.status(),
      document: () => this.#document,
      store: new DocumentStore({ platform, clock, random }),
      platform,
      bootstrapSha256: cfg.admin.bootstrap_token_sha256,
    });
  }

  #makeFollower(): DocumentFollower {
    const { cfg, clock, log, platform, random, transport } = this.#deps;
    const contents = new ContentStore(platform);
    const contact = this.#contact;
    const { id, zone } = cfg.instance;
    return makeFollower(this.#deps.parts, {
      source: new DocumentSource({
        platform,
        contents,
        transport,
        contact,
        clock,
      }),
      contents,
      clock,
      random,
      log: log.child("document"),
      watches: () => {
        const mates = this.#roster.live().filter((m) => m.zone === zone);
        const members = [id, ...mates.map((m) => m.instance)];
        return rendezvousOwner(`watch ${zone}`, members) === id;
      },
      onDocument: (accepted) => this.#adopt(accepted),
    });
  }

  /** What runs each tick, in this order. */
  #makeTicks(): TickLoop {
    const { cfg, clock, log } = this.#deps;
    const ticks = new TickLoop(clock, log, cfg.tick_ms);
    ticks.add(this.#budgets);
    ticks.add(this.#sites);
    ticks.add({ name: "peers", run: () => this.#exchange.run() });
    ticks.add({ name: "seats", run: (now) => this.#seats.run(now) });
    ticks.add({
      name: "operations",
      run: (now) => this.#operations.sweep(now),
    });
    ticks.add({
      name: "steering",
      run: (now) => this.#steering.tick(now),
    });
    ticks.add({ name: "burn", run: (now) => this.#burn.run(now) });
    ticks.add(this.#roster);
    ticks.add(
      new InstanceListPoller({
        ...this.#deps,
        instance: cfg.instance.id,
        zone: cfg.instance.zone,
        roster: this.#roster,
      }),
    );
    return ticks;
  }

  #makeBudgets(): FleetBudgets {
    const { clock, cfg, log, transport } = this.#deps;
    const { id, zone, region } = cfg.instance;
    const incarnation = this.#incarnation;
    return new FleetBudgets({
      self: { instance: id, incarnation, zone, region },
      clock,
      seats: this.#seats,
      transport,
      peers: () => this.#roster.live(),
      inFlight: (endpoint) => this.#steering.local.inFlight(endpoint),
      log: log.child("budgets"),
    });
  }

  get #serving(): boolean {
    return this.#joined && this.#follower.generation > 0;
  }

  #forwardApp(): RequestListener {
    const { intake, links, exchange } = this.#steering;
    return forwardApp({
      ...this.#deps,
      intake,
      links,
      region: this.#deps.cfg.instance.region,
      peerOf: (identity) => exchange.peerOf(identity),
    });
  }

  #adopt(accepted: AcceptedDocument): void {
    const now = this.#deps.clock.now();
    this.#document = accepted.document;
    this.#keys.adopt(accepted.document);
    this.#sites.adopt(accepted.document);
    if (!this.#joined) this.#sites.settle();
    this.#budgets.adopt(accepted.document, accepted.manifest.generation);
    this.#steering.adopt(accepted.document, now);
    this.#operations.adopt(zonesOf(accepted.document));
    void this.events.emit("document", accepted);
  }

  #entry(): EntryChoice {
    const { id, zone, region } = this.#deps.cfg.instance;
    return { instance: id, zone, region, url: this.callerUrl };
  }

  #sender(): Sender {
    const { id, zone, region } = this.#deps.cfg.instance;
    return create(SenderSchema, {
      instance: id,
      zone,
      region,
      incarnation: this.#incarnation,
      peerUrl: this.#listeners.peerUrl,
      callerUrl: this.callerUrl,
      leaving: this.#leaving,
    });
  }

  #listed(): ListedInstance {
    const { id, zone, region } = this.#deps.cfg.instance;
    return {
      instance: id,
      zone,
      region,
      peerUrl: this.#listeners.peerUrl,
      callerUrl: this.callerUrl,
      state: this.#leaving ? "leaving" : "live",
    };
  }
}
