/**
 * Commands on drains.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { type Failure, fromZod } from "../../core/mod.ts";
import {
  addDrain,
  DEFAULT_DRAINS_SECTION,
  DrainEntry,
  editSection,
  removeDrain,
  type SectionName,
} from "../../document/mod.ts";
import {
  type CliContext,
  type CommonOptions,
  withPlatform,
} from "../context.ts";
import type { ExitCode } from "../exit.ts";

/** What to drain, and the section that the drain is written to. */
export interface DrainArgs {
  readonly kind: string;
  readonly id: string;
  readonly section?: string | undefined;
}

/** Adds or removes a drain. */
export function changeDrain(
  ctx: CliContext,
  { action, args }: { action: "add" | "remove"; args: DrainArgs },
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, author }) => {
    const drain = parseDrain(args);
    if (drain.isErr()) return err(drain.error);
    const section = (args.section ?? DEFAULT_DRAINS_SECTION) as SectionName;
    const edit = action === "add" ? addDrain : removeDrain;
    const edited = await editSection(
      store,
      author,
      (current) => edit(current, drain.value, section),
    );
    return edited.map(({ manifest: { generation }, document }) => {
      const { drains } = document;
      ctx.out(
        opts.json
          ? JSON.stringify({ generation, drains })
          : `${drains.length} drains are in force with generation ${generation}`,
      );
    });
  });
}

/** Prints the drains of all sections. */
export function listDrains(
  ctx: CliContext,
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store }) => {
    const manifest = await store.manifest();
    if (manifest.isErr()) return err(manifest.error);
    const loaded = await store.load(manifest.value.value);
    return loaded.map(({ document: { drains } }) => {
      if (opts.json) return ctx.out(JSON.stringify(drains));
      for (const drain of drains) ctx.out(`${drain.kind} ${drain.id}`);
    });
  });
}

function parseDrain(args: DrainArgs): Result<DrainEntry, Failure> {
  const { kind, id } = args;
  const parsed = DrainEntry.safeParse({ kind, id }, { reportInput: true });
  if (parsed.success) return ok(parsed.data);
  return err(fromZod("bad_request", parsed.error));
}
