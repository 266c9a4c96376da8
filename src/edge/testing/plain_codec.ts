/**
 * A codec with plain names, for tests.
 *
 * @module
 */
import type { Failure } from "../../core/mod.ts";
import type {
  AnswerFields,
  CallerFields,
  EndpointFields,
  OwnAnswer,
  RawHeaders,
  RequestCodec,
} from "../request_codec.ts";

const MOVED = 421;

/** Reads and writes `id`, `object`, `patience`, `key`, `not-run`, `signed`. */
export class PlainCodec implements RequestCodec {
  readCaller(url: string, headers: RawHeaders): CallerFields {
    const patience = field(headers, "patience");
    return {
      requestId: field(headers, "id") ?? "",
      host: field(headers, "host") ?? "",
      path: url,
      key: field(headers, "key"),
      affinityKey: field(headers, "object"),
      patienceMs: patience === undefined ? undefined : Number(patience),
    };
  }

  endpointHeaders(headers: RawHeaders, fields: EndpointFields): string[] {
    const id = field(headers, "id") ?? "";
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

  readAnswer(status: number, headers: RawHeaders): AnswerFields {
    const keep = field(headers, "keep");
    return {
      requestId: field(headers, "id"),
      notRun: field(headers, "not-run") !== undefined,
      moved: status === MOVED,
      signed: field(headers, "signed") !== undefined,
      load: undefined,
      keepAliveMs: keep === undefined ? undefined : Number(keep),
    };
  }

  callerHeaders(headers: RawHeaders): string[] {
    return ["id", field(headers, "id") ?? "", "signed", "yes"];
  }

  refusal(failure: Failure, requestId: string): OwnAnswer {
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

function field(headers: RawHeaders, name: string): string | undefined {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    if (headers[i]?.toLowerCase() === name) return headers[i + 1];
  }
  return undefined;
}
