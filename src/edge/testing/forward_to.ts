/**
 * Forwards the requests of a listener to one endpoint, for tests.
 *
 * @module
 */
import { SystemClock } from "../../core/mod.ts";
import type { EndpointResponse } from "../flow_result.ts";
import { HttpEndpointSender } from "../http_endpoint_sender.ts";
import type { RequestHandler } from "../request_intake.ts";
import { outgoing } from "./outgoing_request.ts";
import { PlainCodec } from "./plain_codec.ts";
import { endpointRow } from "./traffic_fixtures.ts";

/** The id of the requests; the responses of the endpoint must have it. */
export const FORWARDED_ID = "q1";

/** A handler that sends each request, with its body, to the endpoint. */
export function forwardTo(
  address: string,
): { readonly handle: RequestHandler; close(): void } {
  const row = endpointRow({ address });
  const sender = new HttpEndpointSender(new PlainCodec(), new SystemClock());
  return {
    handle: ({ method, body, mayBuffer }) =>
      sender.send(row, { ...outgoing(FORWARDED_ID), method, body, mayBuffer })
        .result as Promise<EndpointResponse>,
    close: () => sender.close(),
  };
}
