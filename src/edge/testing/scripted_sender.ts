/**
 * A sender whose endpoints do as a test says.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { EndpointRow } from "../../traffic/mod.ts";
import type {
  EndpointSender,
  OutgoingRequest,
  Sending,
  SendResult,
} from "../endpoint_sender.ts";
import type { AnswerFields } from "../request_codec.ts";

const FIELDS: AnswerFields = {
  requestId: "q1",
  notRun: false,
  moved: false,
  signed: true,
  load: undefined,
  limit: { kind: "none" },
  keepAliveMs: undefined,
};

/** An answer with this status. */
export function answered(
  status = 200,
  fields: Partial<AnswerFields> = {},
): SendResult {
  return {
    kind: "answer",
    status,
    headers: [],
    fields: { ...FIELDS, ...fields },
    body: { bytes: Buffer.from("ok"), rest: undefined },
  };
}

/** A refusal that says the request did not run. */
export function shed(fields: Partial<AnswerFields> = {}): SendResult {
  const moved = fields.moved ?? false;
  return { kind: "not-run", moved, fields: { ...FIELDS, ...fields } };
}

/** One send as the sender saw it. */
export interface Sent {
  readonly endpoint: string;
  readonly req: OutgoingRequest;
  cancelled: boolean;
}

/** Answers each send with the next result; "silence" never answers. */
export class ScriptedSender implements EndpointSender {
  readonly sent: Sent[] = [];
  readonly #results: (SendResult | "silence")[];

  #answer: (endpoint: string) => SendResult = () => answered();

  constructor(...results: (SendResult | "silence")[]) {
    this.#results = results;
  }

  /** Says how an endpoint answers once there are no results left. */
  answers(answer: (endpoint: string) => SendResult): this {
    this.#answer = answer;
    return this;
  }

  send(endpoint: EndpointRow, req: OutgoingRequest): Sending {
    const sent: Sent = { endpoint: endpoint.id, req, cancelled: false };
    this.sent.push(sent);
    const next = this.#results.shift() ?? this.#answer(endpoint.id);
    let settle: (result: SendResult) => void = () => {};
    const result = new Promise<SendResult>((resolve) => {
      settle = resolve;
      if (next !== "silence") resolve(next);
    });
    const cancel = () => {
      sent.cancelled = true;
      settle({ kind: "cancelled", sent: true });
    };
    return { result, cancel };
  }

  forget(): void {}

  close(): Promise<void> {
    return Promise.resolve();
  }
}
