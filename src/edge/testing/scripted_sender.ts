/**
 * A sender that returns scripted results, for tests.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { EndpointRow } from "../../traffic/mod.ts";
import type {
  Destination,
  EndpointSender,
  OutgoingRequest,
  PendingSend,
  SendResult,
} from "../endpoint_sender.ts";
import type { ResponseFields } from "../request_codec.ts";

const FIELDS: ResponseFields = {
  requestId: "q1",
  notRun: false,
  moved: false,
  signed: true,
  load: undefined,
  limit: { kind: "none" },
  retryAfter: { kind: "none" },
  leaving: false,
  keepAliveMs: undefined,
  unread: [],
};

/** A response with this status. */
export function responded(
  status = 200,
  fields: Partial<ResponseFields> = {},
): SendResult {
  return {
    kind: "answer",
    status,
    headers: [],
    fields: { ...FIELDS, ...fields },
    body: { bytes: Buffer.from("ok"), remainder: undefined },
  };
}

/** A refusal that states that the request did not run. */
export function shed(fields: Partial<ResponseFields> = {}): SendResult {
  const moved = fields.moved ?? false;
  const refusal = { ...FIELDS, notRun: !moved, signed: false, ...fields };
  return { kind: "not-run", moved, fields: refusal };
}

/** One request to the sender. */
export interface RecordedSend {
  readonly endpoint: string;
  readonly req: OutgoingRequest;
  cancelled: boolean;
}

/** Returns the next result for each request; "silence" never responds. */
export class ScriptedSender implements EndpointSender {
  readonly sent: RecordedSend[] = [];
  /** Endpoints with an idle connection. */
  readonly idle = new Set<string>();
  readonly #results: (SendResult | "silence")[];

  #fallback: (endpoint: string) => SendResult = () => responded();

  constructor(...results: (SendResult | "silence")[]) {
    this.#results = results;
  }

  /** Sets the result of an endpoint once no scripted results are left. */
  answers(result: (endpoint: string) => SendResult): this {
    this.#fallback = result;
    return this;
  }

  send(to: EndpointRow | Destination, req: OutgoingRequest): PendingSend {
    const endpoint = "id" in to ? to.id : to.address;
    const sent: RecordedSend = { endpoint, req, cancelled: false };
    this.sent.push(sent);
    const next = this.#results.shift() ?? this.#fallback(endpoint);
    let settle: (result: SendResult) => void = () => {};
    const result = new Promise<SendResult>((resolve) => {
      settle = resolve;
      if (next === "silence") return;
      if (next.kind === "answer" || next.kind === "not-run") {
        req.onHead(next.fields);
      }
      resolve(next);
    });
    const cancel = () => {
      sent.cancelled = true;
      settle({ kind: "cancelled", sent: true });
    };
    return { result, cancel };
  }

  hasIdle(endpoint: EndpointRow): boolean {
    return this.idle.has(endpoint.id);
  }

  closeIdleConnections(): void {}

  close(): Promise<void> {
    return Promise.resolve();
  }
}
