/**
 * HTTP responses of the administration API.
 *
 * @module
 */
import type { Response } from "express";
import type { Failure, FailureCode } from "../core/mod.ts";

const STATUS_BY_CODE: Partial<Record<FailureCode, number>> = {
  bad_request: 400,
  bad_section: 422,
  bad_document: 422,
  unauthenticated: 401,
  forbidden: 403,
  not_found: 404,
  conflict: 412,
  value_too_large: 413,
  precondition_required: 428,
  internal: 500,
  platform_outcome_unknown: 502,
};
const DEFAULT_STATUS = 503;

/** Responds with a failure as JSON. */
export function sendFailure(res: Response, failure: Failure): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  if (failure.code === "unauthenticated") {
    res.setHeader("www-authenticate", "Bearer");
  }
  const { code, message, path, change, issues } = failure;
  res.status(STATUS_BY_CODE[code] ?? DEFAULT_STATUS)
    .json({ code, message, path, change, issues });
}

/** Formats a section's version, or a generation, as an entity tag. */
export function etagOf(version: number): string {
  return `"${version}"`;
}
