/**
 * Forwards an operation to the instance that is its home.
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
import type { PeerReplica } from "./replica_table.ts";

/** Dependencies of forwarding. */
export interface OperationForwarderDeps {
  readonly credential: PeerCredential;
  readonly transport: PeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
}

const ATTEMPT_BYTES = 8;
/** The home times out first, so that its response precedes the timeout. */
const RESPONSE_GRACE_MS = 50;

/** Forwards operations, each message with its own attempt id. */
export class OperationForwarder {
  readonly #deps: OperationForwarderDeps;

  constructor(deps: OperationForwarderDeps) {
    this.#deps = deps;
  }

  /**
   * Runs the operation at `to`. Fails with outcome `not-run` if the message
   * certainly did not arrive or reached another incarnation, else with
   * `unknown`.
   */
  async send(
    req: OperationRequest,
    to: PeerReplica,
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
      remainingMs: req.maxWaitMs,
      attempt: random.hex(ATTEMPT_BYTES),
    });
    metrics.count("operations.forwarded");
    const timeoutMs = Math.ceil(req.maxWaitMs) + RESPONSE_GRACE_MS;
    const res = await transport.forward(to.peerUrl, msg, timeoutMs);
    if (res.isErr()) return err(res.error);
    if (!res.value.gone) return ok(runResultFromWire(res.value));
    return fail("not_found", "the home has moved", { outcome: "not-run" });
  }

  /** Waits no longer than the caller does; the run itself continues. */
  withCallerTimeout(
    req: OperationRequest,
    run: Promise<RunResult>,
  ): Promise<RunResult> {
    return new Promise((resolve, reject) => {
      const timer = this.#deps.clock.after(
        Math.max(0, req.maxWaitMs),
        () => resolve(deadlineExceeded()),
      );
      run.then(resolve, reject).finally(() => timer.close());
    });
  }
}

/** The caller's deadline has passed; the run may still be in progress. */
export function deadlineExceeded(): RunResult {
  return fail("deadline_exceeded", "the operation may still be running", {
    outcome: "unknown",
  });
}

/** Decodes an operation. Peers are trusted: they checked API key and ids. */
export function requestFromWire(msg: ForwardRequest): OperationRequest {
  return {
    account: msg.account as AccountId,
    id: msg.id as OperationId,
    fingerprint: msg.fingerprint,
    hasGeneratedId: false,
    service: msg.service as ServiceId,
    method: msg.method,
    path: msg.path,
    headers: msg.headers,
    body: msg.body,
    maxWaitMs: msg.remainingMs,
    ...(msg.home === "" ? {} : { home: msg.home }),
  };
}
