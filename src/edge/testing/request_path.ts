/**
 * The request path of one instance without listeners, for tests.
 *
 * @module
 */
import {
  type EndpointId,
  type InstanceId,
  ManualClock,
  MemoryMetrics,
  type RegionId,
  SeededRandom,
  SilentLog,
  type ZoneId,
} from "../../core/mod.ts";
import { AffinityPlacement } from "../../decisions/placement/mod.ts";
import { AccountQuotas } from "../../decisions/quotas/mod.ts";
import {
  type RetryAllowance,
  SharedRetryBudget,
} from "../../decisions/retries/mod.ts";
import { StartGate } from "../../decisions/starting/mod.ts";
import type {
  EndpointRecord,
  EndpointRow,
  TrafficPlan,
} from "../../traffic/mod.ts";
import { Admission } from "../admission.ts";
import { LinkChecker, type LinkState } from "../../decisions/links/mod.ts";
import type { InstanceProfile } from "../../fleet/mod.ts";
import type { Hop } from "../hop_headers.ts";
import { EndpointLimits } from "../endpoint_limits.ts";
import { EndpointChooser } from "../endpoint_chooser.ts";
import { EndpointRetries } from "../endpoint_retries.ts";
import { EndpointSignals } from "../endpoint_signals.ts";
import { AccessLog } from "../access_log.ts";
import { PeerForwarder } from "../peer_forwarder.ts";
import type { RequestFields, ResponseFields } from "../request_codec.ts";
import type { FlowResult } from "../flow_result.ts";
import { RequestFlow } from "../request_flow.ts";
import { PlainCodec } from "./plain_codec.ts";
import { ScriptedSender, shed } from "./scripted_sender.ts";
import { endpoint, plan } from "./traffic_fixtures.ts";
import { RecordedLog } from "./recorded_log.ts";
import { TrafficState } from "../traffic_state.ts";

export const R1 = "r1" as RegionId;
export const R2 = "r2" as RegionId;
const REGIONS = new Map([["z1", R1], ["z2", R2]]) as Map<ZoneId, RegionId>;

/** What a test sets instead of the defaults. */
export interface RequestPathSetup {
  readonly plan?: Partial<TrafficPlan> | "none";
  readonly endpoints?: readonly Partial<EndpointRecord>[];
  readonly sender?: ScriptedSender;
  /** Other instances that are serving, by id. */
  readonly peers?: readonly string[];
  /** Results of requests that are passed on. */
  readonly peerSender?: ScriptedSender;
  readonly retries?: RetryAllowance;
}

/** The request path of one instance, without listeners. */
export class RequestPath {
  readonly clock = new ManualClock();
  readonly log = new RecordedLog();
  readonly metrics = new MemoryMetrics();
  readonly state: TrafficState;
  readonly sender: ScriptedSender;
  readonly gone = new AbortController();
  readonly gate: StartGate;
  readonly signals: EndpointSignals;
  readonly links: LinkChecker<EndpointRow>;
  readonly peerSender: ScriptedSender;
  /** Set by tests of an event loop that is behind. */
  readonly reads = { isLate: false, nextRead: () => Promise.resolve() };
  /** Whether probes reach their endpoints; they do not end if undefined. */
  reachesEndpoints: boolean | undefined = true;
  readonly #flow: RequestFlow;
  readonly #quotas: AccountQuotas;
  readonly #limits: EndpointLimits;
  readonly #chooser: EndpointChooser;

  constructor(setup: RequestPathSetup = {}) {
    const { clock } = this;
    this.sender = setup.sender ?? new ScriptedSender();
    this.state = new TrafficState((zone) => REGIONS.get(zone), {
      added: () => {},
      removed: (row) => this.#chooser?.remove(row),
    });
    if (setup.plan !== "none") this.state.adopt(plan(setup.plan));
    const two = [{ id: "e1" as EndpointId }, { id: "e2" as EndpointId }];
    for (const record of setup.endpoints ?? two) {
      this.state.endpoints.put(endpoint(record), 0);
    }
    const fleetSize = () => 1;
    const quotas = new AccountQuotas("i1" as InstanceId, { fleetSize });
    quotas.adopt(this.state.routeTable?.plan.accounts ?? [], 0);
    const limits = new EndpointLimits({
      own: "i1" as InstanceId,
      demand: quotas.demand,
      gossipDelayMs: () => 0,
      isFleetKnown: () => true,
      viewAgeMs: () => undefined,
      clock,
      log: new SilentLog(),
      metrics: new MemoryMetrics(),
    });
    this.#quotas = quotas;
    this.#limits = limits;
    this.signals = new EndpointSignals({
      endpoints: this.state.endpoints,
      limits,
      clock,
      log: this.log,
      metrics: new MemoryMetrics(),
    });
    this.gate = new StartGate(clock);
    if (setup.plan !== "none") this.gate.open();
    this.#chooser = new EndpointChooser({
      state: this.state,
      signals: this.signals,
      placement: new AffinityPlacement(),
      limits,
      fleetSize,
      isFleetKnown: () => true,
      own: "i1" as InstanceId,
      region: R1,
      regions: [R1, R2],
    });
    this.peerSender = setup.peerSender ?? new ScriptedSender();
    this.links = new LinkChecker({
      endpoints: () => this.state.endpoints.rows(),
      probe: () =>
        this.reachesEndpoints === undefined
          ? new Promise(() => {})
          : Promise.resolve(this.reachesEndpoints),
      onChange: (since) => this.#chooser.linksLost(since),
      servingPeers: () => setup.peers?.length ?? 0,
      clock,
      log: this.log,
      metrics: new MemoryMetrics(),
    });
    this.#flow = new RequestFlow({
      links: this.links,
      forwarder: new PeerForwarder({
        own: "i1" as InstanceId,
        peersFor: () => (setup.peers ?? []).map(peerProfile),
        sender: this.peerSender,
        codec: new PlainCodec(),
        clock,
        random: new SeededRandom(1),
      }),
      planVersion: () => this.state.planVersion,
      gate: this.gate,
      admission: new Admission(this.state, quotas, clock),
      chooser: this.#chooser,
      signals: this.signals,
      sender: this.sender,
      codec: new PlainCodec(),
      retries: new EndpointRetries({
        budget: new SharedRetryBudget(
          setup.retries ?? { ratio: 2, slack: 100, windowMs: 10_000 },
          this.clock.now(),
        ),
        fleetSize,
        isFleetKnown: () => true,
        clock,
        log: this.log,
        metrics: this.metrics,
      }),
      accessLog: new AccessLog({
        clock,
        log: new SilentLog(),
        metrics: new MemoryMetrics(),
        planVersion: () => this.state.planVersion,
        limitOf: (id) => limits.limitOf(id),
      }),
      reads: this.reads,
      clock,
    });
  }

  /** The row of an endpoint that is listed. */
  row(id: string): EndpointRow {
    return this.state.endpoints.get(id as EndpointId)!;
  }

  /** Applies the header of a refusal of an endpoint. */
  receive(id: string, fields: Partial<ResponseFields>): void {
    const result = shed(fields);
    if (result.kind !== "not-run") return;
    this.signals.received(this.row(id), result.fields);
  }

  /** Runs one gossip period. */
  tick(): void {
    this.#quotas.tick(this.clock.now());
  }

  /** Endpoints that have a limit. */
  limited(): string[] {
    return [...this.state.endpoints.rows()].map(({ id }) => id)
      .filter((id) => this.#limits.limitOf(id) !== undefined);
  }

  /** Requests that peers learn were sent to endpoints with a limit. */
  reported(): number {
    return [...this.#limits.uses().values()]
      .reduce((sum, { admitted }) => sum + admitted, 0);
  }

  /** Lets new connections to two endpoints fail, which starts a check. */
  failConnections(): void {
    for (const address of ["a", "b"]) {
      this.links.observer.sent();
      const outcome = "failure" as const;
      this.links.observer.ended({ address, outcome, isNewConnection: true });
    }
  }

  /** Lets an open connection respond. */
  respondOnOpenConnection(): void {
    this.links.observer.sent();
    const outcome = "response" as const;
    this.links.observer.ended({
      address: "a",
      outcome,
      isNewConnection: false,
    });
  }

  /** Lets the links be checked until they are in a state. */
  async linksAre(state: LinkState): Promise<void> {
    this.reachesEndpoints = state === "up";
    if (state !== "up") this.failConnections();
    this.links.start();
    for (let i = 0; this.links.state !== state && i < 20; i++) {
      this.clock.advance(250);
      for (let step = 0; step < 5; step++) await Promise.resolve();
    }
  }

  send(
    fields: Partial<RequestFields> = {},
    opts: { readonly hop?: Hop } = {},
  ): Promise<FlowResult> {
    return this.#flow.handle({
      ...opts,
      method: "GET",
      headers: [],
      fields: {
        requestId: "q1",
        host: "h",
        path: "/p/1",
        key: "k",
        affinityKey: "o1",
        clientTimeoutMs: 1_000,
        ...fields,
      },
      body: undefined,
      mayBuffer: () => true,
      arrivedAt: this.clock.now(),
      signal: this.gone.signal,
    });
  }
}

/** An instance of region `r1`. */
function peerProfile(id: string): InstanceProfile {
  return {
    id: id as InstanceId,
    zone: "z1" as ZoneId,
    region: R1,
    callerAddress: `${id}:1`,
    digestAddress: `${id}:2`,
  };
}

/** The result as text. */
export function outcomeOf(result: FlowResult): string {
  if (result.kind === "answer") return `answer ${result.status}`;
  if (result.kind === "gone") return "gone";
  const { code, outcome } = result.failure;
  return outcome === undefined ? code : `${code} ${outcome}`;
}
