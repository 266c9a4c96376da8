/**
 * A caller's request and its context: route, account, deadline, attempts.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { CancelSignal, RegionId, ServiceId } from "../core/mod.ts";
import type { Account, EndpointRow, Route } from "../traffic/mod.ts";
import type { RawHeaders, RequestFields } from "./request_codec.ts";

/** A caller's request with its complete body. */
export interface CallerRequest {
  readonly method: string;
  readonly headers: RawHeaders;
  readonly fields: RequestFields;
  readonly body: Buffer | undefined;
  /** When its header arrived, on the instance's clock. */
  readonly arrivedAt: number;
  /** Aborted when the caller disconnects. */
  readonly signal: CancelSignal;
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
  /** Why the last endpoint was chosen. */
  chosenBy: string;
  /** Whether an endpoint may have run it. */
  mayHaveRun: boolean;
}
