/**
 * Commands on keys of client accounts.
 *
 * @module
 */
import {
  editSection,
  issueKey,
  sha256,
  withdrawKey,
} from "../../document/mod.ts";
import {
  type CliContext,
  type CommonOptions,
  withPlatform,
} from "../context.ts";
import type { ExitCode } from "../exit.ts";

const KEY_BYTES = 32;
const KEY_ID_BYTES = 4;
const KEY_PREFIX = "mh_";

/**
 * Makes a key, puts its digest into the account, and prints the key. It is
 * printed only once the digest is accepted, and stands nowhere else.
 */
export function issue(
  ctx: CliContext,
  { account, id }: { account: string; id?: string | undefined },
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, author }) => {
    const key = KEY_PREFIX + ctx.random.hex(KEY_BYTES);
    const keyId = id ?? `${account}-${ctx.random.hex(KEY_ID_BYTES)}`;
    const entry = { id: keyId, sha256: sha256(key) };
    const done = await editSection(
      store,
      author,
      (now) => issueKey(now, account, entry),
    );
    return done.map(({ manifest: { generation } }) => {
      if (opts.json) {
        ctx.out(JSON.stringify({ account, id: keyId, key, generation }));
        return;
      }
      ctx.err(
        `key ${keyId} of account ${account} is valid from generation ${generation}; it is shown only now:`,
      );
      ctx.out(key);
    });
  });
}

/** Withdraws a key; connections that use it are refused within seconds. */
export function withdraw(
  ctx: CliContext,
  { account, id }: { account: string; id: string },
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, author }) => {
    const done = await editSection(
      store,
      author,
      (now) => withdrawKey(now, account, id),
    );
    return done.map(({ manifest: { generation } }) =>
      ctx.out(
        opts.json
          ? JSON.stringify({ account, id, withdrawn: true, generation })
          : `key ${id} of account ${account} is withdrawn with generation ${generation}`,
      )
    );
  });
}
