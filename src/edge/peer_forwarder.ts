/**
 * Passes requests on to instances that reach the endpoints.
 *
 * The receiving instance handles a request like one of its own callers', but
 * does not count it against its account's rate, which the sending one has done,
 * and never passes it on again.
 *
 * @module
 */
import {
  type Clock,
  type InstanceId,
  type Random,
  sampleConsecutive,
} from "../core/mod.ts";
import type { InstanceProfile } from "../fleet/mod.ts";
import { splitAddress } from "../fleet/mod.ts";
import type {
  Destination,
  OutgoingRequest,
  PendingSend,
  SendResult,
} from "./endpoint_sender.ts";
import { hopFields, readHopResponse, withoutHopFields } from "./hop_headers.ts";
import type { RequestCodec } from "./request_codec.ts";
import type { RequestContext } from "./request_context.ts";

/** Sends requests to other instances. */
export interface PeerSender {
  send(to: Destination, req: OutgoingRequest): PendingSend;
}

/** Dependencies of the forwarder. */
export interface PeerForwarderOptions {
  readonly own: InstanceId;
  /** Instances that may serve a request in place of this one. */
  readonly peersFor: (ctx: RequestContext) => readonly InstanceProfile[];
  readonly sender: PeerSender;
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly random: Random;
}

/** A response that another instance passed on or made. */
export type PeerAnswer = Extract<SendResult, { kind: "answer" }>;

/** Outcome of passing a request on. */
export type ForwardResult =
  | {
    readonly kind: "answer";
    readonly peer: InstanceId;
    readonly answer: PeerAnswer;
  }
  /** No instance took it; it did not run. */
  | { readonly kind: "no-peer" }
  /** The connection to an instance that may have taken it broke. */
  | { readonly kind: "unknown"; readonly peer: InstanceId }
  | { readonly kind: "cancelled"; readonly sent: boolean };

/** Instances to which one request is sent at most. */
const MAX_PEERS = 3;

/** The address for requests of peers: two ports above that for digests. */
export function peerRequestAddress(digestAddress: string): string {
  const { host, port } = splitAddress(digestAddress);
  return `${host}:${port + 2}`;
}

/** Passes requests of one instance on to others. */
export class PeerForwarder {
  readonly #opts: PeerForwarderOptions;
  readonly #destinations = new Map<string, Destination>();

  constructor(opts: PeerForwarderOptions) {
    this.#opts = opts;
  }

  /** Whether an instance is left that may take a request. */
  canForward(ctx: RequestContext): boolean {
    return this.#peersLeft(ctx).length > 0;
  }

  /**
   * Sends a request to one instance after another until one takes it.
   *
   * @param send Starts a send unless the caller has left, and waits for its
   * result; cancels it at the deadline.
   */
  async forward(
    ctx: RequestContext,
    send: (start: () => PendingSend) => Promise<SendResult>,
  ): Promise<ForwardResult> {
    const { random } = this.#opts;
    for (;;) {
      const [peer] = sampleConsecutive(this.#peersLeft(ctx), 1, random);
      if (peer === undefined) return { kind: "no-peer" };
      ctx.peersTried.add(peer.id);
      const result = await send(() => this.#send(ctx, peer));
      switch (result.kind) {
        case "answer": {
          const { declined } = readHopResponse(result.headers);
          if (declined) {
            result.body.remainder?.cancel();
            break;
          }
          return { kind: "answer", peer: peer.id, answer: result };
        }
        case "unknown":
          return { kind: "unknown", peer: peer.id };
        case "cancelled":
          return { kind: "cancelled", sent: result.sent };
        case "unsent":
        case "withheld":
        case "not-run":
          break;
      }
    }
  }

  #peersLeft(ctx: RequestContext): readonly InstanceProfile[] {
    if (ctx.req.hop !== undefined) return [];
    if (ctx.peersTried.size >= MAX_PEERS) return [];
    return this.#opts.peersFor(ctx).filter(({ id }) => !ctx.peersTried.has(id));
  }

  #send(ctx: RequestContext, peer: InstanceProfile): PendingSend {
    const { own, codec, sender, clock } = this.#opts;
    const { req, deadline, planVersion } = ctx;
    const leftMs = Math.max(1, Math.floor(deadline - clock.now()));
    const { arrivals: attempts, counted, service } = ctx;
    const hop = { from: own, planVersion, attempts, counted, service };
    const headers = withoutHopFields(codec.peerHeaders(req.headers, leftMs));
    return sender.send(this.#destinationOf(peer), {
      method: req.method,
      path: req.fields.path,
      headers: [...headers, ...hopFields(hop)],
      body: req.body,
      requestId: req.fields.requestId,
      maySend: () => true,
      mayConnect: () => true,
      mayBuffer: req.mayBuffer,
      onHead: () => {},
    });
  }

  #destinationOf({ digestAddress }: InstanceProfile): Destination {
    const known = this.#destinations.get(digestAddress);
    if (known !== undefined) return known;
    const destination = { address: peerRequestAddress(digestAddress) };
    this.#destinations.set(digestAddress, destination);
    return destination;
  }
}
