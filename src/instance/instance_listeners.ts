/**
 * Listeners of an instance: sockets by default, or another implementation in a
 * program that runs many instances.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Failure } from "../core/mod.ts";
import { FORWARD_PATH } from "../gateway/mod.ts";
import {
  type BatchHandler,
  batchListener,
  type BorrowHandler,
  type DocumentHandler,
  type LedgerHandler,
  peerListener,
  PeerServer,
} from "../peers/mod.ts";
import { callerListenerOptions } from "./caller_listener_options.ts";
import { Listener } from "./listener.ts";

/** Handlers for everything that reaches an instance. */
export interface InstanceHandlers {
  readonly caller: RequestListener;
  readonly admin: RequestListener;
  /** Requests forwarded by other instances. */
  readonly forwards: RequestListener;
  readonly batch: BatchHandler;
  readonly ledger: LedgerHandler;
  readonly borrow: BorrowHandler;
  readonly document: DocumentHandler;
}

/** Listeners of an instance; URLs are empty before `open`. */
export interface InstanceListeners {
  readonly callerUrl: string;
  readonly peerUrl: string;
  readonly adminUrl: string;
  open(handlers: InstanceHandlers): Promise<Result<void, Failure>>;
  /** Bytes received and sent by the peer listener so far. */
  peerBytes(): number;
  /** Makes each later response to a caller close its connection. */
  leave(): void;
  /** Accepts no new callers; resolves when all are answered. */
  drain(): Promise<void>;
  /** Closes immediately. */
  close(): Promise<void>;
}

type SocketDeps = Parameters<typeof callerListenerOptions>[0];

interface Sockets {
  readonly caller: Listener;
  readonly peer: PeerServer;
  readonly admin: Listener;
}

/** Sockets at the addresses in the settings. */
export class SocketListeners implements InstanceListeners {
  readonly #deps: SocketDeps;
  #sockets: Partial<Sockets> = {};

  constructor(deps: SocketDeps) {
    this.#deps = deps;
  }

  get callerUrl(): string {
    return this.#sockets.caller?.url ?? "";
  }

  get peerUrl(): string {
    return this.#sockets.peer?.url ?? "";
  }

  get adminUrl(): string {
    return this.#sockets.admin?.url ?? "";
  }

  async open(handlers: InstanceHandlers): Promise<Result<void, Failure>> {
    const { cfg } = this.#deps;
    const opts = callerListenerOptions(this.#deps);
    const caller = await Listener.open(cfg.caller, handlers.caller, opts);
    if (caller.isErr()) return err(caller.error);
    this.#sockets = { caller: caller.value };
    const peer = await PeerServer.open({
      ...cfg.peer,
      http1: peerRequestListener(handlers),
      http2: batchListener(handlers.batch),
    });
    if (peer.isErr()) return err(peer.error);
    this.#sockets = { ...this.#sockets, peer: peer.value };
    const admin = await Listener.open(cfg.admin, handlers.admin);
    if (admin.isErr()) return err(admin.error);
    this.#sockets = { ...this.#sockets, admin: admin.value };
    return ok(undefined);
  }

  peerBytes(): number {
    const traffic = this.#sockets.peer?.traffic();
    return (traffic?.receivedBytes ?? 0) + (traffic?.sentBytes ?? 0);
  }

  leave(): void {
    this.#sockets.caller?.closeAfterResponses();
  }

  async drain(): Promise<void> {
    await this.#sockets.caller?.drain();
  }

  async close(): Promise<void> {
    const { caller, peer, admin } = this.#sockets;
    await Promise.all([caller?.close(), peer?.close(), admin?.close()]);
  }
}

/** Routes forwarded requests and peer messages on one listener. */
function peerRequestListener(handlers: InstanceHandlers): RequestListener {
  const peers = peerListener(handlers);
  return (req, res) => {
    if (req.url?.startsWith(`${FORWARD_PATH}/`)) handlers.forwards(req, res);
    else peers(req, res);
  };
}
