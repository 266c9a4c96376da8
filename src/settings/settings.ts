/**
 * Settings of one entry instance that are not part of the shared document.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import type { Result } from "neverthrow";
import { parse } from "smol-toml";
import { z } from "zod";
import {
  checkValue,
  fail,
  type Failure,
  InstanceId,
  RegionId,
  strict,
  ZoneId,
} from "../core/mod.ts";

/** The address of a listener. */
const ListenAddress = strict({
  host: z.string().min(1).max(255).default("127.0.0.1").describe(
    "The address to listen on",
  ),
  port: z.number().int().min(0).max(65_535).default(0).describe(
    "The port; 0 selects any free port",
  ),
});

const Bytes = z.number().int().min(1_024).max(1_073_741_824);
const Count = z.number().int().min(1).max(1_000_000);
const Milliseconds = z.number().int().min(100).max(3_600_000);

/** Limits on callers' requests and connections. */
const CallerLimits = strict({
  header_bytes: Bytes.default(16_384).describe(
    "Maximum total size of a request's header fields in bytes; larger requests get status 431",
  ),
  body_bytes: Bytes.default(16_777_216).describe(
    "Maximum size of a request's body in bytes; larger requests get status 413, and are cut off if they announced no length",
  ),
  connections: Count.default(10_000).describe(
    "Maximum number of connections from all callers; further ones are closed at once",
  ),
  connections_per_address: Count.default(2_000).describe(
    "Maximum number of connections from one address; further ones are closed at once",
  ),
  header_ms: Milliseconds.default(10_000).describe(
    "Timeout for receiving a request's header fields, in milliseconds",
  ),
  request_ms: Milliseconds.default(60_000).describe(
    "Timeout for receiving a whole request, in milliseconds",
  ),
  idle_ms: Milliseconds.default(30_000).describe(
    "How long a connection may be idle between requests, in milliseconds",
  ),
});

/** TLS certificate and key of the listener for callers. */
const TlsSettings = strict({
  cert_file: z.string().min(1).describe("The certificate chain, in PEM"),
  key_file: z.string().min(1).describe("Its private key, in PEM"),
  reload_ms: Milliseconds.default(5_000).describe(
    "How often the two files are checked for changes, in milliseconds; a new pair applies to new connections",
  ),
});

/** The settings file's schema. */
export const Settings = strict({
  instance: strict({
    id: InstanceId.describe("This instance's unique name"),
    zone: ZoneId.describe("The availability zone it runs in"),
    region: RegionId.describe("The region it runs in"),
  }).describe("Identity and location of this instance"),
  caller: strict({
    ...ListenAddress.shape,
    limits: CallerLimits.prefault({}).describe(
      "Limits on callers' requests and connections",
    ),
    tls: TlsSettings.optional().describe(
      "TLS certificate and key; without them callers are served without encryption",
    ),
  }).prefault({}).describe("Listener for callers"),
  peer: ListenAddress.prefault({}).describe("Listener for other instances"),
  admin: strict({
    ...ListenAddress.shape,
    bootstrap_token_sha256: z.string().regex(
      /^[0-9a-f]{64}$/,
      "must be a SHA-256 digest in lower-case hexadecimal",
    ).optional().describe(
      "SHA-256 of a token that may edit every section while the document names no role",
    ),
  }).prefault({}).describe("Listener for the administration API"),
  platform: strict({
    url: z.url({ protocol: /^https?$/ }).describe(
      "URL of the platform service",
    ),
    timeout_ms: z.number().int().min(10).max(60_000).default(2_000).describe(
      "Timeout for one call, in milliseconds; the wait of a long-polling watch is added to it",
    ),
  }).describe("The service that stores the document, status and instance list"),
  metrics: strict({
    host: z.string().min(1).max(255).describe("The StatsD server's address"),
    port: z.number().int().min(1).max(65_535).describe("Its UDP port"),
  }).optional().describe(
    "The StatsD server that receives metrics; without it none are sent",
  ),
  tick_ms: z.number().int().min(10).max(10_000).default(100).describe(
    "Interval between runs of the periodic tasks, in milliseconds",
  ),
});
export type Settings = z.infer<typeof Settings>;

/**
 * Validates settings that were already parsed.
 *
 * Errors: `bad_settings`, with a path to each invalid value.
 *
 * @example
 * ```ts
 * const cfg = parseSettings({ instance: { id: "i1", zone: "z", region: "r" } });
 * ```
 */
export function parseSettings(raw: unknown): Result<Settings, Failure> {
  return checkValue("bad_settings", Settings, raw);
}

/**
 * Reads and validates a TOML settings file.
 *
 * Errors: `bad_settings`, if the file is unreadable, not TOML or invalid.
 *
 * @example
 * ```ts
 * const cfg = await loadSettings("/etc/magnoliahook.toml");
 * ```
 */
export async function loadSettings(
  file: string,
): Promise<Result<Settings, Failure>> {
  let text: string;
  try {
    text = await readFile(file, "utf8");
  } catch (cause) {
    return fail("bad_settings", `cannot read ${file}: ${String(cause)}`);
  }
  try {
    return parseSettings(parse(text))
      .mapErr((f) => ({ ...f, message: `${file}: ${f.message}` }));
  } catch (cause) {
    return fail("bad_settings", `${file} is not TOML: ${String(cause)}`);
  }
}
