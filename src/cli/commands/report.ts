/**
 * `magnoliahook report burn`: what consumed the services' error budgets.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Failure } from "../../core/mod.ts";
import { type SteeringDocument, zonesOf } from "../../document/mod.ts";
import type { Platform } from "../../store/mod.ts";
import {
  BURN_PREFIX,
  burnReport,
  parseSummary,
  reportHtml,
  reportText,
  rowsOf,
  type ZoneSummary,
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
    const { document } = loaded.value;
    const result = await readSummaries(platform, document);
    if (result.isErr()) return err(result.error);
    const summaries = result.value;
    const truncated = summaries.filter((s) => s.truncated).map((s) => s.zone);
    const report = burnReport({
      rows: summaries.flatMap(rowsOf),
      document,
      wall: ctx.clock.wall(),
      truncated: [...new Set(truncated)],
    });
    if (html) ctx.out(reportHtml(report));
    else ctx.out(opts.json ? JSON.stringify(report) : reportText(report));
    return ok(undefined);
  });
}

/** Lists by zone, so that no response grows with the number of zones. */
async function readSummaries(
  platform: Platform,
  document: SteeringDocument,
): Promise<Result<ZoneSummary[], Failure>> {
  const summaries: ZoneSummary[] = [];
  for (const { zone } of zonesOf(document)) {
    const listed = await platform.list(`${BURN_PREFIX}${zone}/`);
    if (listed.isErr()) return err(listed.error);
    for (const { value } of listed.value) {
      const summary = parseSummary(value);
      if (summary !== undefined) summaries.push(summary);
    }
  }
  return ok(summaries);
}
