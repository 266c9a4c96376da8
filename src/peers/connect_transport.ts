/**
 * Peer messages by connect-es over HTTP.
 *
 * @module
 */
import { type Client, createClient } from "@connectrpc/connect";
import {
  connectNodeAdapter,
  createConnectTransport,
} from "@connectrpc/connect-node";
import { Agent, type RequestListener } from "node:http";
import { ok, type Result } from "neverthrow";
import { fail, type Failure } from "../core/mod.ts";
import { type Batch, PeerService } from "../gen/peer_pb.ts";
import type { BatchHandler, PeerTransport } from "./transport.ts";

const DEFAULT_TIMEOUT_MS = 1_000;
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Sends batches by the Connect protocol, one kept connection a peer. */
export class ConnectPeerTransport implements PeerTransport {
  readonly #timeoutMs: number;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 4 });
  readonly #clients = new Map<string, Client<typeof PeerService>>();

  constructor(timeoutMs: number = DEFAULT_TIMEOUT_MS) {
    this.#timeoutMs = timeoutMs;
  }

  async exchange(
    peerUrl: string,
    batch: Batch,
  ): Promise<Result<Batch, Failure>> {
    try {
      const opts = { timeoutMs: this.#timeoutMs };
      return ok(await this.#client(peerUrl).exchange(batch, opts));
    } catch (cause) {
      return fail("peer_unavailable", `${peerUrl}: ${String(cause)}`);
    }
  }

  close(): Promise<void> {
    this.#agent.destroy();
    return Promise.resolve();
  }

  #client(peerUrl: string): Client<typeof PeerService> {
    const known = this.#clients.get(peerUrl);
    if (known) return known;
    const client = createClient(
      PeerService,
      createConnectTransport({
        baseUrl: peerUrl,
        httpVersion: "1.1",
        useBinaryFormat: true,
        nodeOptions: { agent: this.#agent },
        readMaxBytes: MAX_MESSAGE_BYTES,
      }),
    );
    this.#clients.set(peerUrl, client);
    return client;
  }
}

/**
 * The receiving side, as a handler for an HTTP server.
 *
 * @example
 * ```ts
 * const server = createServer(peerListener((batch) => answer(batch)));
 * ```
 */
export function peerListener(handler: BatchHandler): RequestListener {
  return connectNodeAdapter({
    routes: (router) => {
      router.service(PeerService, { exchange: (batch) => handler(batch) });
    },
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
}
