/**
 * How requests and answers are spoken on the wire, as far as the request path
 * has to know: an adapter reads and writes the names, the path works with what
 * they mean.
 *
 * @module
 */
import type { AccountId, EndpointId, Failure } from "../core/mod.ts";
import type { LoadReport } from "../traffic/mod.ts";

/** Header fields as they come: name, value, name, value. */
export type RawHeaders = readonly string[];

/** What a caller's request says beside method, path and body. */
export interface CallerFields {
  /** The caller's id of this attempt; empty where it gave none. */
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  /** The key that the caller presents. */
  readonly key: string | undefined;
  readonly affinityKey: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly clientTimeoutMs: number | undefined;
}

/** What this instance sets on a request that it sends to an endpoint. */
export interface EndpointFields {
  /** The only endpoint that may run the request. */
  readonly endpoint: EndpointId;
  /** The account on whose behalf it runs. */
  readonly account: AccountId | undefined;
  /** Time left, in milliseconds. */
  readonly leftMs: number;
}

/** The rate that an endpoint says it takes from all instances together. */
export type AnswerLimit =
  | { readonly kind: "limited"; readonly ratePerS: number }
  /** The answer names no limit. */
  | { readonly kind: "none" }
  /** There is a limit, and it is no rate. */
  | { readonly kind: "unreadable" };

/** What an endpoint's answer says beside status and body. */
export interface AnswerFields {
  /** The id of the request that it answers; undefined if it names none. */
  readonly requestId: string | undefined;
  /** Whether the endpoint says that it did not run the request. */
  readonly notRun: boolean;
  /** Whether another endpoint has the address. */
  readonly moved: boolean;
  /** Whether the answer is the endpoint's own, by its signature. */
  readonly signed: boolean;
  readonly load: LoadReport | undefined;
  readonly limit: AnswerLimit;
  /** How long the endpoint keeps an idle connection, in milliseconds. */
  readonly keepAliveMs: number | undefined;
}

/** An answer that this instance makes itself. */
export interface OwnAnswer {
  readonly status: number;
  readonly headers: string[];
  readonly body: string;
}

/** Reads and writes the names on the wire. */
export interface RequestCodec {
  readCaller(url: string, headers: RawHeaders): CallerFields;
  /** Header fields for the endpoint; those for this hop only are left out. */
  endpointHeaders(headers: RawHeaders, fields: EndpointFields): string[];
  readAnswer(status: number, headers: RawHeaders): AnswerFields;
  /** An endpoint's header fields for the caller. */
  callerHeaders(headers: RawHeaders): string[];
  /** The answer to a request that fails here. */
  refusal(failure: Failure, requestId: string): OwnAnswer;
}
