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
 * Creates a key, adds its digest to the account and prints the key, which is
 * printed only after the digest is accepted and is stored nowhere.
 */
export function issueAccountKey(
  ctx: CliContext,
  { account, id }: { account: string; id?: string | undefined },
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, author }) => {
    const key = KEY_PREFIX + ctx.random.hex(KEY_BYTES);
    const keyId = id ?? `${account}-${ctx.random.hex(KEY_ID_BYTES)}`;
    const entry = { id: keyId, sha256: sha256(key) };
    const edited = await editSection(
      store,
      author,
      (current) => issueKey(current, account, entry),
    );
    return edited.map(({ manifest: { generation } }) => {
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
export function withdrawAccountKey(
  ctx: CliContext,
  { account, id }: { account: string; id: string },
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, author }) => {
    const edited = await editSection(
      store,
      author,
      (current) => withdrawKey(current, account, id),
    );
    return edited.map(({ manifest: { generation } }) =>
      ctx.out(
        opts.json
          ? JSON.stringify({ account, id, withdrawn: true, generation })
          : `key ${id} of account ${account} is withdrawn with generation ${generation}`,
      )
    );
  });
}
