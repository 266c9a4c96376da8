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
import type { Slot } from "../decisions/steering/mod.ts";
import type {
  EndpointAnswer,
  EndpointClient,
  EndpointRequest,
} from "../endpoints/mod.ts";
import {
  forwardHeaders,
  type ForwardIdentity,
  pacedBody,
  pathAt,
  peerFailure,
} from "./forwarding.ts";
import { HEAD_BYTES, pace } from "./pacing.ts";

/** A request for a slot; its headers are those an endpoint may see. */
export interface SlotRequest extends Omit<EndpointRequest, "url"> {
  readonly service: ServiceId;
  readonly idempotent: boolean;
  readonly work?: string;
}

/** What sending needs. */
export interface SlotSenderDeps {
  readonly clock: Clock;
  readonly endpoints: EndpointClient;
  readonly links: LinkBudgets;
  /** How this instance names itself where it forwards. */
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
    if (forward === undefined) return await endpoints.send({ ...req, url });
    const startedAt = clock.now();
    const body = forward.crossesLink
      ? await this.#overLink(forward.region, req.body)
      : req.body;
    const answer = await endpoints.send({
      ...req,
      url,
      body,
      path: pathAt(slot, req.service, req.path),
      headers: { ...req.headers, ...forwardHeaders(identity, req) },
      timeoutMs: req.timeoutMs - (clock.now() - startedAt),
    });
    return answer.andThen((a) => peerFailure(a));
  }

  /** What goes to another region keeps to this instance's part of the link. */
  async #overLink(
    to: Parameters<LinkBudgets["spend"]>[0],
    body: Readable | Uint8Array | undefined,
  ): Promise<Readable | undefined> {
    const { links, clock } = this.#deps;
    const link = { links, clock, to };
    await pace(link, HEAD_BYTES);
    return body && pacedBody(body, link);
  }
}
