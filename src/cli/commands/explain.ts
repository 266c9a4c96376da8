/**
 * `magnoliahook explain`: a request's way, from the logs of several instances.
 *
 * @module
 */
import { failure } from "../../core/mod.ts";
import { type CliContext, type CommonOptions, report } from "../context.ts";
import { EXIT, type ExitCode } from "../exit.ts";

/** One line of a log. */
type LogLine = Readonly<Record<string, unknown>> & {
  readonly time: number;
  readonly instance: string;
  readonly event: string;
};

/** What an instance believed matters so long before a request, in ms. */
const BELIEF_MS = 30_000;
/** Lines of each belief that are shown, the latest. */
const SHOWN = 3;

/**
 * Prints what each instance decided about a request in order of time, and what
 * it had learned before of the endpoints that it tried.
 */
export async function explain(
  ctx: CliContext,
  args: { readonly request: string; readonly files: readonly string[] },
  opts: CommonOptions,
): Promise<ExitCode> {
  const { request, files } = args;
  if (files.length === 0) {
    const why = "name the files that hold the logs";
    return report(ctx, opts, failure("bad_request", why));
  }
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      // One by one: a day's log has more lines than a call takes arguments.
      for (const line of parseLines(await ctx.readFile(file))) lines.push(line);
    } catch (cause) {
      const why = `cannot read ${file}: ${String(cause)}`;
      return report(ctx, opts, failure("bad_request", why));
    }
  }
  lines.sort((a, b) => a.time - b.time);
  const own = lines.filter((line) => line["request"] === request);
  if (own.length === 0) {
    const why = `no line about request ${request}; one that went well is ` +
      "kept for one id in 64";
    return report(ctx, opts, failure("not_found", why));
  }
  for (const line of own) {
    for (const belief of beliefs(lines, line)) ctx.out(shown(belief, opts));
    ctx.out(shown(line, opts));
  }
  return EXIT.ok;
}

/** Lines of a log, whatever stands before the JSON; others are passed over. */
function parseLines(text: string): LogLine[] {
  return text.split("\n").flatMap((raw) => {
    const begins = raw.indexOf("{");
    if (begins < 0) return [];
    try {
      const line = JSON.parse(raw.slice(begins));
      return isLogLine(line) ? [line] : [];
    } catch {
      return [];
    }
  });
}

function isLogLine(line: unknown): line is LogLine {
  if (typeof line !== "object" || line === null) return false;
  const { time, instance, event } = line as Record<string, unknown>;
  return typeof time === "number" && typeof instance === "string" &&
    typeof event === "string";
}

/** What the instance had learned before that bears on the line. */
function beliefs(lines: readonly LogLine[], line: LogLine): LogLine[] {
  const tried = String(line["tried"] ?? "");
  const before = lines.filter((other) =>
    other.instance === line.instance && other.time <= line.time &&
    other.time > line.time - BELIEF_MS && other["request"] === undefined
  );
  const ofEndpoints = before.filter((other) => {
    const endpoint = other["endpoint"];
    return typeof endpoint === "string" && tried.includes(endpoint);
  });
  const ofItself = before.filter((other) => other["endpoint"] === undefined);
  return [...ofItself.slice(-SHOWN), ...ofEndpoints.slice(-SHOWN)]
    .sort((a, b) => a.time - b.time);
}

function shown(line: LogLine, opts: CommonOptions): string {
  if (opts.json) return JSON.stringify(line);
  const { time, instance, event, level: _, ...rest } = line;
  const fields = Object.entries(rest)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  const at = new Date(time).toISOString();
  return [at, instance, event, ...fields].join(" ");
}
