/**
 * Peer transport that uses connect-es over HTTP.
 *
 * @module
 */
import { type Client, createClient } from "@connectrpc/connect";
import type { DescService } from "@bufbuild/protobuf";
import {
  connectNodeAdapter,
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { Agent, type RequestListener } from "node:http";
import { ok, type Result } from "neverthrow";
import { type Clock, fail, type Failure, SystemClock } from "../core/mod.ts";
import {
  type BorrowAnswer,
  type BorrowCall,
  BudgetService,
} from "../gen/budget_pb.ts";
import {
  type ForwardRequest,
  type ForwardResponse,
  LedgerService,
  type SettleRequest,
  type SettleResponse,
} from "../gen/ledger_pb.ts";
import {
  DocumentService,
  type FetchContentResponse,
  type FetchManifestResponse,
} from "../gen/document_pb.ts";
import { type Batch, PeerService } from "../gen/peer_pb.ts";
import { BatchStream } from "./batch_stream.ts";
import type { Http2Listener } from "./peer_server.ts";
import type {
  BatchHandler,
  DocumentTransport,
  PeerHandlers,
  PeerTransport,
} from "./transport.ts";

const DEFAULT_TIMEOUT_MS = 1_000;
/** A loan that arrives later is of no use to the waiting request. */
const BORROW_TIMEOUT_MS = 150;
const CONTENT_TIMEOUT_MS = 5_000;
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Errors raised before a connection is established, so nothing was sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

/** Sends batches over a persistent stream per peer, and unary calls. */
export class ConnectPeerTransport implements PeerTransport, DocumentTransport {
  readonly #timeoutMs: number;
  readonly #clock: Clock;
  readonly #unaryAgent = new Agent({ keepAlive: true, maxSockets: 64 });
  readonly #streams = new Map<string, PeerStream>();
  readonly #ledgers = new Map<string, Client<typeof LedgerService>>();
  readonly #documents = new Map<string, Client<typeof DocumentService>>();
  readonly #budgets = new Map<string, Client<typeof BudgetService>>();

  constructor(
    timeoutMs: number = DEFAULT_TIMEOUT_MS,
    clock: Clock = new SystemClock(),
  ) {
    this.#timeoutMs = timeoutMs;
    this.#clock = clock;
  }

  async exchange(
    peerUrl: string,
    batch: Batch,
  ): Promise<Result<Batch, Failure>> {
    const answer = await this.#stream(peerUrl).stream.exchange(batch);
    return answer.mapErr((f) => ({
      ...f,
      message: `${peerUrl}: ${f.message}`,
    }));
  }

  async settle(
    peerUrl: string,
    req: SettleRequest,
    timeoutMs: number,
  ): Promise<Result<SettleResponse, Failure>> {
    try {
      return ok(await this.#ledger(peerUrl).settle(req, { timeoutMs }));
    } catch (cause) {
      return unavailable(peerUrl, cause);
    }
  }

  async forward(
    peerUrl: string,
    req: ForwardRequest,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, Failure>> {
    try {
      return ok(await this.#ledger(peerUrl).forward(req, { timeoutMs }));
    } catch (cause) {
      return unavailable(peerUrl, cause);
    }
  }

  async borrow(
    peerUrl: string,
    call: BorrowCall,
  ): Promise<Result<BorrowAnswer, Failure>> {
    try {
      const opts = { timeoutMs: BORROW_TIMEOUT_MS };
      return ok(await this.#budget(peerUrl).borrow(call, opts));
    } catch (cause) {
      return unavailable(peerUrl, cause);
    }
  }

  async fetchManifest(
    peerUrl: string,
  ): Promise<Result<FetchManifestResponse, Failure>> {
    try {
      const opts = { timeoutMs: this.#timeoutMs };
      return ok(await this.#document(peerUrl).fetchManifest({}, opts));
    } catch (cause) {
      return unavailable(peerUrl, cause);
    }
  }

  async fetchContent(
    peerUrl: string,
    digest: string,
  ): Promise<Result<FetchContentResponse, Failure>> {
    try {
      const opts = { timeoutMs: CONTENT_TIMEOUT_MS };
      return ok(await this.#document(peerUrl).fetchContent({ digest }, opts));
    } catch (cause) {
      return unavailable(peerUrl, cause);
    }
  }

  close(): Promise<void> {
    for (const { stream, session } of this.#streams.values()) {
      stream.close();
      session.abort();
    }
    this.#streams.clear();
    this.#unaryAgent.destroy();
    return Promise.resolve();
  }

  #stream(peerUrl: string): PeerStream {
    const known = this.#streams.get(peerUrl);
    if (known) return known;
    const opened = this.#openStream(peerUrl);
    this.#streams.set(peerUrl, opened);
    return opened;
  }

  #openStream(peerUrl: string): PeerStream {
    const session = new Http2SessionManager(peerUrl, KEEPALIVE);
    const transport = createConnectTransport({
      baseUrl: peerUrl,
      httpVersion: "2",
      useBinaryFormat: true,
      sessionManager: session,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    const client = createClient(PeerService, transport);
    const timeoutMs = this.#timeoutMs;
    const stream = new BatchStream({ client, clock: this.#clock, timeoutMs });
    return { stream, session };
  }

  #budget(peerUrl: string): Client<typeof BudgetService> {
    const known = this.#budgets.get(peerUrl);
    if (known) return known;
    const client = createUnaryClient(BudgetService, peerUrl, this.#unaryAgent);
    this.#budgets.set(peerUrl, client);
    return client;
  }

  #ledger(peerUrl: string): Client<typeof LedgerService> {
    const known = this.#ledgers.get(peerUrl);
    if (known) return known;
    const client = createUnaryClient(LedgerService, peerUrl, this.#unaryAgent);
    this.#ledgers.set(peerUrl, client);
    return client;
  }

  #document(peerUrl: string): Client<typeof DocumentService> {
    const known = this.#documents.get(peerUrl);
    if (known) return known;
    const client = createUnaryClient(
      DocumentService,
      peerUrl,
      this.#unaryAgent,
    );
    this.#documents.set(peerUrl, client);
    return client;
  }
}

/** A stream and its HTTP/2 connection. */
interface PeerStream {
  readonly stream: BatchStream;
  readonly session: Http2SessionManager;
}

/**
 * After a network partition a connection may stay open without any answer;
 * pings detect this, so that the next stream opens a new connection.
 */
const KEEPALIVE = {
  pingIntervalMs: 2_000,
  pingTimeoutMs: 1_000,
  pingIdleConnection: false,
};

function createUnaryClient<T extends DescService>(
  service: T,
  baseUrl: string,
  agent: Agent,
): Client<T> {
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: "1.1",
    useBinaryFormat: true,
    nodeOptions: { agent },
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
  return createClient(service, transport);
}

function unavailable(
  peerUrl: string,
  cause: unknown,
): Result<never, Failure> {
  return fail("peer_unavailable", `${peerUrl}: ${String(cause)}`, {
    outcome: failedToConnect(cause) ? "not-run" : "unknown",
  });
}

function failedToConnect(cause: unknown): boolean {
  for (let at = cause; at instanceof Error; at = at.cause) {
    if ("code" in at && CONNECT_ERROR_CODES.has(String(at.code))) return true;
  }
  return false;
}

/**
 * Handles unary calls; a listener for an HTTP/1.1 server.
 *
 * @example
 * ```ts
 * const http1 = peerListener({ ledger, borrow, document });
 * ```
 */
export function peerListener(
  { ledger, borrow, document }: PeerHandlers,
): RequestListener {
  return connectNodeAdapter({
    routes: (router) => {
      if (borrow) router.service(BudgetService, { borrow });
      if (document) {
        router.service(DocumentService, {
          fetchManifest: () => document.fetchManifest(),
          fetchContent: (req) => document.fetchContent(req.digest),
        });
      }
      if (ledger === undefined) return;
      router.service(LedgerService, {
        settle: (req) => ledger.settle(req),
        forward: (req) => ledger.forward(req),
      });
    },
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
}

/**
 * Handles streams of batches; a listener for an HTTP/2 server.
 *
 * @example
 * ```ts
 * const http2 = batchListener((batch) => exchange.answer(batch));
 * ```
 */
export function batchListener(handler: BatchHandler): Http2Listener {
  return connectNodeAdapter({
    routes: (router) => {
      router.service(PeerService, {
        converse: (batches) => answerEach(batches, handler),
      });
    },
    readMaxBytes: MAX_MESSAGE_BYTES,
  });
}

async function* answerEach(
  batches: AsyncIterable<Batch>,
  handler: BatchHandler,
): AsyncIterable<Batch> {
  for await (const batch of batches) yield handler(batch);
}
