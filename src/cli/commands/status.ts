/**
 * `magnoliahook status`: what the platform and, if named, an instance say.
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
export const TOKEN = "MAGNOLIAHOOK_TOKEN";
/** The environment variable that names a file with a role's token. */
export const TOKEN_FILE = "MAGNOLIAHOOK_TOKEN_FILE";

const TIMEOUT_MS = 5_000;

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
    const own = admin === undefined ? ok(undefined) : await ask(ctx, admin);
    if (own.isErr()) return err(own.error);
    const { generation } = manifest.value.value;
    if (opts.json) {
      const all = { generation, instances: instances.value, own: own.value };
      ctx.out(JSON.stringify(all));
      return ok(undefined);
    }
    ctx.out(`generation ${generation}`);
    for (const i of instances.value) {
      ctx.out(`${i.instance}  ${i.zone}  ${i.state}  ${i.callerUrl}`);
    }
    if (own.value !== undefined) {
      ctx.out(JSON.stringify(own.value, undefined, 2));
    }
    return ok(undefined);
  });
}

async function ask(
  ctx: CliContext,
  admin: string,
): Promise<Result<unknown, Failure>> {
  const token = await tokenOf(ctx);
  if (token.isErr()) return err(token.error);
  const deadline = new Deadline(TIMEOUT_MS);
  try {
    const res = await request(new URL("/v1/status", admin), {
      headers: { authorization: `Bearer ${token.value}` },
      signal: deadline.signal,
    });
    const body = await res.body.json();
    if (res.statusCode === 200) return ok(body);
    return fail("forbidden", `${admin} answered with ${res.statusCode}`);
  } catch (cause) {
    return fail("not_ready", `${admin} cannot be reached: ${String(cause)}`);
  } finally {
    deadline.close();
  }
}

async function tokenOf(ctx: CliContext): Promise<Result<string, Failure>> {
  const file = ctx.env[TOKEN_FILE];
  if (file === undefined) return ok(ctx.env[TOKEN] ?? "");
  try {
    return ok((await ctx.readFile(file)).trim());
  } catch (cause) {
    return fail("bad_request", `cannot read ${file}: ${String(cause)}`);
  }
}
