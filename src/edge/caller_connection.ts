/**
 * The requests of one connection, in the order in which they arrived.
 *
 * A caller may send requests before earlier ones have their responses
 * (pipelining). Responses are sent in the order of the requests. The caller
 * resends requests behind a response that closes the connection, so such a
 * request must never be forwarded.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CancelSource } from "../core/mod.ts";

/** What a server still does for its connections. */
export type ServerStage =
  | "serving"
  /** Each connection is closed after the response to its last request. */
  | "draining"
  /** The listener is closed; no request is started. */
  | "stopped";

/**
 * Requests of one connection that run or whose responses wait for an earlier
 * one. It bounds the share of an instance that one connection can take, and the
 * responses that wait: with 8, at most 2 MiB of buffered responses.
 */
export const MAX_CONCURRENT_REQUESTS = 8;
/**
 * Requests held beyond those, before the connection is no longer read. It is
 * read up to there so that the caller's close is noticed.
 */
const MAX_HELD_REQUESTS = 32;

/** Progress of a request. */
type Progress =
  /** Nothing is done for it. */
  | "held"
  /** Its body is read. */
  | "reading"
  /** It was read in full, and waits until the instance has caught up. */
  | "waiting"
  /** It was forwarded, or its response is being made. */
  | "forwarded";

/** What the owner of a connection does with its requests. */
export interface ConnectionHandler {
  /** Reads a request's body, forwards it and sends the response. */
  run(request: PipelinedRequest): void;
  /** Refuses a request that was read too late to be forwarded. */
  refuseLate(request: PipelinedRequest): void;
  /** The caller left before the response to a request was sent. */
  callerLeft(request: PipelinedRequest): void;
}

/** A request as Node.js hands it over. */
export interface IncomingRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Whether the caller waits for a sign before it sends the body. */
  readonly expectsContinue: boolean;
  /** How long it may have lain unread at most, in milliseconds. */
  readonly unreadMs: number;
}

/** One request of a connection, and the response to it. */
export class PipelinedRequest implements IncomingRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly expectsContinue: boolean;
  readonly unreadMs: number;
  /** Aborted when the caller leaves, or when the request is dropped. */
  readonly signal: CancelSource = new CancelSource();
  readonly #connection: CallerConnection;
  #progress: Progress = "held";
  #hasHead = false;

  constructor(connection: CallerConnection, incoming: IncomingRequest) {
    this.#connection = connection;
    this.req = incoming.req;
    this.res = incoming.res;
    this.expectsContinue = incoming.expectsContinue;
    this.unreadMs = incoming.unreadMs;
  }

  get progress(): Progress {
    return this.#progress;
  }

  /** Whether its response has a header already. */
  get hasHead(): boolean {
    return this.#hasHead;
  }

  /** Whether it gets a response, whatever follows it on the connection. */
  get isTaken(): boolean {
    return this.#progress === "waiting" || this.#progress === "forwarded";
  }

  beginReading(): void {
    this.#progress = "reading";
  }

  beginWaiting(): void {
    this.#progress = "waiting";
  }

  /**
   * Marks the request as forwarded; false if it must not be, as the caller has
   * left or an earlier response closes the connection.
   */
  forward(): boolean {
    if (this.signal.aborted || this.#hasHead) return false;
    this.#progress = "forwarded";
    return true;
  }

  /**
   * Called when the header of its response is made; returns whether the response
   * is the last one of the connection. Requests behind it are then dropped.
   */
  decideClose(): boolean {
    this.#progress = "forwarded";
    this.#hasHead = true;
    return this.#connection.closesAfter(this);
  }

  /** Whether its response may close the connection. */
  get mayEndConnection(): boolean {
    return !this.#connection.hasTakenBehind(this);
  }

  /** Makes its response the last one of the connection. */
  endConnection(): void {
    this.#connection.endAfterNext();
  }

  /** The response was sent completely. */
  finish(): void {
    this.#connection.finish(this);
  }
}

/** Starts the requests of one connection, and decides when it is closed. */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #handler: ConnectionHandler;
  readonly #stage: () => ServerStage;
  /** Requests whose responses are not sent yet, in the order of arrival. */
  readonly #requests: PipelinedRequest[] = [];
  /** No further request is started, as the connection closes or is malformed. */
  #isEnding = false;
  #isPaused = false;

  constructor(
    socket: Socket,
    handler: ConnectionHandler,
    stage: () => ServerStage,
  ) {
    this.#socket = socket;
    this.#handler = handler;
    this.#stage = stage;
    // Node.js reports the loss of a connection only to the first response, and
    // closes it some turns of the event loop after its end was read.
    for (const event of ["end", "error", "close"]) {
      socket.once(event, () => this.#callerLeft());
    }
  }

  /** Whether no further request is started. */
  get isEnding(): boolean {
    return this.#isEnding;
  }

  /** Whether a response is still to be sent or is on the way. */
  get isAnswering(): boolean {
    return this.#requests.some(({ isTaken }) => isTaken);
  }

  /** Adds a request; undefined if it is behind the last response. */
  add(incoming: IncomingRequest): PipelinedRequest | undefined {
    if (this.#isEnding) {
      incoming.req.resume();
      return undefined;
    }
    const request = new PipelinedRequest(this, incoming);
    this.#requests.push(request);
    return request;
  }

  /** Starts the requests that may run now. */
  startNext(): void {
    for (const request of [...this.#requests]) {
      if (request.progress !== "held") continue;
      if (!this.#mayStart()) break;
      request.beginReading();
      this.#handler.run(request);
    }
    this.#limitHeld();
  }

  /** Whether a response is the last one; see `PipelinedRequest.decideClose`. */
  closesAfter(request: PipelinedRequest): boolean {
    if (this.#stage() === "serving" && !this.#isEnding) return false;
    if (this.hasTakenBehind(request)) return false;
    this.#isEnding = true;
    this.#dropUntaken();
    return true;
  }

  /** Whether a request behind another one gets a response in any case. */
  hasTakenBehind(request: PipelinedRequest): boolean {
    const index = this.#requests.indexOf(request);
    const behind = this.#requests.slice(index + 1);
    return behind.some(({ isTaken }) => isTaken);
  }

  finish(request: PipelinedRequest): void {
    const index = this.#requests.indexOf(request);
    if (index >= 0) this.#requests.splice(index, 1);
    if (this.#stage() === "stopped" && !this.#isEnding) return this.stop();
    if (this.#isEnding) return this.#closeIfDone();
    this.startNext();
  }

  /**
   * Starts no further request: the connection is closed once those that were
   * forwarded have their responses. The last response says so where it has no
   * header yet; otherwise the next request is refused, with that in its response.
   */
  stop(): void {
    if (this.#isEnding) return;
    const canSayClose = this.#requests.some((r) => r.isTaken && !r.hasHead);
    const late = this.#requests.find((r) => !r.isTaken);
    if (canSayClose || late === undefined) return this.end();
    late.beginReading();
    this.#handler.refuseLate(late);
  }

  /**
   * Starts no further request, since what arrived next is malformed or came too
   * late.
   */
  end(): void {
    this.#isEnding = true;
    this.#dropUntaken();
    this.#closeIfDone();
  }

  /** Closes the connection after the last response that has no header yet. */
  endAfterNext(): void {
    this.#isEnding = true;
  }

  #callerLeft(): void {
    this.#isEnding = true;
    for (const request of this.#requests.splice(0)) {
      this.#handler.callerLeft(request);
      request.signal.abort();
    }
  }

  /** Reads the connection only while few requests are held. */
  #limitHeld(): void {
    const held = this.#requests.filter((r) => r.progress === "held").length;
    const wasPaused = this.#isPaused;
    this.#isPaused = held >= MAX_HELD_REQUESTS;
    // Node.js may have resumed it meanwhile.
    if (this.#isPaused) this.#socket.pause();
    else if (wasPaused) this.#socket.resume();
  }

  #mayStart(): boolean {
    if (this.#isEnding || this.#socket.destroyed) return false;
    const started = this.#requests.filter((r) => r.progress !== "held").length;
    switch (this.#stage()) {
      case "serving":
        return started < MAX_CONCURRENT_REQUESTS;
      case "draining":
        // The response to the one that runs closes the connection.
        return started === 0;
      case "stopped":
        return false;
    }
  }

  #dropUntaken(): void {
    const dropped = this.#requests.filter((r) => !r.isTaken);
    for (const request of dropped) {
      this.#requests.splice(this.#requests.indexOf(request), 1);
      request.signal.abort();
      request.req.resume();
    }
  }

  #closeIfDone(): void {
    if (this.#requests.length === 0) this.#socket.destroySoon();
  }
}
