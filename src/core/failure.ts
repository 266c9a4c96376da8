/**
 * Failures as data: a code that programs test, a path that says where, and a
 * message for people. Nothing in the library throws across its boundary; it
 * returns a `Result` of neverthrow with a {@link Failure}.
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
  /** Not run, and no attempt under the same id and home will run. */
  | "operation_refused"
  | "endpoint_failed"
  | "platform_unavailable"
  /** The store has dropped the history that a watch asks for. */
  | "history_lost"
  | "platform_outcome_unknown"
  | "value_too_large"
  | "peer_unavailable"
  | "no_answer"
  | "not_ready"
  | "leaving"
  /** The zone cannot learn whether the account's key was withdrawn. */
  | "cut_off"
  | "internal";

/**
 * What is known of a refused request: `not-run` only where no byte of it can
 * have reached an endpoint or the endpoint said so; otherwise `unknown`.
 */
export type Outcome = "not-run" | "unknown";

/** Where in a value something is wrong, outermost first. */
export type FailurePath = readonly (string | number)[];

/** Who changed something first, and when. */
export interface OtherChange {
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
  /** When to come back, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** The other change that a `conflict` lost against. */
  readonly change?: OtherChange | undefined;
  /** Further failures of the same value, as a schema check finds them. */
  readonly issues?: readonly Failure[];
}

/** What may be added to a failure beyond code and message. */
export type FailureDetails = Partial<
  Pick<Failure, "path" | "outcome" | "retryAfterMs" | "change" | "issues">
>;

/**
 * Makes a failure.
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
 * Makes a failed `Result`.
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
 * Turns what zod found into one failure whose `issues` keep each path. Parsed
 * with `reportInput`, each says what was found.
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
    return failure(code, issue.message + found(issue, path), { path });
  });
  return combine(code, issues);
}

/**
 * One failure for several: a single one stands for itself, more are told one
 * after another.
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
const MAX_SHOWN = 60;
/** Fields into which somebody may have put a secret by mistake. */
const SENSITIVE = /sha256|secret|token|key/;

/** Says what was found, but for what may be a secret pasted into a field. */
function found(issue: z.core.$ZodIssue, path: FailurePath): string {
  const { input } = issue;
  if (input === undefined || issue.code === "unrecognized_keys") return "";
  if (typeof input === "object") return "";
  const shown = String(input);
  const secret = path.some((part) => SENSITIVE.test(String(part)));
  if (secret || shown.length > MAX_SHOWN) {
    return `, found ${shown.length} characters`;
  }
  return `, found ${typeof input === "string" ? JSON.stringify(input) : shown}`;
}

/**
 * Writes a failure as one line for people.
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
