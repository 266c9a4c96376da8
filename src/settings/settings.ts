/**
 * Settings of one entry instance: what it cannot learn from the document.
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

/** Where a listener stands. */
const ListenAddress = strict({
  host: z.string().min(1).max(255).default("127.0.0.1").describe(
    "The address to listen on",
  ),
  port: z.number().int().min(0).max(65_535).default(0).describe(
    "The port; 0 lets the machine choose",
  ),
});

const Bytes = z.number().int().min(1_024).max(1_073_741_824);
const Count = z.number().int().min(1).max(1_000_000);
const Milliseconds = z.number().int().min(100).max(3_600_000);

/** What one caller may take. */
const CallerLimits = strict({
  header_bytes: Bytes.default(16_384).describe(
    "Bytes of a request's header fields together; more is answered with 431",
  ),
  body_bytes: Bytes.default(16_777_216).describe(
    "Bytes of a request's body; more is answered with 413, and cut off where no length was announced",
  ),
  connections: Count.default(10_000).describe(
    "Connections over all callers; more are closed at once",
  ),
  connections_per_address: Count.default(2_000).describe(
    "Connections from one address; more are closed at once",
  ),
  header_ms: Milliseconds.default(10_000).describe(
    "How long a caller may take to send its header fields, in milliseconds",
  ),
  request_ms: Milliseconds.default(60_000).describe(
    "How long a caller may take to send a whole request, in milliseconds",
  ),
  idle_ms: Milliseconds.default(30_000).describe(
    "How long a connection may rest between requests, in milliseconds",
  ),
});

/** Certificate and key of the caller side. */
const TlsSettings = strict({
  cert_file: z.string().min(1).describe("The certificate chain, in PEM"),
  key_file: z.string().min(1).describe("Its private key, in PEM"),
  reload_ms: Milliseconds.default(5_000).describe(
    "How often the two files are looked at, in milliseconds; a new pair holds for new connections",
  ),
});

/** The settings file's schema. */
export const Settings = strict({
  instance: strict({
    id: InstanceId.describe("This instance's name, unlike any other's"),
    zone: ZoneId.describe("The availability zone it stands in"),
    region: RegionId.describe("The region it stands in"),
  }).describe("Who and where this instance is"),
  caller: strict({
    ...ListenAddress.shape,
    limits: CallerLimits.prefault({}).describe("What one caller may take"),
    tls: TlsSettings.optional().describe(
      "Certificate and key; without them callers are served in the clear",
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
    url: z.url({ protocol: /^https?$/ }).describe("The platform's service"),
    timeout_ms: z.number().int().min(10).max(60_000).default(2_000).describe(
      "How long one call may take, waiting watches apart, in milliseconds",
    ),
  }).describe("Where the document, status and instance list stand"),
  metrics: strict({
    host: z.string().min(1).max(255).describe("The StatsD server's address"),
    port: z.number().int().min(1).max(65_535).describe("Its UDP port"),
  }).optional().describe("Where metrics go; nowhere if not given"),
  tick_ms: z.number().int().min(10).max(10_000).default(100).describe(
    "How often the systems run, in milliseconds",
  ),
});
export type Settings = z.infer<typeof Settings>;

/**
 * Checks settings that were already parsed.
 *
 * Errors: `bad_settings`, with a path to each wrong value.
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
 * Reads and checks a TOML settings file.
 *
 * Errors: `bad_settings`, whether the file is missing, not TOML, or wrong.
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
