/**
 * Failures as values: a code for programs, a path to the faulty value and a
 * message for people. The library does not throw across its boundary; it
 * returns a neverthrow `Result` with a {@link Failure}.
 *
 * @module
 */
import { err, type Result } from "neverthrow";
import type { z } from "zod";

/** Every kind of failure the library reports. */
export type FailureCode =
  | "bad_settings"
  | "bad_section"
  | "bad_document"
  | "bad_request"
  | "conflict"
  | "precondition_required"
  | "not_found"
  | "forbidden"
  | "unauthenticated"
  | "rate_exceeded"
  | "no_capacity"
  | "no_endpoint"
  | "deadline_exceeded"
  | "cancelled"
  | "outcome_unknown"
  /** Not run, and no attempt with the same id and home will run. */
  | "operation_refused"
  | "endpoint_failed"
  | "platform_unavailable"
  /** The store has compacted the history that a watch requests. */
  | "history_lost"
  | "platform_outcome_unknown"
  | "value_too_large"
  | "peer_unavailable"
  | "no_answer"
  | "not_ready"
  | "leaving"
  /** The zone cannot find out whether the account's key was revoked. */
  | "cut_off"
  | "internal";

/**
 * Whether a failed request may have run: `not-run` only if no byte of it can
 * have reached an endpoint or the endpoint reported so; otherwise `unknown`.
 */
export type Outcome = "not-run" | "unknown";

/** Path to the faulty part of a value, outermost key first. */
export type FailurePath = readonly (string | number)[];

/** The author, version and time of a conflicting change. */
export interface ConflictingChange {
  readonly author: string;
  readonly version: number;
  /** Milliseconds since the Unix epoch. */
  readonly changedAt: number;
}

/** One failure. */
export interface Failure {
  readonly code: FailureCode;
  readonly message: string;
  readonly path: FailurePath;
  readonly outcome?: Outcome;
  /** When to retry, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** For a `conflict`, the change that was written first. */
  readonly change?: ConflictingChange | undefined;
  /** The individual failures of a value that were combined into this one. */
  readonly issues?: readonly Failure[];
}

/** Optional fields of a failure. */
export type FailureDetails = Partial<
  Pick<Failure, "path" | "outcome" | "retryAfterMs" | "change" | "issues">
>;

/**
 * Creates a failure.
 *
 * @example
 * ```ts
 * failure("rate_exceeded", "account a1 is over its rate", { outcome: "not-run" });
 * ```
 */
export function failure(
  code: FailureCode,
  message: string,
  details: FailureDetails = {},
): Failure {
  return { code, message, path: [], ...details };
}

/**
 * Creates a failed `Result`.
 *
 * @example
 * ```ts
 * return fail("not_found", `no section ${name}`);
 * ```
 */
export function fail<T = never>(
  code: FailureCode,
  message: string,
  details: FailureDetails = {},
): Result<T, Failure> {
  return err(failure(code, message, details));
}

/**
 * Converts a zod error to one failure whose `issues` keep each path. If parsed
 * with `reportInput`, each message includes the input.
 *
 * @example
 * ```ts
 * const parsed = Settings.safeParse(raw, { reportInput: true });
 * if (!parsed.success) return err(fromZod("bad_settings", parsed.error));
 * ```
 */
export function fromZod(code: FailureCode, error: z.ZodError): Failure {
  const issues = error.issues.slice(0, MAX_ISSUES).map((issue) => {
    const path = issue.path.map(pathPart);
    return failure(code, issue.message + describeInput(issue, path), { path });
  });
  return combine(code, issues);
}

/**
 * Combines failures into one: a single failure keeps its message and path, the
 * messages of several are joined.
 *
 * @example
 * ```ts
 * if (issues.length > 0) return err(combine("bad_document", issues));
 * ```
 */
export function combine(
  code: FailureCode,
  issues: readonly Failure[],
): Failure {
  const [first, second] = issues;
  if (first !== undefined && second === undefined) return { ...first, issues };
  return failure(code, issues.map(describe).join("; "), { issues });
}

const MAX_ISSUES = 50;
const MAX_INPUT_LENGTH = 60;
/** Fields that may contain a secret entered by mistake. */
const SENSITIVE = /sha256|secret|token|key/;

/** Describes the input; only its length if it is long or may be secret. */
function describeInput(issue: z.core.$ZodIssue, path: FailurePath): string {
  const { input } = issue;
  if (input === undefined || issue.code === "unrecognized_keys") return "";
  if (typeof input === "object") return "";
  const shown = String(input);
  const secret = path.some((part) => SENSITIVE.test(String(part)));
  if (secret || shown.length > MAX_INPUT_LENGTH) {
    return `, found ${shown.length} characters`;
  }
  return `, found ${typeof input === "string" ? JSON.stringify(input) : shown}`;
}

/**
 * Formats a failure as one line for people.
 *
 * @example
 * ```ts
 * describe(failure("bad_section", "must be positive", { path: ["rates", "a1"] }));
 * // "rates.a1: must be positive"
 * ```
 */
export function describe(f: Failure): string {
  return f.path.length === 0 ? f.message : `${f.path.join(".")}: ${f.message}`;
}

function pathPart(part: PropertyKey): string | number {
  return typeof part === "symbol" ? String(part) : part;
}
