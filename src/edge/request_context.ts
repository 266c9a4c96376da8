/**
 * A caller's request and its context: route, account, deadline, attempts.
 *
 * @module
 */
import type {
  CancelSignal,
  InstanceId,
  RegionId,
  ServiceId,
} from "../core/mod.ts";
import type { Account, EndpointRow, Route } from "../traffic/mod.ts";
import type { RetryDecision } from "./endpoint_retries.ts";
import type { HeldBody } from "./held_body.ts";
import type { Hop } from "./hop_headers.ts";
import type { RawHeaders, RequestFields } from "./request_codec.ts";

/** A caller's request with its complete body. */
export interface CallerRequest {
  readonly method: string;
  readonly headers: RawHeaders;
  readonly fields: RequestFields;
  readonly body: HeldBody | undefined;
  /** Takes memory for bytes of the response; false if it is to be streamed. */
  readonly mayBuffer: (bytes: number) => boolean;
  /** When its header arrived, on the instance's clock. */
  readonly arrivedAt: number;
  /** Aborted when the caller disconnects. */
  readonly signal: CancelSignal;
  /** The instance that passed the request on; undefined if a caller sent it. */
  readonly hop?: Hop | undefined;
}

/** An admitted request. */
export interface RequestContext {
  readonly req: CallerRequest;
  readonly route: Route;
  readonly account: Account | undefined;
  readonly service: ServiceId;
  /** Regions allowed to serve it; all if undefined. */
  readonly regions: ReadonlySet<RegionId> | undefined;
  /** When the response is due, on the instance's clock. */
  readonly deadline: number;
  readonly planVersion: number;
  /** Endpoints that were tried. */
  readonly tried: Set<EndpointRow>;
  /** Attempts that may have reached an endpoint, those of an earlier hop too. */
  arrivals: number;
  /** The last further attempt; by an earlier hop, one for the reason `peer`. */
  lastRetry: RetryDecision;
  /** Instances to which it was passed on. */
  readonly peersTried: Set<InstanceId>;
  /** Why the last endpoint was chosen. */
  chosenBy: string;
  /** Whether a retry budget has counted it. */
  counted: boolean;
  /** Whether an endpoint may have run it. */
  mayHaveRun: boolean;
}
