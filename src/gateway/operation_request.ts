/**
 * Reads a request that is not idempotent as an operation, with its whole body:
 * the operation's fingerprint covers it.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import type { Request } from "express";
import { err, ok, type Result } from "neverthrow";
import {
  type AccountId,
  type Clock,
  fail,
  type Failure,
  OperationId,
  type Random,
  type ServiceId,
} from "../core/mod.ts";
import type { OperationRequest } from "../operations/mod.ts";
import { endpointHeaders, HOME_HEADER, OPERATION_HEADER } from "./headers.ts";

/** An admitted request. */
export interface AdmittedRequest {
  readonly req: Request;
  readonly account: AccountId;
  readonly service: ServiceId;
  readonly path: string;
  /** When the caller's time-out ends, on the clock. */
  readonly deadline: number;
}

/** Larger bodies are rejected: each is held until its operation ends. */
const MAX_BODY_BYTES = 1_000_000;
const GENERATED_ID_BYTES = 16;
/** 128 bits; kept short, since each record holds a fingerprint. */
const FINGERPRINT_HEX_DIGITS = 32;

/**
 * Reads an operation; fails with `bad_request`, `value_too_large` or
 * `cancelled`, outcome `not-run`.
 *
 * @example
 * ```ts
 * const operation = await readOperation(admitted, { clock, random });
 * ```
 */
export async function readOperation(
  source: AdmittedRequest,
  { clock, random }: { clock: Clock; random: Random },
): Promise<Result<OperationRequest, Failure>> {
  const { req, account, service, path, deadline } = source;
  const givenId = req.headers[OPERATION_HEADER];
  const id = OperationId.safeParse(givenId ?? random.hex(GENERATED_ID_BYTES));
  if (!id.success) {
    return fail("bad_request", `${OPERATION_HEADER} is not usable`, {
      outcome: "not-run",
    });
  }
  const body = await readBody(req);
  if (body.isErr()) return err(body.error);
  const home = req.headers[HOME_HEADER];
  return ok({
    account,
    id: id.data,
    hasGeneratedId: givenId === undefined,
    fingerprint: fingerprintOf(source, body.value),
    service,
    method: req.method,
    path,
    headers: endpointHeaders(req.headers),
    body: body.value,
    maxWaitMs: deadline - clock.now(),
    ...(typeof home === "string" ? { home } : {}),
  });
}

async function readBody(req: Request): Promise<Result<Uint8Array, Failure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req) {
      size += (chunk as Buffer).length;
      if (size > MAX_BODY_BYTES) {
        return fail("value_too_large", "the request's body is too large", {
          outcome: "not-run",
        });
      }
      chunks.push(chunk as Buffer);
    }
    return ok(Buffer.concat(chunks));
  } catch {
    return fail("cancelled", "the caller disconnected", { outcome: "not-run" });
  }
}

function fingerprintOf(source: AdmittedRequest, body: Uint8Array): string {
  return createHash("sha256")
    .update(`${source.service} ${source.req.method} ${source.path}\n`)
    .update(body)
    .digest("hex")
    .slice(0, FINGERPRINT_HEX_DIGITS);
}
