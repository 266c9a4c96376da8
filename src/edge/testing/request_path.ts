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
  SilentLog,
  type ZoneId,
} from "../../core/mod.ts";
import { AffinityPlacement } from "../../decisions/placement/mod.ts";
import { AccountQuotas } from "../../decisions/quotas/mod.ts";
import { SharedRetryBudget } from "../../decisions/retries/mod.ts";
import { StartGate } from "../../decisions/starting/mod.ts";
import type {
  EndpointRecord,
  EndpointRow,
  TrafficPlan,
} from "../../traffic/mod.ts";
import { Admission } from "../admission.ts";
import { EndpointLimits } from "../endpoint_limits.ts";
import { EndpointChooser } from "../endpoint_chooser.ts";
import { EndpointSignals } from "../endpoint_signals.ts";
import { AccessLog } from "../access_log.ts";
import type { RequestFields, ResponseFields } from "../request_codec.ts";
import { type FlowResult, RequestFlow } from "../request_flow.ts";
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
}

/** The request path of one instance, without listeners. */
export class RequestPath {
  readonly clock = new ManualClock();
  readonly log = new RecordedLog();
  readonly state: TrafficState;
  readonly sender: ScriptedSender;
  readonly gone = new AbortController();
  readonly gate: StartGate;
  readonly signals: EndpointSignals;
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
      own: "i1" as InstanceId,
      region: R1,
      regions: [R1, R2],
    });
    this.#flow = new RequestFlow({
      gate: this.gate,
      admission: new Admission(this.state, quotas, clock),
      chooser: this.#chooser,
      signals: this.signals,
      sender: this.sender,
      codec: new PlainCodec(),
      retries: new SharedRetryBudget({
        ratio: 1,
        slack: 10,
        windowMs: 10_000,
      }),
      fleetSize,
      accessLog: new AccessLog({
        clock,
        log: new SilentLog(),
        metrics: new MemoryMetrics(),
        planVersion: () => this.state.planVersion,
        limitOf: (id) => limits.limitOf(id),
      }),
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

  send(fields: Partial<RequestFields> = {}): Promise<FlowResult> {
    return this.#flow.handle({
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
      arrivedAt: this.clock.now(),
      signal: this.gone.signal,
    });
  }
}

/** The result as text. */
export function outcomeOf(result: FlowResult): string {
  if (result.kind === "answer") return `answer ${result.status}`;
  if (result.kind === "gone") return "gone";
  const { code, outcome } = result.failure;
  return outcome === undefined ? code : `${code} ${outcome}`;
}
