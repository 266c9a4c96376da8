/**
 * A request to an endpoint, for tests.
 *
 * @module
 */
import type { OutgoingRequest } from "../endpoint_sender.ts";

/** A request without a body that is sent whatever happens. */
export function outgoing(requestId = "q1"): OutgoingRequest {
  return {
    method: "GET",
    path: "/p/1",
    headers: ["id", requestId],
    body: undefined,
    requestId,
    maySend: () => true,
    mayConnect: () => true,
    mayBuffer: () => true,
    onHead: () => {},
  };
}
