/**
 * A codec with short header names, for tests.
 *
 * @module
 */
import { type Failure, parseRetryAfter } from "../../core/mod.ts";
import { headerOf } from "../header_fields.ts";
import type {
  EndpointFields,
  LocalReply,
  RawHeaders,
  RequestCodec,
  RequestFields,
  ResponseFields,
} from "../request_codec.ts";

const MISDIRECTED_STATUS = 421;

/** Reads and writes `id`, `object`, `patience`, `key`, `not-run`, `signed`. */
export class PlainCodec implements RequestCodec {
  readRequest(url: string, headers: RawHeaders): RequestFields {
    const timeout = headerOf(headers, "patience");
    return {
      requestId: headerOf(headers, "id") ?? "",
      host: headerOf(headers, "host") ?? "",
      path: url,
      key: headerOf(headers, "key"),
      affinityKey: headerOf(headers, "object"),
      clientTimeoutMs: timeout === undefined ? undefined : Number(timeout),
    };
  }

  endpointHeaders(headers: RawHeaders, fields: EndpointFields): string[] {
    const id = headerOf(headers, "id") ?? "";
    return [
      "id",
      id,
      "endpoint",
      fields.endpoint,
      "left",
      String(fields.leftMs),
      "account",
      fields.account ?? "none",
    ];
  }

  peerHeaders(headers: RawHeaders, leftMs: number): string[] {
    const kept = ["id", "host", "key", "object"].flatMap((name) => {
      const value = headerOf(headers, name);
      return value === undefined ? [] : [name, value];
    });
    return [...kept, "patience", String(leftMs)];
  }

  readResponse(status: number, headers: RawHeaders): ResponseFields {
    const keepAlive = headerOf(headers, "keep");
    return {
      requestId: headerOf(headers, "id"),
      notRun: headerOf(headers, "not-run") !== undefined,
      moved: status === MISDIRECTED_STATUS,
      signed: headerOf(headers, "signed") !== undefined,
      load: undefined,
      limit: { kind: "none" },
      retryAfter: parseRetryAfter(
        [headerOf(headers, "retry-after")].filter((value) =>
          value !== undefined
        ),
      ),
      leaving: headerOf(headers, "leaving") !== undefined,
      keepAliveMs: keepAlive === undefined ? undefined : Number(keepAlive),
      unread: [],
    };
  }

  callerHeaders(headers: RawHeaders): string[] {
    return ["id", headerOf(headers, "id") ?? "", "signed", "yes"];
  }

  refusal(failure: Failure, requestId: string): LocalReply {
    const statuses: Record<string, number> = {
      rate_exceeded: 429,
      no_capacity: 503,
      not_ready: 503,
      not_found: 404,
      unauthenticated: 401,
      deadline_exceeded: 504,
    };
    const status = statuses[failure.code] ?? 502;
    return { status, headers: ["id", requestId], body: failure.code };
  }
}
