/**
 * What commands are handed, so that a test runs them in one process.
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

/** Where a command's platform stands and how it is spoken to. */
export interface PlatformAddress {
  readonly url: string;
  readonly token?: string | undefined;
  readonly timeoutMs?: number;
}

/** The world around a command. */
export interface CliContext {
  readonly out: (line: string) => void;
  readonly err: (line: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  readonly random: Random;
  readonly openPlatform: (address: PlatformAddress) => Platform;
  readonly readFile: (file: string) => Promise<string>;
  readonly writeFile: (file: string, text: string) => Promise<void>;
  /** Resolves when the process is asked to end. */
  readonly stopped: () => Promise<void>;
}

/** Options that most commands share. */
export interface CommonOptions {
  readonly platform?: string;
  readonly settings?: string;
  readonly author?: string;
  readonly json?: boolean;
}

/** An open platform with the document on it. */
export interface Opened {
  readonly platform: Platform;
  readonly store: DocumentStore;
  readonly author: string;
}

/** The environment variable that holds the platform's bearer token. */
export const PLATFORM_TOKEN = "MAGNOLIAHOOK_PLATFORM_TOKEN";
/** The environment variable that names who edits. */
export const AUTHOR = "MAGNOLIAHOOK_AUTHOR";

/**
 * Opens the platform that the options name, runs, closes, and turns a failure
 * into a line for people and an exit code.
 */
export async function withPlatform(
  ctx: CliContext,
  opts: CommonOptions,
  run: (opened: Opened) => Promise<Result<void, Failure>>,
): Promise<ExitCode> {
  const address = await addressOf(ctx, opts);
  if (address.isErr()) return report(ctx, opts, address.error);
  const platform = ctx.openPlatform(address.value);
  const { clock, random } = ctx;
  const store = new DocumentStore({ platform, clock, random });
  try {
    const author = String(opts.author ?? ctx.env[AUTHOR] ?? ctx.env["USER"]);
    const done = await run({ platform, store, author });
    return done.isOk() ? EXIT.ok : report(ctx, opts, done.error);
  } finally {
    await platform.close();
  }
}

/** Prints a failure and gives its exit code. */
export function report(
  ctx: CliContext,
  opts: { readonly json?: boolean },
  failure: Failure,
): ExitCode {
  ctx.err(opts.json ? JSON.stringify(failure) : describe(failure));
  return exitCodeOf(failure);
}

async function addressOf(
  ctx: CliContext,
  opts: CommonOptions,
): Promise<Result<PlatformAddress, Failure>> {
  const token = ctx.env[PLATFORM_TOKEN];
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
