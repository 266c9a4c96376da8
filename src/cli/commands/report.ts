/**
 * `magnoliahook report burn`: what burned the services' budgets.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import {
  BURN_PREFIX,
  burnReport,
  parseSummary,
  reportHtml,
  reportText,
  rowsOf,
} from "../../slo/mod.ts";
import {
  type CliContext,
  type CommonOptions,
  withPlatform,
} from "../context.ts";
import type { ExitCode } from "../exit.ts";

/** Prints the report as text, JSON or HTML, from the summaries in the store. */
export function reportBurn(
  ctx: CliContext,
  { html }: { html: boolean },
  opts: CommonOptions,
): Promise<ExitCode> {
  return withPlatform(ctx, opts, async ({ store, platform }) => {
    const manifest = await store.manifest();
    if (manifest.isErr()) return err(manifest.error);
    const loaded = await store.load(manifest.value.value);
    if (loaded.isErr()) return err(loaded.error);
    const found = await platform.list(BURN_PREFIX);
    if (found.isErr()) return err(found.error);
    const summaries = found.value.map((v) => parseSummary(v.value))
      .filter((s) => s !== undefined);
    const truncated = summaries.filter((s) => s.truncated).map((s) => s.zone);
    const report = burnReport({
      rows: summaries.flatMap(rowsOf),
      document: loaded.value.document,
      wall: ctx.clock.wall(),
      truncated: [...new Set(truncated)],
    });
    if (html) ctx.out(reportHtml(report));
    else ctx.out(opts.json ? JSON.stringify(report) : reportText(report));
    return ok(undefined);
  });
}
