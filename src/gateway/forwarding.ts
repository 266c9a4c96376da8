/**
 * Requests forwarded between entry instances: the sending side.
 *
 * A forwarded request carries the account that the first instance found for
 * the key, never the key, and the remaining time. Only peers may use the
 * forwarding path, and they never forward such a request again, so that no
 * request can loop.
 *
 * @module
 */
import { Readable } from "node:stream";
import { fail, type Failure, type ServiceId } from "../core/mod.ts";
import type { Slot } from "../decisions/steering/mod.ts";
import type { EndpointAnswer, Headers } from "../endpoints/mod.ts";
import { ok, type Result } from "neverthrow";
import { OUTCOME_HEADER } from "./headers.ts";
import { type PacedLink, PacedStream } from "./pacing.ts";

/** Path under which peers accept forwarded requests. */
export const FORWARD_PATH = "/v1/forward";
/** Marks a request that has been forwarded once. */
export const HOP_HEADER = "x-magnoliahook-hop";
/** Id of the forwarding instance. */
export const FROM_HEADER = "x-magnoliahook-from";
/** Incarnation of the forwarding instance, as in its gossip. */
export const INCARNATION_HEADER = "x-magnoliahook-incarnation";
/** Class of work, by the first instance's document. */
export const WORK_HEADER = "x-magnoliahook-work";
/** Whether the request is idempotent. */
export const IDEMPOTENT_HEADER = "x-magnoliahook-idempotent";

/** Identity that an instance presents to its peers. */
export interface ForwardIdentity {
  readonly instance: string;
  readonly incarnation: string;
}

/** Headers that are added to a forwarded request. */
export function forwardHeaders(
  self: ForwardIdentity,
  req: { work?: string; idempotent: boolean },
): Headers {
  return {
    [HOP_HEADER]: "1",
    [FROM_HEADER]: self.instance,
    [INCARNATION_HEADER]: self.incarnation,
    [WORK_HEADER]: req.work ?? "",
    [IDEMPOTENT_HEADER]: String(req.idempotent),
  };
}

/** The request's path at the slot's address; prefixed if it is forwarded. */
export function slotPath(slot: Slot, service: ServiceId, path: string): string {
  return slot.forward ? `${FORWARD_PATH}/${service}${path}` : path;
}

/** Limits a body to this instance's share of a link's bandwidth. */
export function pacedBody(
  body: Readable | Uint8Array,
  link: PacedLink,
): Readable {
  const source = body instanceof Readable ? body : Readable.from([body]);
  const paced = new PacedStream(link);
  source.once("error", (cause) => paced.destroy(cause));
  return source.pipe(paced);
}

/**
 * Turns a peer's own failure into a failure; an endpoint's response passes.
 * Only peers can set the header: it is stripped from endpoints' responses.
 */
export function checkPeerFailure(
  answer: EndpointAnswer,
): Result<EndpointAnswer, Failure> {
  if (answer.headers[OUTCOME_HEADER] === undefined) return ok(answer);
  answer.body.resume();
  const timedOut = answer.status === GATEWAY_TIMEOUT;
  const code = timedOut ? "deadline_exceeded" : "endpoint_failed";
  return fail(code, "the request failed behind another entry instance", {
    outcome: "unknown",
  });
}

const GATEWAY_TIMEOUT = 504;
