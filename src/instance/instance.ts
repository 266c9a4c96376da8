/**
 * One entry instance: tables, the systems that run over them each tick, and
 * the listeners.
 *
 * @module
 */
import Emittery from "emittery";
import { err, ok, type Result } from "neverthrow";
import { adminApp, type InstanceStatus } from "../admin/mod.ts";
import type { Clock, Failure, Log, Metrics, Random } from "../core/mod.ts";
import { chooseEntries, type EntryChoice } from "../decisions/lookup/mod.ts";
import {
  connectionPart,
  FairDispatcher,
  ProbeSchedule,
} from "../decisions/steering/mod.ts";
import {
  type AcceptedDocument,
  DocumentStore,
  emptyDocument,
  type SteeringDocument,
} from "../document/mod.ts";
import { type EndpointClient, Prober } from "../endpoints/mod.ts";
import {
  callerApp,
  KeyRing,
  type LookupAnswer,
  OperationDispatch,
  RequestPath,
} from "../gateway/mod.ts";
import type { Sender } from "../gen/peer_pb.ts";
import { SenderSchema } from "../gen/peer_pb.ts";
import { create } from "@bufbuild/protobuf";
import { LeasedSeats, Roster } from "../membership/mod.ts";
import { HomeOperations } from "../operations/mod.ts";
import {
  PeerExchange,
  peerListener,
  type PeerTransport,
} from "../peers/mod.ts";
import type { ListedInstance, Platform } from "../platform/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { DocumentFollower } from "./document_follower.ts";
import { FleetBudgets } from "./fleet_budgets.ts";
import { Listener } from "./listener.ts";
import { LoadExchange } from "./load_exchange.ts";
import { TickLoop } from "./tick_loop.ts";

/** All that an instance is handed; nothing is global. */
export interface InstanceDeps {
  readonly cfg: Settings;
  readonly platform: Platform;
  readonly transport: PeerTransport;
  readonly endpoints: EndpointClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly log: Log;
}

/** What an instance tells those who listen. */
export interface InstanceEvents {
  document: AcceptedDocument;
  leaving: undefined;
}

interface Listeners {
  readonly caller: Listener;
  readonly peer: Listener;
  readonly admin: Listener;
}

const LOOKUP_REUSE_MS = 2_000;
const LIST_EVERY_MS = 1_000;
const INCARNATION_BYTES = 8;
/** Callers hold a look-up's answer this long; then they know of the leaving. */
const LEAVE_NOTICE_MS = LOOKUP_REUSE_MS;

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
  readonly #incarnation: string;
  readonly #keys = new KeyRing();
  readonly #budgets: FleetBudgets;
  readonly #dispatcher: FairDispatcher;
  readonly #prober: Prober;
  readonly #roster: Roster;
  readonly #seats: LeasedSeats;
  readonly #exchange: PeerExchange;
  readonly #operations: HomeOperations;
  readonly #path: RequestPath;
  readonly #follower: DocumentFollower;
  readonly #ticks: TickLoop;
  #document: SteeringDocument = emptyDocument();
  #listeners: Listeners | undefined;
  #leaving = false;
  #listedAt = -Infinity;

  private constructor(deps: InstanceDeps) {
    const { cfg, clock, log, platform, random } = deps;
    this.#deps = deps;
    this.#incarnation = random.hex(INCARNATION_BYTES);
    this.#roster = new Roster(clock, cfg.instance.id);
    this.#seats = new LeasedSeats({
      ...deps,
      instance: cfg.instance.id,
      zone: cfg.instance.zone,
      incarnation: this.#incarnation,
      log: log.child("seats"),
      document: () => this.#document,
    });
    this.#budgets = this.#makeBudgets();
    this.#dispatcher = new FairDispatcher({
      ...deps,
      zone: cfg.instance.zone,
      limits: this.#budgets.slotLimits,
    });
    this.#prober = this.#makeProber();
    this.#exchange = new PeerExchange({
      transport: deps.transport,
      log: log.child("peers"),
      self: () => this.#sender(),
      peers: () => this.#roster.members(),
    });
    this.#exchange.register(this.#roster);
    this.#exchange.register(this.#seats);
    this.#exchange.register(this.#budgets);
    const document = () => this.#document;
    this.#operations = new HomeOperations({
      ...deps,
      log: log.child("operations"),
      self: {
        ...cfg.instance,
        instance: cfg.instance.id,
        incarnation: this.#incarnation,
      },
      seats: this.#seats,
      runner: new OperationDispatch({
        ...deps,
        dispatcher: this.#dispatcher,
        document,
      }),
    });
    this.#exchange.register(this.#operations);
    this.#exchange.register(
      new LoadExchange({
        zone: cfg.instance.zone,
        prober: this.#prober,
        zoneOf: (id) =>
          this.#roster.members().find((m) => m.instance === id)?.zone,
      }),
    );
    this.#path = new RequestPath({
      ...deps,
      keys: this.#keys,
      limiter: this.#budgets.limiter,
      dispatcher: this.#dispatcher,
      operations: this.#operations,
      document,
    });
    this.#follower = new DocumentFollower({
      platform,
      clock,
      log: log.child("document"),
      store: new DocumentStore({ platform, clock, random }),
      onDocument: (accepted) => this.#adopt(accepted),
    });
    this.#ticks = new TickLoop(clock, log, cfg.tick_ms);
    this.#ticks.add(this.#budgets);
    this.#ticks.add({ name: "peers", run: () => this.#exchange.run() });
    this.#ticks.add({ name: "seats", run: (now) => this.#seats.run(now) });
    this.#ticks.add({
      name: "operations",
      run: (now) => this.#operations.sweep(now),
    });
    this.#ticks.add({
      name: "dispatcher",
      run: (now) => this.#dispatcher.tick(now),
    });
    this.#ticks.add({ name: "probes", run: (now) => this.#prober.tick(now) });
    this.#ticks.add({ name: "list", run: (now) => this.#readList(now) });
  }

  /** Opens the listeners, joins the others and begins to serve. */
  static async start(deps: InstanceDeps): Promise<Result<Instance, Failure>> {
    const instance = new Instance(deps);
    const opened = await instance.#open();
    if (opened.isErr()) {
      await instance.close();
      return err(opened.error);
    }
    await deps.platform.announce(instance.#listed());
    await instance.#follower.start();
    instance.#ticks.start();
    deps.log.event("instance_started", { instance: deps.cfg.instance.id });
    return ok(instance);
  }

  /** Where callers reach this instance. */
  get callerUrl(): string {
    return this.#listeners?.caller.url ?? "";
  }

  /** Where operators reach this instance. */
  get adminUrl(): string {
    return this.#listeners?.admin.url ?? "";
  }

  /** Whether a document is in force and the instance is not leaving. */
  get ready(): boolean {
    return this.#follower.generation > 0 && !this.#leaving;
  }

  /** What this instance says of itself. */
  status(): InstanceStatus {
    const { id, zone } = this.#deps.cfg.instance;
    return {
      instance: id,
      zone,
      generation: this.#follower.generation,
      running: this.#path.running,
      leaving: this.#leaving,
      members: this.#roster.live().map((m) => m.instance),
    };
  }

  /** Announces leaving, lets running work end, then closes. */
  async stop(): Promise<void> {
    this.#leaving = true;
    this.#seats.leave();
    await this.events.emit("leaving");
    await this.#deps.platform.announce(this.#listed());
    await this.#wait(LEAVE_NOTICE_MS);
    await this.#listeners?.caller.drain();
    await this.#seats.handOver();
    await this.#exchange.flush();
    await this.close();
  }

  /** Ends at once, cutting what runs. */
  async close(): Promise<void> {
    this.#ticks.close();
    this.#follower.close();
    this.#budgets.close();
    const { caller, peer, admin } = this.#listeners ?? {};
    await Promise.all([caller?.close(), peer?.close(), admin?.close()]);
    await this.#deps.transport.close();
    await this.#deps.endpoints.close();
    await this.#deps.platform.close();
    await this.#deps.metrics.close();
  }

  async #open(): Promise<Result<void, Failure>> {
    const { cfg } = this.#deps;
    const caller = await Listener.open(
      cfg.caller,
      callerApp({
        path: this.#path,
        lookup: () => this.#lookup(),
        ready: () => this.#follower.generation > 0,
      }),
    );
    if (caller.isErr()) return err(caller.error);
    const peer = await Listener.open(
      cfg.peer,
      peerListener((batch) => this.#exchange.answer(batch), {
        ledger: this.#operations,
        borrow: (call) => this.#budgets.answer(call),
      }),
    );
    if (peer.isErr()) return err(peer.error);
    const admin = await Listener.open(
      cfg.admin,
      adminApp({ ready: () => this.ready, status: () => this.status() }),
    );
    if (admin.isErr()) return err(admin.error);
    this.#listeners = {
      caller: caller.value,
      peer: peer.value,
      admin: admin.value,
    };
    return ok(undefined);
  }

  #makeBudgets(): FleetBudgets {
    const { clock, cfg, transport } = this.#deps;
    const { id, zone, region } = cfg.instance;
    const incarnation = this.#incarnation;
    return new FleetBudgets({
      self: { instance: id, incarnation, zone, region },
      clock,
      seats: this.#seats,
      transport,
      peers: () => this.#roster.live(),
      inFlight: (endpoint) => this.#dispatcher.inFlight(endpoint),
    });
  }

  #makeProber(): Prober {
    const { cfg, clock, metrics, random, endpoints } = this.#deps;
    const { id, zone } = cfg.instance;
    return new Prober({
      clock,
      metrics,
      client: endpoints,
      schedule: new ProbeSchedule(id, random),
      targets: () =>
        this.#dispatcher.rows().map((row) => ({
          id: row.id,
          url: row.entry.url,
          connectionFree:
            row.inFlight < connectionPart(row.entry, row.slotLimit),
        })),
      zoneMates: () =>
        this.#roster.live().filter((m) => m.zone === zone)
          .map((m) => m.instance),
      onHint: (endpoint, hint) => this.#dispatcher.hint(endpoint, hint),
    });
  }

  #adopt(accepted: AcceptedDocument): void {
    const now = this.#deps.clock.now();
    this.#document = accepted.document;
    this.#keys.adopt(accepted.document);
    this.#budgets.adopt(accepted.document, accepted.manifest.generation);
    this.#dispatcher.adopt(accepted.document, now);
    void this.events.emit("document", accepted);
  }

  #lookup(): LookupAnswer {
    const { zone, region } = this.#deps.cfg.instance;
    const others: EntryChoice[] = this.#roster.live()
      .map((m) => ({ ...m, url: m.callerUrl }));
    const candidates = this.#leaving ? others : [...others, this.#self()];
    const instances = chooseEntries(
      { zone, region, candidates },
      this.#deps.random,
    ).map(({ instance, url, zone, region }) => {
      const home = this.#operations.homeOf(instance);
      return { instance, url, zone, region, ...(home ? { home } : {}) };
    });
    return { reuse_ms: LOOKUP_REUSE_MS, instances };
  }

  #self(): EntryChoice {
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
      peerUrl: this.#listeners?.peer.url ?? "",
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
      peerUrl: this.#listeners?.peer.url ?? "",
      callerUrl: this.callerUrl,
      state: this.#leaving ? "leaving" : "live",
    };
  }

  #readList(now: number): void {
    if (now - this.#listedAt < LIST_EVERY_MS) return;
    this.#listedAt = now;
    void this.#deps.platform.instances().then((listed) => {
      if (listed.isOk()) this.#roster.adoptList(listed.value);
    });
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.#deps.clock.after(ms, resolve));
  }
}
