/**
 * Sends a request to a slot, whether its endpoint is reached directly or
 * through an entry instance of another availability zone.
 *
 * @module
 */
import type { Readable } from "node:stream";
import type { Result } from "neverthrow";
import type { Clock, Failure, ServiceId } from "../core/mod.ts";
import type { LinkObserver, LinkSample } from "../decisions/links/mod.ts";
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
  /** Receives what attempts show about the links to endpoints. */
  readonly observer?: LinkObserver;
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
      return await this.#sendDirectly(slot, req);
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

  async #sendDirectly(
    slot: Slot,
    req: SlotRequest,
  ): Promise<Result<EndpointAnswer, Failure>> {
    const { endpoints, clock, observer } = this.#deps;
    const { url } = slot;
    let hasResponse = false;
    const onStatement = (statement: EndpointStatement) => {
      hasResponse = true;
      slot.stated(statement, clock.now());
    };
    observer?.sent();
    const answer = await endpoints.send({ ...req, url, onStatement });
    const outcome = answer.isOk() || hasResponse
      ? "response"
      : linkOutcome(answer.error);
    const isNewConnection = outcome === "failure";
    observer?.ended({ address: url, outcome, isNewConnection });
    return answer;
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

/** What an attempt without any response says about the link. */
function linkOutcome({ code }: Failure): LinkSample["outcome"] {
  return code === "endpoint_failed" ? "failure" : "none";
}
