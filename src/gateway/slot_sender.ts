/**
 * Sends a request to a slot, whether its endpoint is reached directly or
 * through an entry instance of another availability zone.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type { Result } from "neverthrow";
import type { Clock, Failure, ServiceId } from "../core/mod.ts";
import type { LinkBudgets } from "../decisions/regions/mod.ts";
import type { EndpointStatement, Slot } from "../decisions/steering/mod.ts";
import type {
  EndpointAnswer,
  EndpointClient,
  EndpointRequest,
} from "../endpoints/mod.ts";
import {
  checkPeerFailure,
  forwardHeaders,
  type ForwardIdentity,
  pacedBody,
  slotPath,
} from "./forwarding.ts";
import { HEAD_BYTES, pace } from "./pacing.ts";

/** A request for a slot, with the headers for the endpoint. */
export interface SlotRequest extends Omit<EndpointRequest, "url"> {
  readonly service: ServiceId;
  readonly idempotent: boolean;
  readonly work?: string;
}

/** Dependencies of {@link SlotSender}. */
export interface SlotSenderDeps {
  readonly clock: Clock;
  readonly endpoints: EndpointClient;
  readonly links: LinkBudgets;
  /** Identity that this instance presents to other entry instances. */
  readonly identity: ForwardIdentity;
}

/** Sends requests to slots; failures are those of {@link EndpointClient}. */
export class SlotSender {
  readonly #deps: SlotSenderDeps;

  constructor(deps: SlotSenderDeps) {
    this.#deps = deps;
  }

  async send(
    slot: Slot,
    req: SlotRequest,
  ): Promise<Result<EndpointAnswer, Failure>> {
    const { endpoints, clock, identity } = this.#deps;
    const { forward, url } = slot;
    if (forward === undefined) {
      const onStatement = (statement: EndpointStatement) =>
        slot.stated(statement, clock.now());
      return await endpoints.send({ ...req, url, onStatement });
    }
    const startedAt = clock.now();
    const body = forward.crossesLink
      ? await this.#paceBody(forward.region, req.body)
      : req.body;
    const answer = await endpoints.send({
      ...req,
      url,
      body,
      path: slotPath(slot, req.service, req.path),
      headers: { ...req.headers, ...forwardHeaders(identity, req) },
      timeoutMs: req.timeoutMs - (clock.now() - startedAt),
    });
    return answer.andThen((a) => checkPeerFailure(a));
  }

  /** Limits a request to another region to this instance's share of the link. */
  async #paceBody(
    to: Parameters<LinkBudgets["spend"]>[0],
    body: Readable | Uint8Array | undefined,
  ): Promise<Readable | undefined> {
    const { links, clock } = this.#deps;
    const link = { links, clock, to };
    await pace(link, HEAD_BYTES);
    return body && pacedBody(body, link);
  }
}
