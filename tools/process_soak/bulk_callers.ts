/**
 * Callers that upload, pipeline idempotent requests and read slowly, most of
 * them with one affinity key.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import { HEADERS } from "../../platform/names.ts";
import type { CallerResult } from "../../platform/testing/fake_caller.ts";
import { signatureOf } from "../../platform/testing/fake_endpoint.ts";
import type { Random } from "../../src/core/mod.ts";
import { digestOf, noisyBodyOf } from "../standins/noisy_endpoint.ts";
import {
  BulkConnection,
  closes,
  type WireResponse,
} from "./bulk_connection.ts";
import type { InstanceProcess } from "./instance_process.ts";
import type { PropertyChecker, SentAttempt } from "./property_checker.ts";
import { HOST, type SoakOperators } from "./soak_operators.ts";

const CALLERS = 6;
const THINK_TIME_MS = 30;
const CLIENT_TIMEOUT_MS = 2_000;
/** Longer than a request may take, since the last one waits for the others. */
const EXCHANGE_TIMEOUT_MS = 6_000;
const MAX_UPLOAD_BYTES = 400_000;
const MAX_RESPONSE_BYTES = 200_000;
const MAX_PIPELINED = 12;
/** Enough for responses that exceed what the system buffers. */
const MAX_PIPELINED_SLOWLY = 40;
const UPLOAD_CHANCE = 0.4;
const SLOW_CHANCE = 0.3;
const HOT_KEY_CHANCE = 0.7;
const COLD_KEYS = 20;
const RECONNECT_CHANCE = 0.1;
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Dependencies of the callers. */
export interface BulkCallersOptions {
  readonly instances: readonly InstanceProcess[];
  readonly operators: SoakOperators;
  readonly checker: PropertyChecker;
  readonly random: Random;
}

/** A request and its bytes on the wire. */
interface BulkRequest {
  readonly attempt: SentAttempt;
  readonly bytes: Uint8Array;
  readonly digest: string;
  readonly responseBytes: number;
}

/** The callers of one run. */
export class BulkCallers {
  readonly #opts: BulkCallersOptions;
  #loops: Promise<void>[] = [];
  #sent = 0;
  #answered = 0;
  #ended = false;

  constructor(opts: BulkCallersOptions) {
    this.#opts = opts;
  }

  /** Requests that got a success. */
  get answered(): number {
    return this.#answered;
  }

  start(): void {
    this.#loops = Array.from({ length: CALLERS }, () => this.#runCaller());
  }

  async end(): Promise<void> {
    this.#ended = true;
    await Promise.all(this.#loops);
  }

  async #runCaller(): Promise<void> {
    const { instances, random } = this.#opts;
    while (!this.#ended) {
      const instance = instances[random.below(instances.length)]!;
      const { life } = instance;
      const connection = new BulkConnection(instance.callerAddress);
      connection.readsSlowly = random.next() < SLOW_CHANCE;
      do {
        await this.#exchange(connection, instance, life);
        await sleep(THINK_TIME_MS);
      } while (
        !this.#ended && !connection.isClosed && instance.life === life &&
        random.next() >= RECONNECT_CHANCE
      );
      connection.close();
    }
  }

  async #exchange(
    connection: BulkConnection,
    instance: InstanceProcess,
    life: number,
  ): Promise<void> {
    const { checker, random } = this.#opts;
    const isUpload = random.next() < UPLOAD_CHANCE;
    const max = connection.readsSlowly ? MAX_PIPELINED_SLOWLY : MAX_PIPELINED;
    const count = isUpload ? 1 : 1 + random.below(max);
    const requests = Array.from(
      { length: count },
      () => this.#build(instance, life, isUpload),
    );
    for (const { attempt } of requests) checker.sent(attempt);
    const responses = await connection.exchange(
      requests.map(({ bytes }) => bytes),
      EXCHANGE_TIMEOUT_MS,
    );
    const isClosing = responses.some(closes);
    checker.pipelineEnded(
      requests.map(({ attempt }) => attempt.request),
      responses.map((response) => ({
        request: response.headers.get(HEADERS.requestId) ?? "",
        closes: closes(response),
      })),
    );
    for (const [i, request] of requests.entries()) {
      const response = responses[i];
      // What is behind a response that closes the connection was not read.
      if (response === undefined && isClosing) break;
      const result = response === undefined
        ? missing(connection.isClosed)
        : resultOf(request, response);
      checker.answered(request.attempt, result);
      if (result.kind === "answer") this.#answered++;
    }
    if (responses.length < count || isClosing) connection.close();
  }

  #build(
    instance: InstanceProcess,
    life: number,
    isUpload: boolean,
  ): BulkRequest {
    const { operators, random } = this.#opts;
    const { id, keys } = operators.bulk;
    const responseBytes = random.below(MAX_RESPONSE_BYTES);
    const attempt: SentAttempt = {
      request: `b${this.#sent++}-${random.hex(4)}`,
      host: HOST,
      path: `/bulk-${isUpload ? "writes" : "reads"}/${responseBytes}`,
      key: keys[0] ?? "",
      object: random.next() < HOT_KEY_CHANCE
        ? "hot"
        : `cold${random.below(COLD_KEYS)}`,
      idempotent: !isUpload,
      clientTimeoutMs: CLIENT_TIMEOUT_MS,
      account: id,
      instance: instance.opts.id,
      life,
      sentAt: Date.now(),
      since: 1,
    };
    const body = Buffer.alloc(
      isUpload ? 1 + random.below(MAX_UPLOAD_BYTES) : 0,
      attempt.request,
    );
    const isChunked = isUpload && random.next() < 0.5;
    return {
      attempt,
      bytes: isChunked
        ? Buffer.concat([
          head(attempt, "Transfer-Encoding: chunked"),
          ...inChunks(body),
        ])
        : Buffer.concat([
          head(attempt, `Content-Length: ${body.length}`),
          body,
        ]),
      digest: digestOf(body),
      responseBytes,
    };
  }
}

function head(attempt: SentAttempt, framing: string): Buffer {
  const { request, host, path, key, object, idempotent } = attempt;
  return Buffer.from([
    `${idempotent ? "GET" : "POST"} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `${HEADERS.requestId}: ${request}`,
    `${HEADERS.affinityKey}: ${object}`,
    `${HEADERS.clientTimeout}: ${attempt.clientTimeoutMs}`,
    `${HEADERS.key}: Token ${key}`,
    framing,
    "\r\n",
  ].join("\r\n"));
}

const CHUNK_BYTES = 16_000;

function inChunks(body: Buffer): Buffer[] {
  const parts: Buffer[] = [];
  for (let at = 0; at < body.length; at += CHUNK_BYTES) {
    const chunk = body.subarray(at, at + CHUNK_BYTES);
    const size = Buffer.from(`${chunk.length.toString(16)}\r\n`);
    parts.push(size, chunk, Buffer.from("\r\n"));
  }
  return [...parts, Buffer.from("0\r\n\r\n")];
}

function missing(isClosed: boolean): CallerResult {
  return isClosed
    ? { kind: "broken", reason: "closed", sent: true }
    : { kind: "late" };
}

function resultOf(
  { attempt, digest, responseBytes }: BulkRequest,
  { status, headers, body }: WireResponse,
): CallerResult {
  if (NOT_RUN.has(status)) return { kind: "not-run", status };
  if (status >= 300) return { kind: "refused", status };
  const { request } = attempt;
  const signature = headers.get(HEADERS.signature) ?? "";
  const [endpoint = ""] = signature.split(".");
  const expected = noisyBodyOf(endpoint, request, {
    digest,
    bytes: responseBytes,
  });
  const faithful = signature === signatureOf(endpoint, request) &&
    body === expected;
  return { kind: "answer", faithful, endpoint, leaving: false, limited: false };
}
