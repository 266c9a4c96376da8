/**
 * The dispatcher interface: selects an endpoint for a request and reserves a
 * concurrency slot there.
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

/** The properties of a request that endpoint selection depends on. */
export interface SteeringRequest {
  readonly service: ServiceId;
  readonly account: AccountId;
  readonly idempotent: boolean;
  /** When the request's deadline expires, on the same clock as `now`. */
  readonly deadline: number;
  /** Endpoints that earlier attempts of this request used. */
  readonly exclude?: ReadonlySet<EndpointId>;
  /** Class of work, such as the route; durations are estimated per class. */
  readonly work?: string;
}

/**
 * Result of a request at an endpoint. After `failed`, `timeout` and
 * `cancelled` the endpoint may still be running it.
 */
export type WorkResult = "ok" | "failed" | "shed" | "cancelled" | "timeout";

/** What an endpoint states about itself in a response. */
export interface EndpointStatement {
  /** How long it wants no requests from this instance, in milliseconds. */
  readonly retryAfterMs: number | undefined;
  /** Whether it leaves and wants no new requests. */
  readonly leaving: boolean;
}

/** Route to a slot that is reached through another entry instance. */
export interface ForwardRoute {
  readonly instance: InstanceId;
  readonly region: RegionId;
  /** Whether the route uses a link between regions. */
  readonly crossesLink: boolean;
}

/** A concurrency slot at an endpoint, held until `release`. */
export interface Slot {
  readonly endpoint: EndpointId;
  readonly url: string;
  readonly zone: ZoneId;
  /** Set if `url` is that of an instance that forwards the request. */
  readonly forward?: ForwardRoute;
  /** Marks the start of the response; the rest is the caller's reading pace. */
  answered(now: number): void;
  /** Applies what the endpoint states in its response. */
  stated(statement: EndpointStatement, now: number): void;
  /** Releases the slot; repeated calls have no effect. */
  release(result: WorkResult, now: number): void;
}

/** Reserves concurrency slots at endpoints. */
export interface Dispatcher {
  adopt(document: SteeringDocument, now: number): void;
  /**
   * Reserves a slot, at once or after waiting at most until the deadline.
   *
   * Failures: `no_endpoint`, `no_capacity`, `deadline_exceeded`, `cancelled`;
   * all are `not-run`.
   */
  acquire(
    req: SteeringRequest,
    signal?: AbortSignal,
  ): Promise<Result<Slot, Failure>>;
  /** Refreshes limits and retries waiting requests; called once a tick. */
  tick(now: number): void;
}
