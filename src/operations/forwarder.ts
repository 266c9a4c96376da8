/**
 * Carries an operation to the instance that is its home.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import { err, ok, type Result } from "neverthrow";
import {
  type AccountId,
  type Clock,
  fail,
  type Failure,
  type Metrics,
  type OperationId,
  type Random,
  type ServiceId,
} from "../core/mod.ts";
import { type ForwardRequest, ForwardRequestSchema } from "../gen/ledger_pb.ts";
import type { PeerTransport } from "../peers/mod.ts";
import { runResultFromWire } from "./codec.ts";
import type { PeerCredential } from "./home_token.ts";
import type { OperationRequest, RunResult } from "./operations.ts";
import type { KnownPlace } from "./places.ts";

/** What forwarding needs. */
export interface ForwarderDeps {
  readonly credential: PeerCredential;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
}

const ATTEMPT_BYTES = 8;
/** The home gives up first, so that its word comes before the timeout. */
const GRACE_MS = 50;

/** Forwards operations, each message under an attempt of its own. */
export class Forwarder {
  readonly #deps: ForwarderDeps;

  constructor(deps: ForwarderDeps) {
    this.#deps = deps;
  }

  /**
   * Has the operation run at `to`. Fails with outcome `not-run` where the
   * message surely did not arrive or came to another incarnation, else
   * `unknown`.
   */
  async send(
    req: OperationRequest,
    to: KnownPlace,
  ): Promise<Result<RunResult, Failure>> {
    const { random, transport, metrics } = this.#deps;
    const msg = create(ForwardRequestSchema, {
      incarnation: to.incarnation,
      from: this.#deps.credential,
      account: req.account,
      id: req.id,
      fingerprint: req.fingerprint,
      home: req.home ?? "",
      service: req.service,
      method: req.method,
      path: req.path,
      headers: { ...req.headers },
      body: req.body,
      remainingMs: req.patienceMs,
      attempt: random.hex(ATTEMPT_BYTES),
    });
    metrics.count("operations.forwarded");
    const timeoutMs = Math.ceil(req.patienceMs) + GRACE_MS;
    const res = await transport.forward(to.peerUrl, msg, timeoutMs);
    if (res.isErr()) return err(res.error);
    if (!res.value.gone) return ok(runResultFromWire(res.value));
    return fail("not_found", "the home has moved", { outcome: "not-run" });
  }

  /** Waits no longer than the caller does; the run itself goes on. */
  patiently(
    req: OperationRequest,
    running: Promise<RunResult>,
  ): Promise<RunResult> {
    return new Promise((resolve, reject) => {
      const timer = this.#deps.clock.after(
        Math.max(0, req.patienceMs),
        () => resolve(outOfTime()),
      );
      running.then(resolve, reject).finally(() => timer.close());
    });
  }
}

/** The caller's patience is over; the run may still be going on. */
export function outOfTime(): RunResult {
  return fail("deadline_exceeded", "the operation may still be running", {
    outcome: "unknown",
  });
}

/** Reads a forwarded operation. Peers are trusted: they checked key and ids. */
export function requestFromWire(msg: ForwardRequest): OperationRequest {
  return {
    account: msg.account as AccountId,
    id: msg.id as OperationId,
    fingerprint: msg.fingerprint,
    generated: false,
    service: msg.service as ServiceId,
    method: msg.method,
    path: msg.path,
    headers: msg.headers,
    body: msg.body,
    patienceMs: msg.remainingMs,
    ...(msg.home === "" ? {} : { home: msg.home }),
  };
}
