/**
 * Calls endpoints over HTTP with undici.
 *
 * Requests carry the account in `x-client-account` and the time-out in
 * `x-timeout-ms`. An endpoint that sheds a request before starting it answers
 * 503 with `x-not-run: true`. A 503 may have a `retry-after`, during which the
 * endpoint wants no requests from this instance; `x-leaving: true` in any
 * response says that it leaves. Probes go to `/healthz`.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { ok, type Result } from "neverthrow";
import { Agent, errors, request } from "undici";
import { z } from "zod";
import {
  Deadline,
  fail,
  type Failure,
  isFinalStatus,
  parseRetryAfter,
} from "../core/mod.ts";
import type { EndpointStatement } from "../decisions/steering/mod.ts";
import type {
  EndpointAnswer,
  EndpointClient,
  EndpointReport,
  EndpointRequest,
  Headers,
} from "./endpoint_client.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const SERVICE_UNAVAILABLE = 503;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
const MAX_CONNECTIONS_PER_ENDPOINT = 128;

const HealthReport = z.object({
  ready: z.boolean(),
  in_flight: z.number().nonnegative().optional(),
});

/** Error codes that undici reports before a connection is established. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Sends requests to endpoints over keep-alive connections. */
export class HttpEndpointClient implements EndpointClient {
  readonly #agent = new Agent({
    connections: MAX_CONNECTIONS_PER_ENDPOINT,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
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
      if (!isFinalStatus(res.statusCode)) {
        // Ending the body is reported as its error.
        res.body.on("error", () => {}).destroy();
        return fail("endpoint_failed", "the response has no valid status", {
          outcome: "unknown",
        });
      }
      const headers = joinRepeatedHeaders(res.headers);
      req.onStatement?.(readStatement(res.statusCode, res.headers));
      if (headers["x-not-run"] === "true") {
        await res.body.dump();
        return fail("endpoint_failed", "the endpoint shed the request", {
          outcome: "not-run",
        });
      }
      return ok({ status: res.statusCode, headers, body: res.body });
    } catch (cause) {
      return fail(...failArgsFor(cause, req.signal, timeout));
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
      const report = HealthReport.safeParse(await res.body.json());
      if (!report.success) {
        return fail("endpoint_failed", "the health report is not valid");
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

function readStatement(
  status: number,
  headers: IncomingHttpHeaders,
): EndpointStatement {
  const values = [headers["retry-after"] ?? []].flat();
  const retryAfter = parseRetryAfter(values, headers.date);
  const isRefusal = status === SERVICE_UNAVAILABLE;
  return {
    retryAfterMs: isRefusal && retryAfter.kind === "delay"
      ? retryAfter.ms
      : undefined,
    leaving: headers["x-leaving"] === "true",
  };
}

type FailArgs = Parameters<typeof fail>;

function failArgsFor(
  cause: unknown,
  caller: AbortSignal,
  timeout: Deadline,
): FailArgs {
  if (isConnectError(cause)) {
    return ["endpoint_failed", "could not connect to the endpoint", {
      outcome: "not-run",
    }];
  }
  const unknown = { outcome: "unknown" } as const;
  if (caller.aborted) return ["cancelled", "the caller disconnected", unknown];
  if (timeout.expired) {
    return [
      "deadline_exceeded",
      "the endpoint did not answer in time",
      unknown,
    ];
  }
  return ["endpoint_failed", `the endpoint failed: ${String(cause)}`, unknown];
}

function isConnectError(cause: unknown): boolean {
  const code = cause instanceof Error && "code" in cause ? cause.code : "";
  return cause instanceof errors.ConnectTimeoutError ||
    CONNECT_ERROR_CODES.has(String(code));
}

function joinRepeatedHeaders(
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
