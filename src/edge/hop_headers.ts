/**
 * Header fields of requests that one instance passes on to another.
 *
 * @module
 */
import type { EndpointId, ServiceId } from "../core/mod.ts";
import { headerOf } from "./header_fields.ts";
import type { RawHeaders } from "./request_codec.ts";

/** What the instance that passes a request on says about it. */
export interface Hop {
  /** The instance that received the request from the caller. */
  readonly from: string;
  /** Version of its plan; an instance with an older one declines. */
  readonly planVersion: number;
  /** Endpoints that the request may have reached before. */
  readonly attempts: number;
  /** Whether the request is in the sending instance's retry budget. */
  readonly counted: boolean;
  /** The service that the sending instance selected. */
  readonly service?: ServiceId | undefined;
}

const PREFIX = "magnoliahook-";
const FROM = `${PREFIX}from`;
const PLAN = `${PREFIX}plan`;
const ATTEMPTS = `${PREFIX}attempts`;
const COUNTED = `${PREFIX}counted`;
const SERVICE = `${PREFIX}service`;
const ENDPOINT = `${PREFIX}endpoint`;
const DECLINED = `${PREFIX}declined`;
const ENDS_WITH_CONNECTION = `${PREFIX}ends-with-connection`;

/** Header fields of a request to another instance. */
export function hopFields(hop: Hop): string[] {
  const fields = [
    FROM,
    hop.from,
    PLAN,
    String(hop.planVersion),
    ATTEMPTS,
    String(hop.attempts),
  ];
  if (hop.service !== undefined) fields.push(SERVICE, hop.service);
  return hop.counted ? [...fields, COUNTED, "1"] : fields;
}

/** Undefined if fields are missing or invalid. */
export function readHop(headers: RawHeaders): Hop | undefined {
  const from = headerOf(headers, FROM);
  const planVersion = Number(headerOf(headers, PLAN));
  const attempts = Number(headerOf(headers, ATTEMPTS));
  const isValid = Number.isSafeInteger(planVersion) &&
    Number.isSafeInteger(attempts) && attempts >= 0;
  if (from === undefined || !isValid) return undefined;
  const counted = headerOf(headers, COUNTED) !== undefined;
  const service = headerOf(headers, SERVICE) as ServiceId | undefined;
  return { from, planVersion, attempts, counted, service };
}

/** Field by which an instance names the endpoint that responded. */
export function endpointField(endpoint: EndpointId): string[] {
  return [ENDPOINT, endpoint];
}

/** Field of a refusal by which an instance asks to try another instance. */
export function declinedField(): string[] {
  return [DECLINED, "1"];
}

/**
 * Field of a response whose body ended with its endpoint's connection. Between
 * instances it is sent in chunks, so that an instance that ends does not pass for
 * the end of the body.
 */
export function endsWithConnectionField(): string[] {
  return [ENDS_WITH_CONNECTION, "1"];
}

/** What an instance says about a response that it passes on or makes. */
export interface HopResponse {
  /** The endpoint that responded. */
  readonly endpoint: EndpointId | undefined;
  /** Whether the instance asks to try another one. */
  readonly declined: boolean;
  /** Whether its body ended with its endpoint's connection. */
  readonly endsWithConnection: boolean;
}

/** Reads the fields of a response of another instance. */
export function readHopResponse(headers: RawHeaders): HopResponse {
  return {
    endpoint: headerOf(headers, ENDPOINT) as EndpointId | undefined,
    declined: headerOf(headers, DECLINED) !== undefined,
    endsWithConnection: headerOf(headers, ENDS_WITH_CONNECTION) !== undefined,
  };
}

/** Header fields without those of this module. */
export function withoutHopFields(headers: RawHeaders): string[] {
  const out: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? "";
    if (name.toLowerCase().startsWith(PREFIX)) continue;
    out.push(name, headers[i + 1] ?? "");
  }
  return out;
}
