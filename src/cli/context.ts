/**
 * The environment of commands, injected so that tests run them in-process.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import {
  type Clock,
  describe,
  fail,
  type Failure,
  type Random,
} from "../core/mod.ts";
import { DocumentStore } from "../document/mod.ts";
import type { Platform } from "../store/mod.ts";
import { loadSettings } from "../settings/mod.ts";
import { EXIT, type ExitCode, exitCodeOf } from "./exit.ts";

/** How to connect to the platform. */
export interface PlatformAddress {
  readonly url: string;
  readonly token?: string | undefined;
  readonly timeoutMs?: number;
}

/** Input, output and other dependencies of a command. */
export interface CliContext {
  readonly out: (line: string) => void;
  readonly err: (line: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  readonly random: Random;
  readonly openPlatform: (address: PlatformAddress) => Platform;
  readonly readFile: (file: string) => Promise<string>;
  readonly writeFile: (file: string, text: string) => Promise<void>;
  /** Resolves when the process is asked to stop. */
  readonly stopped: () => Promise<void>;
}

/** Options that most commands share. */
export interface CommonOptions {
  readonly platform?: string;
  readonly settings?: string;
  readonly author?: string;
  readonly json?: boolean;
}

/** An open platform, its document store and the author of edits. */
export interface PlatformSession {
  readonly platform: Platform;
  readonly store: DocumentStore;
  readonly author: string;
}

/** The environment variable that holds the platform's bearer token. */
export const PLATFORM_TOKEN_ENV = "MAGNOLIAHOOK_PLATFORM_TOKEN";
/** The environment variable that names the author of edits. */
export const AUTHOR_ENV = "MAGNOLIAHOOK_AUTHOR";

/**
 * Opens the platform that the options name, calls `run` and closes the
 * platform. Prints a failure and returns the exit code.
 */
export async function withPlatform(
  ctx: CliContext,
  opts: CommonOptions,
  run: (session: PlatformSession) => Promise<Result<void, Failure>>,
): Promise<ExitCode> {
  const address = await resolvePlatformAddress(ctx, opts);
  if (address.isErr()) return reportFailure(ctx, opts, address.error);
  const platform = ctx.openPlatform(address.value);
  const { clock, random } = ctx;
  const store = new DocumentStore({ platform, clock, random });
  try {
    const author = String(
      opts.author ?? ctx.env[AUTHOR_ENV] ?? ctx.env["USER"],
    );
    const result = await run({ platform, store, author });
    return result.isOk() ? EXIT.ok : reportFailure(ctx, opts, result.error);
  } finally {
    await platform.close();
  }
}

/** Prints a failure and returns its exit code. */
export function reportFailure(
  ctx: CliContext,
  opts: { readonly json?: boolean },
  failure: Failure,
): ExitCode {
  ctx.err(opts.json ? JSON.stringify(failure) : describe(failure));
  return exitCodeOf(failure);
}

async function resolvePlatformAddress(
  ctx: CliContext,
  opts: CommonOptions,
): Promise<Result<PlatformAddress, Failure>> {
  const token = ctx.env[PLATFORM_TOKEN_ENV];
  if (opts.platform !== undefined) {
    const url = String(opts.platform);
    if (URL.canParse(url)) return ok({ url, token });
    return fail("bad_request", `--platform ${url} is not a URL`);
  }
  if (opts.settings === undefined) {
    return fail(
      "bad_request",
      "say where the platform is by --platform URL or --settings FILE",
    );
  }
  const cfg = await loadSettings(String(opts.settings));
  if (cfg.isErr()) return err(cfg.error);
  const { url, timeout_ms: timeoutMs } = cfg.value.platform;
  return ok({ url, token, timeoutMs });
}
