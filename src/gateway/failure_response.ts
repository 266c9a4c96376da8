/**
 * Failures as HTTP responses.
 *
 * @module
 */
import type { Response } from "express";
import type { Failure, FailureCode } from "../core/mod.ts";
import { OUTCOME_HEADER } from "./headers.ts";

const STATUS: Partial<Record<FailureCode, number>> = {
  bad_request: 400,
  bad_section: 400,
  bad_document: 400,
  unauthenticated: 401,
  forbidden: 403,
  not_found: 404,
  conflict: 409,
  value_too_large: 413,
  rate_exceeded: 429,
  cancelled: 499,
  endpoint_failed: 502,
  outcome_unknown: 502,
  deadline_exceeded: 504,
  internal: 500,
};
const DEFAULT_STATUS = 503;
const MS_PER_S = 1_000;

/** Responds with a failure: status, outcome and retry delay. */
export function sendFailure(res: Response, failure: Failure): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  if (failure.outcome) res.setHeader(OUTCOME_HEADER, failure.outcome);
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failure.retryAfterMs / MS_PER_S);
    res.setHeader("retry-after", String(Math.max(1, seconds)));
  }
  res.status(STATUS[failure.code] ?? DEFAULT_STATUS).json({
    code: failure.code,
    message: failure.message,
    path: failure.path,
    outcome: failure.outcome,
    retry_after_ms: failure.retryAfterMs,
  });
}
