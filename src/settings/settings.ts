/**
 * Settings of one entry instance: what it cannot learn from the document.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { err, ok, type Result } from "neverthrow";
import { parse } from "smol-toml";
import { z } from "zod";
import {
  fail,
  type Failure,
  fromZod,
  InstanceId,
  RegionId,
  strict,
  ZoneId,
} from "../core/mod.ts";

/** Where a listener stands; port 0 lets the machine choose. */
const ListenAddress = strict({
  host: z.string().default("127.0.0.1"),
  port: z.number().int().min(0).max(65_535).default(0),
});

/** The settings file's schema. */
export const Settings = strict({
  /** Who and where this instance is. */
  instance: strict({
    id: InstanceId,
    zone: ZoneId,
    region: RegionId,
  }),
  /** Listener for callers. */
  caller: ListenAddress.prefault({}),
  /** Listener for other instances. */
  peer: ListenAddress.prefault({}),
  /** Listener for the administration API. */
  admin: strict({
    ...ListenAddress.shape,
    /**
     * SHA-256 of a token that may edit every section while the document names
     * no role, so that an empty document can be begun through the API.
     */
    bootstrap_token_sha256: z.string().regex(
      /^[0-9a-f]{64}$/,
      "must be a SHA-256 digest in lower-case hexadecimal",
    ).optional(),
  }).prefault({}),
  platform: strict({
    url: z.url({ protocol: /^https?$/ }),
    timeout_ms: z.number().int().min(10).max(60_000).default(2_000),
  }),
  metrics: strict({
    host: z.string(),
    port: z.number().int().min(1).max(65_535),
  }).optional(),
  /** How often the systems run, in milliseconds. */
  tick_ms: z.number().int().min(10).max(10_000).default(100),
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
  const parsed = Settings.safeParse(raw, { reportInput: true });
  if (parsed.success) return ok(parsed.data);
  return err(fromZod("bad_settings", parsed.error));
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
