/**
 * Exit codes of the command line.
 *
 * @module
 */
import type { Failure, FailureCode } from "../core/mod.ts";

/** Exit codes; docs/CLI.md is generated from {@link EXIT_MEANING}. */
export const EXIT = {
  ok: 0,
  failed: 1,
  badInput: 2,
  conflict: 3,
  unavailable: 4,
  unknown: 5,
} as const;

export type ExitCode = typeof EXIT[keyof typeof EXIT];

export const EXIT_MEANING: Readonly<Record<ExitCode, string>> = {
  0: "done",
  1: "failed, or the command was called wrongly; nothing was changed",
  2: "the settings, a section or an argument is wrong; nothing was changed",
  3: "lost a race: another editor was first; nothing was changed",
  4: "the platform or the instance cannot be reached; nothing was changed",
  5: "the answer to a write was lost and it may have taken effect; look first",
};

const EXIT_BY_FAILURE: Partial<Record<FailureCode, ExitCode>> = {
  bad_settings: EXIT.badInput,
  bad_section: EXIT.badInput,
  bad_document: EXIT.badInput,
  bad_request: EXIT.badInput,
  not_found: EXIT.badInput,
  value_too_large: EXIT.badInput,
  conflict: EXIT.conflict,
  platform_unavailable: EXIT.unavailable,
  not_ready: EXIT.unavailable,
  platform_outcome_unknown: EXIT.unknown,
};

export function exitCodeOf(failure: Failure): ExitCode {
  return EXIT_BY_FAILURE[failure.code] ?? EXIT.failed;
}
