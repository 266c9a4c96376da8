/**
 * Where an instance is reached: by sockets, or, in a program that holds many
 * instances, by whatever stands behind the same interface.
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
import { callerOptions } from "./caller_options.ts";
import { Listener } from "./listener.ts";

/** All that an instance answers. */
export interface InstanceHandlers {
  readonly caller: RequestListener;
  readonly admin: RequestListener;
  /** Requests that another instance sends on. */
  readonly forwards: RequestListener;
  readonly batch: BatchHandler;
  readonly ledger: LedgerHandler;
  readonly borrow: BorrowHandler;
  readonly document: DocumentHandler;
}

/** Where an instance is reached; URLs are empty before `open`. */
export interface InstanceListeners {
  readonly callerUrl: string;
  readonly peerUrl: string;
  readonly adminUrl: string;
  open(handlers: InstanceHandlers): Promise<Result<void, Failure>>;
  /** Bytes that passed the peer listener so far, both ways. */
  peerBytes(): number;
  /** From now on callers are told to go elsewhere. */
  leave(): void;
  /** Takes no new caller; comes back when all were answered. */
  drain(): Promise<void>;
  /** Ends at once. */
  close(): Promise<void>;
}

type SocketDeps = Parameters<typeof callerOptions>[0];

interface Sockets {
  readonly caller: Listener;
  readonly peer: PeerServer;
  readonly admin: Listener;
}

/** Listening sockets at the addresses of the settings. */
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
    const opts = callerOptions(this.#deps);
    const caller = await Listener.open(cfg.caller, handlers.caller, opts);
    if (caller.isErr()) return err(caller.error);
    this.#sockets = { caller: caller.value };
    const peer = await PeerServer.open({
      ...cfg.peer,
      http1: peerSide(handlers),
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
    this.#sockets.caller?.leave();
  }

  async drain(): Promise<void> {
    await this.#sockets.caller?.drain();
  }

  async close(): Promise<void> {
    const { caller, peer, admin } = this.#sockets;
    await Promise.all([caller?.close(), peer?.close(), admin?.close()]);
  }
}

/** Forwarded requests beside the peers' own messages. */
function peerSide(handlers: InstanceHandlers): RequestListener {
  const peers = peerListener(handlers);
  return (req, res) => {
    if (req.url?.startsWith(`${FORWARD_PATH}/`)) handlers.forwards(req, res);
    else peers(req, res);
  };
}
