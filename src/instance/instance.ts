/**
 * One entry instance: its components, tick loop and listeners.
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
  ApiKeyTable,
  callerApp,
  forwardApp,
  OperationDispatch,
  RequestPipeline,
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
  type ComponentOverrides,
  createFollower,
  createSeats,
} from "./component_overrides.ts";
import { outcomeRecorder } from "./outcome_recorder.ts";
import { PlatformContact } from "./platform_contact.ts";
import { Steering } from "./steering.ts";
import { type HandOverStep, runStopSequence } from "./stop_sequence.ts";
import { TickLoop } from "./tick_loop.ts";

/** Dependencies of {@link Instance}; it uses no globals. */
export interface InstanceDeps {
  readonly cfg: Settings;
  readonly platform: Platform;
  readonly transport: PeerTransport & DocumentTransport;
  readonly endpoints: EndpointClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Defaults to sockets at the addresses in the settings. */
  readonly listeners?: InstanceListeners;
  readonly parts?: ComponentOverrides;
}

/** Events that an instance emits. */
export interface InstanceEvents {
  document: AcceptedDocument;
  leaving: undefined;
}

const INCARNATION_BYTES = 8;
/** Callers reuse a look-up answer this long before they learn of the leaving. */
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
  readonly #keyRing: ApiKeyTable;
  readonly #platformContact: PlatformContact;
  readonly #budgets: FleetBudgets;
  readonly #steering: Steering;
  readonly #roster: Roster;
  readonly #seats: LeasedSeats;
  readonly #peerExchange: PeerExchange;
  readonly #operations: HomeOperations;
  readonly #burnPublisher: BurnPublisher;
  readonly #requestPath: RequestPipeline;
  readonly #follower: DocumentFollower;
  readonly #tickLoop: TickLoop;
  /** Components that hand over their state at shutdown, in this order. */
  readonly #handOverSteps: readonly HandOverStep[];
  readonly #clientSites = new ClientSites();
  readonly #entryLookup: EntryLookup;
  #document: SteeringDocument = emptyDocument();
  #joined = false;
  #leaving = false;
  #closed: Promise<void> | undefined;

  private constructor(deps: InstanceDeps) {
    const { cfg, clock, log, random } = deps;
    this.#deps = deps;
    this.#listeners = deps.listeners ?? new SocketListeners(deps);
    this.#incarnation = random.hex(INCARNATION_BYTES);
    this.#platformContact = new PlatformContact(clock);
    this.#keyRing = new ApiKeyTable(() => this.#platformContact.ageMs());
    this.#roster = new Roster(clock, cfg.instance.id);
    this.#seats = createSeats(deps.parts, {
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
      running: () => this.#requestPath.running,
    });
    this.#peerExchange = new PeerExchange({
      ...deps,
      log: log.child("peers"),
      self: () => this.#sender(),
      peers: () => this.#roster.members(),
    });
    this.#peerExchange.register(this.#roster);
    this.#peerExchange.register(this.#seats);
    this.#peerExchange.register(this.#budgets);
    this.#peerExchange.register(this.#steering.loadExchange);
    const document = () => this.#document;
    const { dispatcher, links, linkChecker, retries } = this.#steering;
    const sender = new SlotSender({
      ...deps,
      links,
      observer: linkChecker.observer,
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
    this.#peerExchange.register(this.#operations);
    this.#burnPublisher = new BurnPublisher({
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
    this.#peerExchange.register(this.#burnPublisher);
    this.#requestPath = new RequestPipeline({
      ...deps,
      outcomes: outcomeRecorder({
        ...deps,
        counts: this.#burnPublisher.counts,
        document,
      }),
      keys: this.#keyRing,
      limiter: this.#budgets.limiter,
      sender,
      retries,
      dispatcher,
      operations: deps.parts?.operations
        ? new deps.parts.operations(runner)
        : this.#operations,
      document,
    });
    this.#entryLookup = new EntryLookup({
      clock,
      refreshIntervalMs: cfg.tick_ms,
      own: () => this.#ownEntry(),
      leaving: () => this.#leaving,
      sites: this.#clientSites,
      roster: this.#roster,
      seats: this.#seats,
      steering: this.#steering,
      operations: this.#operations,
    });
    this.#follower = this.#makeFollower();
    this.#peerExchange.register(this.#follower);
    this.#peerExchange.register(this.#platformContact);
    this.#handOverSteps = [
      {
        name: "forwards",
        handOver: () => this.#steering.forwardedRequestsEnded(),
      },
      { name: "operations", handOver: () => this.#operations.handOver() },
      {
        name: "budgets",
        timeoutMs: () => this.#budgets.maxHandOverMs(),
        handOver: () => this.#budgets.handOver(),
      },
      { name: "seats", handOver: () => this.#seats.handOver() },
      { name: "burn", handOver: () => this.#burnPublisher.flush() },
    ];
    this.#tickLoop = this.#makeTickLoop();
  }

  /** Opens the listeners, joins the other instances and starts serving. */
  static async start(deps: InstanceDeps): Promise<Result<Instance, Failure>> {
    const instance = new Instance(deps);
    const opened = await instance.#open();
    if (opened.isErr()) {
      await instance.close();
      return err(opened.error);
    }
    await instance.#join();
    instance.#tickLoop.start();
    deps.log.event("instance_started", { instance: deps.cfg.instance.id });
    return ok(instance);
  }

  /** URL for callers. */
  get callerUrl(): string {
    return this.#listeners.callerUrl;
  }

  /** URL for other instances. */
  get peerUrl(): string {
    return this.#listeners.peerUrl;
  }

  /** URL for operators. */
  get adminUrl(): string {
    return this.#listeners.adminUrl;
  }

  /** Whether a document is in force and the instance is not leaving. */
  get ready(): boolean {
    return this.#serving && !this.#leaving;
  }

  /** Status of this instance, as the admin API reports it. */
  status(): InstanceStatus {
    const { id, zone } = this.#deps.cfg.instance;
    const age = this.#platformContact.ageMs();
    const now = this.#deps.clock.now();
    return {
      instance: id,
      zone,
      generation: this.#follower.generation,
      rejected: this.#follower.rejected,
      contact_age_ms: Number.isFinite(age) ? Math.round(age) : null,
      seats: this.#seats.held(now),
      settled: this.#budgets.settled(now),
      running: this.#requestPath.running,
      leaving: this.#leaving,
      drained: this.#steering.drained,
      drains: this.#steering.drains.progress(),
      members: this.#roster.live().map((m) => m.instance),
      peers: this.#peerStatus(),
    };
  }

  #peerStatus(): PeerStatus {
    return {
      batches_sent: this.#peerExchange.sent,
      listener_bytes: this.#listeners.peerBytes(),
    };
  }

  /** Announces leaving, waits for requests in flight, hands over, then closes. */
  async stop(): Promise<void> {
    this.#leaving = true;
    this.#seats.leave();
    await this.events.emit("leaving");
    await runStopSequence({
      ...this.#deps,
      listeners: this.#listeners,
      running: () => this.#requestsInFlight(),
      announce: async () => {
        await Promise.all([
          this.#deps.platform.announce(this.#ownListing()),
          this.#peerExchange.flush(),
        ]);
      },
      flush: () => this.#peerExchange.flush(),
      handOverSteps: this.#handOverSteps,
      leaveNoticeMs: LEAVE_NOTICE_MS,
    });
    await this.close();
  }

  /** Requests in flight, from callers and from other instances. */
  #requestsInFlight(): number {
    const rows = this.#steering.local.rows();
    return rows.reduce((n, row) => n + row.inFlight, this.#requestPath.running);
  }

  /** Closes immediately and cuts requests in flight. */
  close(): Promise<void> {
    this.#closed ??= this.#close();
    return this.#closed;
  }

  async #close(): Promise<void> {
    this.#tickLoop.close();
    this.#follower.close();
    this.#budgets.close();
    await this.#listeners.close();
    await this.#deps.transport.close();
    await this.#deps.endpoints.close();
    await this.#deps.platform.close();
    await this.#deps.metrics.close();
  }

  /**
   * Adopts the newest document of the store and all peers before serving;
   * otherwise a stale store read could make a withdrawn key valid here again.
   */
  async #join(): Promise<void> {
    const { platform } = this.#deps;
    await platform.announce(this.#ownListing());
    const [listed] = await Promise.all([
      platform.instances(),
      this.#follower.start(),
    ]);
    if (listed.isOk()) this.#roster.applyList(listed.value);
    await this.#peerExchange.flush();
    await this.#follower.settled();
    this.#joined = true;
  }

  #open(): Promise<Result<void, Failure>> {
    return this.#listeners.open({
      caller: callerApp({
        path: this.#requestPath,
        lookup: (client) => this.#entryLookup.answer(client),
        ready: () => this.#serving,
      }),
      admin: this.#adminApp(),
      forwards: this.#forwardApp(),
      batch: (batch) => this.#peerExchange.answer(batch),
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
    const contact = this.#platformContact;
    const { id, zone } = cfg.instance;
    return createFollower(this.#deps.parts, {
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
        const zonePeers = this.#roster.live().filter((m) => m.zone === zone);
        const members = [id, ...zonePeers.map((m) => m.instance)];
        return rendezvousOwner(`watch ${zone}`, members) === id;
      },
      onDocument: (accepted) => this.#adopt(accepted),
    });
  }

  /** Registers the tasks of each tick, in order. */
  #makeTickLoop(): TickLoop {
    const { cfg, clock, log } = this.#deps;
    const tickLoop = new TickLoop(clock, log, cfg.tick_ms);
    tickLoop.add(this.#budgets);
    tickLoop.add(this.#clientSites);
    tickLoop.add({ name: "peers", run: () => this.#peerExchange.run() });
    tickLoop.add({ name: "seats", run: (now) => this.#seats.run(now) });
    tickLoop.add({
      name: "operations",
      run: (now) => this.#operations.sweep(now),
    });
    tickLoop.add({
      name: "steering",
      run: (now) => this.#steering.tick(now),
    });
    tickLoop.add({ name: "burn", run: (now) => this.#burnPublisher.run(now) });
    tickLoop.add(this.#roster);
    tickLoop.add(
      new InstanceListPoller({
        ...this.#deps,
        instance: cfg.instance.id,
        zone: cfg.instance.zone,
        roster: this.#roster,
      }),
    );
    return tickLoop;
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
    const { forwardedAdmission, links, loadExchange } = this.#steering;
    return forwardApp({
      ...this.#deps,
      admission: forwardedAdmission,
      links,
      region: this.#deps.cfg.instance.region,
      peerOf: (identity) => loadExchange.findPeer(identity),
    });
  }

  #adopt(accepted: AcceptedDocument): void {
    const now = this.#deps.clock.now();
    this.#document = accepted.document;
    this.#keyRing.adopt(accepted.document);
    this.#clientSites.adopt(accepted.document);
    if (!this.#joined) this.#clientSites.rebuildAll();
    this.#budgets.adopt(accepted.document, accepted.manifest.generation);
    this.#steering.adopt(accepted.document, now);
    this.#operations.adopt(zonesOf(accepted.document));
    void this.events.emit("document", accepted);
  }

  #ownEntry(): EntryChoice {
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

  #ownListing(): ListedInstance {
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
