/**
 * Which endpoint a request goes to, and whether there is room for it.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type {
  AccountId,
  EndpointId,
  Failure,
  InstanceId,
  RegionId,
  ServiceId,
  ZoneId,
} from "../../core/mod.ts";
import type { SteeringDocument } from "../../document/mod.ts";

/** A request as the decision sees it. */
export interface SteeringRequest {
  readonly service: ServiceId;
  readonly account: AccountId;
  readonly idempotent: boolean;
  /** When the caller's patience ends, on the clock of `now`. */
  readonly deadline: number;
  /** Endpoints that this request was already tried at. */
  readonly exclude?: ReadonlySet<EndpointId>;
  /** Kind of work, such as its route; times are learned for each kind. */
  readonly work?: string;
}

/**
 * What became of work at an endpoint. After `failed`, `timeout` and
 * `cancelled` the endpoint may still be running it.
 */
export type WorkResult = "ok" | "failed" | "shed" | "cancelled" | "timeout";

/** That a slot lies behind another entry instance. */
export interface ForwardRoute {
  readonly instance: InstanceId;
  readonly region: RegionId;
  /** Whether a link between regions lies on the way. */
  readonly crossesLink: boolean;
}

/** A slot at an endpoint, held until `release`. */
export interface Slot {
  readonly endpoint: EndpointId;
  readonly url: string;
  readonly zone: ZoneId;
  /** Set where `url` is that of an instance which passes the request on. */
  readonly forward?: ForwardRoute;
  /** Tells that the answer began; what follows is the caller's reading pace. */
  answered(now: number): void;
  /** Gives the slot back; only the first call counts. */
  release(result: WorkResult, now: number): void;
}

/** Hands out slots of healthy endpoints with room. */
export interface Dispatcher {
  adopt(document: SteeringDocument, now: number): void;
  /**
   * A slot, now or after a wait that ends before the deadline.
   *
   * Failures: `no_endpoint`, `no_capacity`, `deadline_exceeded`, `cancelled`;
   * all are `not-run`.
   */
  acquire(
    req: SteeringRequest,
    signal?: AbortSignal,
  ): Promise<Result<Slot, Failure>>;
  /** Looks at limits and waiting requests again; run once a tick. */
  tick(now: number): void;
}
