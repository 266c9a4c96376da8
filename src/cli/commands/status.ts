/**
 * `magnoliahook status`: the state of the platform and, on request, of an instance.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { Deadline, fail, type Failure } from "../../core/mod.ts";
import {
  type CliContext,
  type CommonOptions,
  withPlatform,
} from "../context.ts";
import type { ExitCode } from "../exit.ts";

/** The environment variable that holds a role's token. */
export const TOKEN_ENV = "MAGNOLIAHOOK_TOKEN";
/** The environment variable that names a file with a role's token. */
export const TOKEN_FILE_ENV = "MAGNOLIAHOOK_TOKEN_FILE";

const TIMEOUT_MS = 5_000;
/** Statuses of a request without a valid token, or without the right. */
const REFUSED_STATUSES: ReadonlySet<number> = new Set([401, 403]);

/** Prints the generation, the listed instances, and an instance's own status. */
export function status(
  ctx: CliContext,
  { admin }: { admin?: string | undefined },
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, platform }) => {
    const manifest = await store.manifest();
    if (manifest.isErr()) return err(manifest.error);
    const instances = await platform.instances();
    if (instances.isErr()) return err(instances.error);
    const instanceStatus = admin === undefined
      ? ok(undefined)
      : await fetchStatus(ctx, admin);
    if (instanceStatus.isErr()) return err(instanceStatus.error);
    const { generation } = manifest.value.value;
    if (opts.json) {
      const all = {
        generation,
        instances: instances.value,
        own: instanceStatus.value,
      };
      ctx.out(JSON.stringify(all));
      return ok(undefined);
    }
    ctx.out(`generation ${generation}`);
    for (const i of instances.value) {
      ctx.out(`${i.instance}  ${i.zone}  ${i.state}  ${i.callerUrl}`);
    }
    if (instanceStatus.value !== undefined) {
      ctx.out(JSON.stringify(instanceStatus.value, undefined, 2));
    }
    return ok(undefined);
  });
}

async function fetchStatus(
  ctx: CliContext,
  admin: string,
): Promise<Result<unknown, Failure>> {
  const token = await readToken(ctx);
  if (token.isErr()) return err(token.error);
  const deadline = new Deadline(TIMEOUT_MS);
  try {
    const res = await request(new URL("/v1/status", admin), {
      headers: { authorization: `Bearer ${token.value}` },
      signal: deadline.signal,
    });
    const body = await res.body.json();
    if (res.statusCode === 200) return ok(body);
    const isRefused = REFUSED_STATUSES.has(res.statusCode);
    const code = isRefused ? "forbidden" : "not_ready";
    return fail(code, `${admin} answered with ${res.statusCode}`);
  } catch (cause) {
    return fail("not_ready", `${admin} cannot be reached: ${String(cause)}`);
  } finally {
    deadline.close();
  }
}

async function readToken(ctx: CliContext): Promise<Result<string, Failure>> {
  const file = ctx.env[TOKEN_FILE_ENV];
  if (file === undefined) return ok(ctx.env[TOKEN_ENV] ?? "");
  try {
    return ok((await ctx.readFile(file)).trim());
  } catch (cause) {
    return fail("bad_request", `cannot read ${file}: ${String(cause)}`);
  }
}
