/**
 * Platform client over conditional HTTP requests.
 *
 * Values are stored under `/objects/KEY` with an ETag; `If-Match` and
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

/** Options of the HTTP platform client. */
export interface HttpPlatformOptions {
  readonly baseUrl: string;
  readonly metrics: Metrics;
  /** Bearer token, if the platform requires one. */
  readonly token?: string | undefined;
  /** Timeout of a call, in milliseconds; a watch's wait time is added to it. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
/** An endless response would exhaust memory before the timeout. */
const MAX_RESPONSE_BYTES = 100_000_000;

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

interface PlatformResponse {
  readonly status: number;
  readonly etag: string | undefined;
  readonly text: string;
}

/** Client of the platform's HTTP service. */
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
    const response = await this.#call("get", {
      method: "GET",
      path: objectPath(key),
    });
    return response.andThen((a) => parseValue(key, a));
  }

  async list(prefix: string): Promise<Result<Versioned<string>[], Failure>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const response = await this.#call("list", { method: "GET", path });
    return response.andThen((a) => parseBody(ObjectList, a));
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
    const response = await this.#call("put", call);
    return response.andThen((a) => parseVersion(key, a));
  }

  async watch(
    key: string,
    seen: string | undefined,
    waitMs: number,
  ): Promise<Result<Versioned<string> | undefined, Failure>> {
    const headers = { "if-none-match": `"${seen ?? ""}"` };
    const path = `${objectPath(key)}?wait_ms=${waitMs}`;
    const call: Call = { method: "GET", path, headers, extraMs: waitMs };
    const response = await this.#call("watch", call);
    if (response.isOk() && response.value.status === 304) {
      return await this.get(key);
    }
    return response.andThen((a) => parseValue(key, a));
  }

  async instances(): Promise<Result<ListedInstance[], Failure>> {
    const response = await this.#call("instances", {
      method: "GET",
      path: "/instances",
    });
    return response.andThen((a) => parseBody(z.array(InstanceEntry), a));
  }

  async announce(entry: ListedInstance): Promise<Result<void, Failure>> {
    const path = `/instances/${encodeURIComponent(entry.instance)}`;
    const body = JSON.stringify(entry);
    const response = await this.#call("announce", {
      method: "PUT",
      path,
      body,
    });
    return response.map(() => undefined);
  }

  async close(): Promise<void> {
    this.#abort.abort();
    await this.#agent.destroy();
  }

  #authorization(): Record<string, string> {
    const { token } = this.#opts;
    return token === undefined ? {} : { authorization: `Bearer ${token}` };
  }

  async #call(
    name: string,
    call: Call,
  ): Promise<Result<PlatformResponse, Failure>> {
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
      const text = await readText(res.body, MAX_RESPONSE_BYTES);
      const etag = res.headers.etag?.toString().replaceAll('"', "");
      return checkStatus(call, { status: res.statusCode, etag, text });
    } catch (cause) {
      this.#opts.metrics.count("platform.errors", { call: name });
      return callFailed(call, String(cause));
    } finally {
      deadline.close();
    }
  }
}

/** Reads a body; throws over `limit` bytes, which fails the call. */
async function readText(
  body: AsyncIterable<Uint8Array>,
  limit: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > limit) throw new RangeError(`response is over ${limit} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function objectPath(key: string): string {
  return `/objects/${key.split("/").map(encodeURIComponent).join("/")}`;
}

function checkStatus(
  call: Call,
  response: PlatformResponse,
): Result<PlatformResponse, Failure> {
  switch (response.status) {
    case 200:
    case 201:
    case 204:
    case 304:
    case 404:
      return ok(response);
    case 412:
      return fail("conflict", `${call.path} has changed`);
    case 413:
      return fail("value_too_large", `${call.path} is too large for the store`);
    default:
      return callFailed(call, `status ${response.status}`);
  }
}

/** A write without a response may still have taken effect. */
function callFailed(call: Call, cause: string): Result<never, Failure> {
  const message = `platform call ${call.method} ${call.path} failed: ${cause}`;
  if (call.method === "PUT") return fail("platform_outcome_unknown", message);
  return fail("platform_unavailable", message);
}

function parseValue(
  key: string,
  response: PlatformResponse,
): Result<Versioned<string> | undefined, Failure> {
  if (response.status === 404) return ok(undefined);
  if (response.etag === undefined) {
    return fail("platform_unavailable", `response for ${key} has no version`);
  }
  return ok({ key, value: response.text, version: response.etag });
}

function parseVersion(
  key: string,
  response: PlatformResponse,
): Result<string, Failure> {
  if (response.etag !== undefined) return ok(response.etag);
  return fail(
    "platform_outcome_unknown",
    `response to the write of ${key} has no version`,
  );
}

function parseBody<T>(
  schema: z.ZodType<T>,
  response: PlatformResponse,
): Result<T, Failure> {
  try {
    const parsed = schema.safeParse(JSON.parse(response.text));
    if (parsed.success) return ok(parsed.data);
  } catch {
    // Invalid JSON is reported like any other invalid body.
  }
  return fail(
    "platform_unavailable",
    "the platform's response body is invalid",
  );
}
