/**
 * Endpoints over HTTP by undici.
 *
 * An endpoint is told the account in `x-client-account` and how long it may
 * take in `x-timeout-ms`. It sheds work it did not start by status 503 with
 * `x-not-run: true`, and answers probes under `/healthz`.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { Agent, errors, request } from "undici";
import { z } from "zod";
import { Deadline, fail, type Failure } from "../core/mod.ts";
import type {
  EndpointAnswer,
  EndpointClient,
  EndpointReport,
  EndpointRequest,
  Headers,
} from "./endpoint_client.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const SERVICE_UNAVAILABLE = 503;
const KEEP_ALIVE_MS = 10_000;
const MAX_CONNECTIONS_PER_ENDPOINT = 128;

const Report = z.object({
  ready: z.boolean(),
  in_flight: z.number().nonnegative().optional(),
});

/** Errors that undici gives before it has a connection to write to. */
const BEFORE_CONNECTION = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends requests to endpoints over kept connections. */
export class HttpEndpointClient implements EndpointClient {
  readonly #agent = new Agent({
    connections: MAX_CONNECTIONS_PER_ENDPOINT,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });

  async send(req: EndpointRequest): Promise<Result<EndpointAnswer, Failure>> {
    const timeout = new Deadline(req.timeoutMs, req.signal);
    try {
      const res = await request(req.url + req.path, {
        method: req.method,
        headers: {
          ...req.headers,
          "x-client-account": req.account,
          "x-timeout-ms": String(Math.floor(req.timeoutMs)),
        },
        body: req.body ?? null,
        dispatcher: this.#agent,
        signal: timeout.signal,
      });
      const headers = flatten(res.headers);
      if (headers["x-not-run"] === "true") {
        await res.body.dump();
        return fail("endpoint_failed", "the endpoint shed the request", {
          outcome: "not-run",
        });
      }
      return ok({ status: res.statusCode, headers, body: res.body });
    } catch (cause) {
      return fail(...reason(cause, req.signal, timeout));
    }
  }

  async probe(
    url: string,
    timeoutMs: number,
  ): Promise<Result<EndpointReport, Failure>> {
    try {
      const res = await request(`${url}/healthz`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (res.statusCode === SERVICE_UNAVAILABLE) {
        await res.body.dump();
        return ok({ ready: false, inFlight: undefined });
      }
      const report = Report.safeParse(await res.body.json());
      if (!report.success) {
        return fail("endpoint_failed", "broken health report");
      }
      const { ready, in_flight: inFlight } = report.data;
      return ok({ ready: ready && res.statusCode === 200, inFlight });
    } catch (cause) {
      return fail(
        "endpoint_failed",
        `probe of ${url} failed: ${String(cause)}`,
      );
    }
  }

  async close(): Promise<void> {
    await this.#agent.close();
  }
}

type Reason = Parameters<typeof fail>;

function reason(
  cause: unknown,
  caller: AbortSignal,
  timeout: Deadline,
): Reason {
  if (neverConnected(cause)) {
    return ["endpoint_failed", "no connection", { outcome: "not-run" }];
  }
  const unknown = { outcome: "unknown" } as const;
  if (caller.aborted) return ["cancelled", "the caller went away", unknown];
  if (timeout.expired) {
    return ["deadline_exceeded", "the endpoint took too long", unknown];
  }
  return ["endpoint_failed", `the endpoint failed: ${String(cause)}`, unknown];
}

function neverConnected(cause: unknown): boolean {
  const code = cause instanceof Error && "code" in cause ? cause.code : "";
  return cause instanceof errors.ConnectTimeoutError ||
    BEFORE_CONNECTION.has(String(code));
}

function flatten(
  headers: Record<string, string | string[] | undefined>,
): Headers {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) {
      flat[name] = Array.isArray(value) ? value.join(", ") : value;
    }
  }
  return flat;
}
