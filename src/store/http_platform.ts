/**
 * The platform over ordinary conditional HTTP requests.
 *
 * Values stand under `/objects/KEY` with an ETag; `If-Match` and
 * `If-None-Match: *` make writes conditional; `?wait_ms=` with `If-None-Match`
 * is a long poll that ends with 304 when nothing changed. `/instances` is the
 * list of entry instances.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { ok, type Result } from "neverthrow";
import { Agent, request } from "undici";
import { z } from "zod";
import {
  Deadline,
  fail,
  type Failure,
  InstanceId,
  type Metrics,
  RegionId,
  ZoneId,
} from "../core/mod.ts";
import {
  type ListedInstance,
  MAX_VALUE_BYTES,
  type Platform,
  type PutCondition,
  type Versioned,
} from "./platform.ts";

/** What the adapter needs. */
export interface HttpPlatformOptions {
  readonly baseUrl: string;
  readonly metrics: Metrics;
  /** Sent as a bearer token, where the platform asks for one. */
  readonly token?: string | undefined;
  /** How long one call may take, in milliseconds, waiting watches apart. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
/** An answer without end would fill the memory before the time limit ends it. */
const MAX_ANSWER_BYTES = 100_000_000;

const ObjectList = z.array(
  z.object({ key: z.string(), value: z.string(), version: z.string() }),
);

/** An entry of the instance list on the wire. */
export const InstanceEntry = z.object({
  instance: InstanceId,
  zone: ZoneId,
  region: RegionId,
  peerUrl: z.string(),
  callerUrl: z.string(),
  state: z.enum(["live", "leaving"]),
});

interface Call {
  readonly method: "GET" | "PUT";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly extraMs?: number;
}

interface Answer {
  readonly status: number;
  readonly etag: string | undefined;
  readonly text: string;
}

/** The platform's HTTP service. */
export class HttpPlatform implements Platform {
  readonly #opts: HttpPlatformOptions;
  readonly #agent = new Agent({ connections: 8, pipelining: 1 });
  readonly #abort = new AbortController();

  constructor(opts: HttpPlatformOptions) {
    this.#opts = opts;
  }

  async get(
    key: string,
  ): Promise<Result<Versioned<string> | undefined, Failure>> {
    const answer = await this.#call("get", {
      method: "GET",
      path: objectPath(key),
    });
    return answer.andThen((a) => valueOf(key, a));
  }

  async list(prefix: string): Promise<Result<Versioned<string>[], Failure>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const answer = await this.#call("list", { method: "GET", path });
    return answer.andThen((a) => parseBody(ObjectList, a));
  }

  async put(
    key: string,
    value: string,
    condition: PutCondition,
  ): Promise<Result<string, Failure>> {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return fail("value_too_large", `${key} is over ${MAX_VALUE_BYTES} bytes`);
    }
    const headers: Record<string, string> = condition.ifAbsent
      ? { "if-none-match": "*" }
      : { "if-match": `"${condition.ifVersion}"` };
    const path = objectPath(key);
    const call: Call = { method: "PUT", path, headers, body: value };
    const answer = await this.#call("put", call);
    return answer.andThen((a) => versionOf(key, a));
  }

  async watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<Versioned<string> | undefined, Failure>> {
    const headers = { "if-none-match": `"${seen ?? ""}"` };
    const path = `${objectPath(key)}?wait_ms=${waitMs}`;
    const call: Call = { method: "GET", path, headers, extraMs: waitMs };
    const answer = await this.#call("watch", call);
    if (answer.isOk() && answer.value.status === 304) {
      return await this.get(key);
    }
    return answer.andThen((a) => valueOf(key, a));
  }

  async instances(): Promise<Result<ListedInstance[], Failure>> {
    const answer = await this.#call("instances", {
      method: "GET",
      path: "/instances",
    });
    return answer.andThen((a) => parseBody(z.array(InstanceEntry), a));
  }

  async announce(entry: ListedInstance): Promise<Result<void, Failure>> {
    const path = `/instances/${encodeURIComponent(entry.instance)}`;
    const body = JSON.stringify(entry);
    const answer = await this.#call("announce", { method: "PUT", path, body });
    return answer.map(() => undefined);
  }

  async close(): Promise<void> {
    this.#abort.abort();
    await this.#agent.destroy();
  }

  #authorization(): Record<string, string> {
    const { token } = this.#opts;
    return token === undefined ? {} : { authorization: `Bearer ${token}` };
  }

  async #call(name: string, call: Call): Promise<Result<Answer, Failure>> {
    this.#opts.metrics.count("platform.calls", { call: name });
    const timeoutMs = (this.#opts.timeoutMs ?? DEFAULT_TIMEOUT_MS) +
      (call.extraMs ?? 0);
    const deadline = new Deadline(timeoutMs, this.#abort.signal);
    try {
      const res = await request(this.#opts.baseUrl + call.path, {
        method: call.method,
        headers: { ...call.headers, ...this.#authorization() },
        body: call.body ?? null,
        dispatcher: this.#agent,
        signal: deadline.signal,
      });
      const text = await readText(res.body, MAX_ANSWER_BYTES);
      const etag = res.headers.etag?.toString().replaceAll('"', "");
      return answerOf(call, { status: res.statusCode, etag, text });
    } catch (cause) {
      this.#opts.metrics.count("platform.errors", { call: name });
      return unreachable(call, String(cause));
    } finally {
      deadline.close();
    }
  }
}

/** Reads a body; throws past `limit` bytes, which is told as unreachable. */
async function readText(
  body: AsyncIterable<Uint8Array>,
  limit: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > limit) throw new RangeError(`an answer of over ${limit} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function objectPath(key: string): string {
  return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function answerOf(call: Call, answer: Answer): Result<Answer, Failure> {
  switch (answer.status) {
    case 200:
    case 201:
    case 204:
    case 304:
    case 404:
      return ok(answer);
    case 412:
      return fail("conflict", `${call.path} has changed`);
    case 413:
      return fail("value_too_large", `${call.path} is too large for the store`);
    default:
      return unreachable(call, `status ${answer.status}`);
  }
}

/** A write that was not answered may have taken effect all the same. */
function unreachable(call: Call, cause: string): Result<never, Failure> {
  const message = `platform call ${call.method} ${call.path} failed: ${cause}`;
  if (call.method === "PUT") return fail("platform_outcome_unknown", message);
  return fail("platform_unavailable", message);
}

function valueOf(
  key: string,
  answer: Answer,
): Result<Versioned<string> | undefined, Failure> {
  if (answer.status === 404) return ok(undefined);
  if (answer.etag === undefined) {
    return fail("platform_unavailable", `${key} came without a version`);
  }
  return ok({ key, value: answer.text, version: answer.etag });
}

function versionOf(key: string, answer: Answer): Result<string, Failure> {
  if (answer.etag !== undefined) return ok(answer.etag);
  return fail(
    "platform_outcome_unknown",
    `${key} was written without a version`,
  );
}

function parseBody<T>(
  schema: z.ZodType<T>,
  answer: Answer,
): Result<T, Failure> {
  try {
    const parsed = schema.safeParse(JSON.parse(answer.text));
    if (parsed.success) return ok(parsed.data);
  } catch {
    // Broken JSON is reported like any other wrong body.
  }
  return fail(
    "platform_unavailable",
    "the platform answered with a broken body",
  );
}
