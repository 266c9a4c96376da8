/**
 * Requests between entry instances: the sending side.
 *
 * A forwarded request carries the account that the first instance found for
 * the key, never the key, and the time that is left. The path under which it
 * travels is served by peers alone and is never forwarded again, so no request
 * can circle.
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

/** Path under which peers take forwarded requests. */
export const FORWARD_PATH = "/v1/forward";
/** Marks a request that has already been passed on once. */
export const HOP_HEADER = "x-magnoliahook-hop";
/** The instance that forwards. */
export const FROM_HEADER = "x-magnoliahook-from";
/** The life of that instance, as its batches name it. */
export const INCARNATION_HEADER = "x-magnoliahook-incarnation";
/** Kind of work, as the first instance's document names it. */
export const WORK_HEADER = "x-magnoliahook-work";
/** Whether running the request twice does no harm. */
export const IDEMPOTENT_HEADER = "x-magnoliahook-idempotent";

/** How an instance names itself to its peers. */
export interface ForwardIdentity {
  readonly instance: string;
  readonly incarnation: string;
}

/** What is told of a forwarded request beside its own headers. */
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

/** The path of a request at the slot's address. */
export function pathAt(slot: Slot, service: ServiceId, path: string): string {
  return slot.forward ? `${FORWARD_PATH}/${service}${path}` : path;
}

/** A body that goes over a link no faster than it may. */
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
 * Tells a peer's own failure from the answer of the endpoint behind it. Only
 * peers can set the header: it is taken off what endpoints say.
 */
export function peerFailure(
  answer: EndpointAnswer,
): Result<EndpointAnswer, Failure> {
  if (answer.headers[OUTCOME_HEADER] === undefined) return ok(answer);
  answer.body.resume();
  const late = answer.status === GATEWAY_TIMEOUT;
  const code = late ? "deadline_exceeded" : "endpoint_failed";
  return fail(code, "the request failed beyond another instance", {
    outcome: "unknown",
  });
}

const GATEWAY_TIMEOUT = 504;
