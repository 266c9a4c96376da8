/**
 * Takes one request from its header to the end of its response: admits its
 * body, reads it, forwards the request and writes the response.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import type { Clock, Failure, Log, Metrics } from "../core/mod.ts";
import { failure } from "../core/mod.ts";
import {
  type ByteBudget,
  type Reservation,
  ResponseMemory,
  type ResponseSizes,
} from "../decisions/memory/mod.ts";
import { DEFAULT_CLIENT_TIMEOUT_MS } from "./admission.ts";
import { BufferLog } from "./buffer_log.ts";
import type { PipelinedRequest } from "./caller_connection.ts";
import type { Entrance } from "./entrance.ts";
import { type EventLoopLag, isReadLate } from "./event_loop_lag.ts";
import type { FlowResult } from "./flow_result.ts";
import { HeldBody } from "./held_body.ts";
import { type Hop, withoutHopFields } from "./hop_headers.ts";
import {
  type BodyFailure,
  type BodyLength,
  discardBody,
  readBody,
} from "./request_body.ts";
import type { RequestClass } from "./request_class.ts";
import type { RequestCodec, RequestFields } from "./request_codec.ts";
import {
  BODY_TOO_LARGE,
  invalidHead,
  readHead,
  type RequestHead,
  type RequestLimits,
} from "./request_head.ts";
import type { CallerRequest } from "./request_context.ts";
import { ResponseWriter } from "./response_writer.ts";

/** Serves one request. */
export type RequestHandler = (req: CallerRequest) => Promise<FlowResult>;

/** Dependencies of the intake. */
export interface RequestIntakeOptions {
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly handle: RequestHandler;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether its callers are instances that pass requests on. */
  readonly fromPeers: boolean;
  readonly loopLag: EventLoopLag;
  readonly entrance: Entrance;
  readonly memory: ByteBudget;
  readonly responseSizes: ResponseSizes;
  readonly classOf: (fields: RequestFields) => RequestClass;
}

/** Time in which a body must arrive if its caller states none, in ms. */
const BODY_TIMEOUT_MS = 30_000;

const BODY_LATE = failure("deadline_exceeded", "the body did not arrive", {
  outcome: "not-run",
});
const BODY_NOT_HELD = failure("not_ready", "the body does not fit", {
  outcome: "not-run",
});
const INTERNAL_ERROR = failure("endpoint_failed", "internal error", {
  outcome: "unknown",
});
const STOPPED = failure("not_ready", "this instance is stopping", {
  outcome: "not-run",
});

/** Takes the requests of one server. */
export class RequestIntake {
  readonly #opts: RequestIntakeOptions;
  readonly #writer: ResponseWriter;
  readonly #buffers: BufferLog;

  constructor(opts: RequestIntakeOptions) {
    this.#opts = opts;
    const { codec, clock, memory, fromPeers: toPeers } = opts;
    this.#writer = new ResponseWriter({ codec, clock, memory, toPeers });
    this.#buffers = new BufferLog(opts);
  }

  /** Serves a request; never throws. */
  async serve(request: PipelinedRequest, limits: RequestLimits): Promise<void> {
    const { req } = request;
    try {
      const head = readHead(req, { ...this.#opts, limits });
      const invalid = invalidHead(req, head, this.#opts);
      if (invalid === undefined) return await this.#serveValid(request, head);
      this.#refuse(request, invalid.why, head.fields, invalid.status);
    } catch (cause) {
      this.#fail(request, cause);
    }
  }

  /** Ends a request after an internal error; it may have run. */
  #fail(request: PipelinedRequest, cause: unknown): void {
    const { req, res } = request;
    const { log, codec } = this.#opts;
    const answered = !res.headersSent;
    try {
      const fields = codec.readRequest(req.url ?? "/", req.rawHeaders);
      log.event("request_handler_failed", {
        request: fields.requestId,
        cause: String(cause),
        answered,
      });
      if (answered) this.#refuse(request, INTERNAL_ERROR, fields);
      else res.destroy();
    } catch {
      res.destroy();
    }
  }

  /** Refuses a request that was not read in full before the listener closed. */
  refuseLate(request: PipelinedRequest): void {
    const { req } = request;
    const { codec } = this.#opts;
    const fields = codec.readRequest(req.url ?? "/", req.rawHeaders);
    this.#refuse(request, STOPPED, fields);
    // Ends the reading of its body.
    request.signal.abort();
  }

  /** Counts a request whose caller left before the response was sent. */
  callerLeft({ progress, unreadMs }: PipelinedRequest): void {
    const read = isReadLate(unreadMs) ? "late" : "in_time";
    this.#opts.metrics.count("caller.left", { progress, read });
  }

  async #serveValid(
    request: PipelinedRequest,
    { fields, length, hop, limits }: RequestHead,
  ): Promise<void> {
    const { clock, memory, responseSizes, classOf } = this.#opts;
    const { clientTimeoutMs = DEFAULT_CLIENT_TIMEOUT_MS } = fields;
    const arrivedAt = this.#arrivedAt(request, clientTimeoutMs);
    const { route, rank } = classOf(fields);
    const bodyBytes = length.kind === "declared" ? length.bytes : 0;
    const responseBytes = responseSizes.expected(route);
    const bytes = bodyBytes + responseBytes;
    const reserved = memory.reserve(bytes, rank, clock.now());
    if (reserved.isErr()) {
      this.#buffers.refused(fields.requestId, reserved.error, { bytes, rank });
      return this.#refuse(request, reserved.error, fields);
    }
    const forBody = reserved.value;
    const forResponse = forBody.split(responseBytes);
    let body: HeldBody | undefined;
    try {
      // A request without a body is forwarded before the parser reads on.
      const blocks = length.kind === "none"
        ? undefined
        : await this.#readBody(request, length, {
          fields,
          limits,
          held: forBody,
          rank,
        });
      if (typeof blocks === "string") {
        return this.#refuseBody(request, blocks, fields, {
          held: forBody,
          rank,
        });
      }
      if (!this.#mayStart(request)) {
        request.beginWaiting();
        const { signal } = request;
        const refusal = await this.#opts.entrance.wait({
          rank,
          clientTimeoutMs,
          signal,
        });
        if (refusal) return this.#refuse(request, refusal, fields);
      }
      if (!request.forward()) return;
      if (blocks !== undefined) {
        body = new HeldBody(blocks, () => forBody.release(clock.now()));
      }
      const forBuffer = new ResponseMemory(forResponse, rank);
      const mayBuffer = (bytes: number) => {
        const isHeld = forBuffer.tryTake(bytes);
        if (!isHeld) this.#buffers.streamed(fields.requestId, rank);
        return isHeld;
      };
      const result = await this.#forward(request, {
        fields,
        body,
        mayBuffer,
        hop,
        arrivedAt,
      });
      if (result.kind === "answer") {
        const { bytes, remainder } = result.body;
        // Of a streamed response only the beginning is known.
        const least = remainder === undefined ? 0 : responseBytes;
        responseSizes.record(route, Math.max(least, bytes.length));
      }
      this.#respond(request, result, fields);
    } finally {
      if (body === undefined) forBody.release(clock.now());
      else body.release();
      forResponse.release(clock.now());
    }
  }

  /** Whether a request that was read in full may be forwarded at once. */
  #mayStart({ unreadMs }: PipelinedRequest): boolean {
    const { entrance, loopLag } = this.#opts;
    // The end of a body may have been read later than its header.
    return entrance.mayStart(Math.max(unreadMs, loopLag.ms));
  }

  /**
   * When a request arrived. If it was read late, that is known only to lie within
   * the time in which it may have lain unread; the middle is taken.
   */
  #arrivedAt({ unreadMs }: PipelinedRequest, clientTimeoutMs: number): number {
    const { clock, metrics } = this.#opts;
    const now = clock.now();
    if (!isReadLate(unreadMs)) return now;
    metrics.timing("request.unread", unreadMs);
    return now - Math.min(unreadMs, clientTimeoutMs) / 2;
  }

  #readBody(
    request: PipelinedRequest,
    length: Exclude<BodyLength, { kind: "none" }>,
    opts: {
      readonly fields: RequestFields;
      readonly limits: RequestLimits;
      readonly held: Reservation;
      readonly rank: number;
    },
  ): Promise<readonly Buffer[] | BodyFailure> {
    if (request.expectsContinue) request.res.writeContinue();
    return readBody(request.req, length, {
      maxBytes: opts.limits.bodyBytes,
      memory: opts.held,
      rank: opts.rank,
      // Later the request could not be answered in time.
      timeoutMs: opts.fields.clientTimeoutMs ?? BODY_TIMEOUT_MS,
      clock: this.#opts.clock,
      signal: request.signal,
    });
  }

  #refuseBody(
    request: PipelinedRequest,
    why: BodyFailure,
    fields: RequestFields,
    { held, rank }: { readonly held: Reservation; readonly rank: number },
  ): void {
    switch (why) {
      case "gone":
        return;
      case "too_large":
        return this.#refuse(
          request,
          BODY_TOO_LARGE.why,
          fields,
          BODY_TOO_LARGE.status,
        );
      case "late":
        return this.#refuse(request, BODY_LATE, fields);
      case "no_memory": {
        const { memory, clock } = this.#opts;
        const { bytes } = held;
        held.release(clock.now());
        // The body could have fitted only if others had been released.
        const again = memory.reserve(bytes, rank, clock.now());
        if (again.isOk()) again.value.release(clock.now());
        const refusal = again.isErr() ? again.error : BODY_NOT_HELD;
        this.#buffers.refused(fields.requestId, refusal, { bytes, rank });
        return this.#refuse(request, refusal, fields);
      }
    }
  }

  #forward(
    { req, signal }: PipelinedRequest,
    { fields, body, mayBuffer, hop, arrivedAt }: {
      readonly fields: RequestFields;
      readonly body: HeldBody | undefined;
      readonly mayBuffer: (bytes: number) => boolean;
      readonly hop: Hop | undefined;
      readonly arrivedAt: number;
    },
  ): Promise<FlowResult> {
    const { rawHeaders } = req;
    return this.#opts.handle({
      method: req.method ?? "GET",
      headers: hop === undefined ? rawHeaders : withoutHopFields(rawHeaders),
      hop,
      fields,
      body,
      mayBuffer,
      arrivedAt,
      signal,
    });
  }

  #respond(
    request: PipelinedRequest,
    result: FlowResult,
    fields: RequestFields,
  ): void {
    switch (result.kind) {
      case "gone":
        return void request.res.destroy();
      case "refusal":
        return this.#refuse(request, result.failure, fields);
      case "answer": {
        if (this.#writer.relay(request, result, fields)) return;
        const { requestId } = fields;
        this.#opts.log.event("response_unproven", { request: requestId });
        return;
      }
    }
  }

  #refuse(
    request: PipelinedRequest,
    why: Failure,
    { requestId }: RequestFields,
    status?: number,
  ): void {
    const { req, expectsContinue } = request;
    // Whether such a caller sends the body after a refusal is not known.
    if (expectsContinue && !req.complete) request.endConnection();
    this.#writer.refuse(request, why, { requestId, status });
    discardBody(req, this.#opts.clock);
  }
}
