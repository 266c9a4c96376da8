/**
 * `magnoliahook explain`: a request's path, from the logs of several instances.
 *
 * @module
 */
import { failure } from "../../core/mod.ts";
import {
  type CliContext,
  type CommonOptions,
  reportFailure,
} from "../context.ts";
import { EXIT, type ExitCode } from "../exit.ts";

type LogLine = Readonly<Record<string, unknown>> & {
  readonly time: number;
  readonly instance: string;
  readonly event: string;
};

/** How far before a request's log line earlier events are shown, in ms. */
const EARLIER_EVENTS_MS = 30_000;
/** Latest earlier events shown, for the instance and for its endpoints each. */
const MAX_EARLIER_EVENTS = 3;

/**
 * Prints each instance's log lines about a request in order of time, after its
 * earlier events about itself and the endpoints that it tried.
 */
export async function explain(
  ctx: CliContext,
  args: { readonly request: string; readonly files: readonly string[] },
  opts: CommonOptions,
): Promise<ExitCode> {
  const { request, files } = args;
  if (files.length === 0) {
    const message = "name the files that hold the logs";
    return reportFailure(ctx, opts, failure("bad_request", message));
  }
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      // Pushed singly: a day's log has more lines than a call can have arguments.
      for (const line of parseLines(await ctx.readFile(file))) lines.push(line);
    } catch (cause) {
      const message = `cannot read ${file}: ${String(cause)}`;
      return reportFailure(ctx, opts, failure("bad_request", message));
    }
  }
  lines.sort((a, b) => a.time - b.time);
  const requestLines = lines.filter((line) => line["request"] === request);
  if (requestLines.length === 0) {
    const message = `no line about request ${request}; one that went well is ` +
      "kept for one id in 64";
    return reportFailure(ctx, opts, failure("not_found", message));
  }
  for (const line of requestLines) {
    for (const e of earlierEvents(lines, line)) ctx.out(formatLine(e, opts));
    ctx.out(formatLine(line, opts));
  }
  return EXIT.ok;
}

/** Parses a log, ignoring text before the JSON and lines that are no events. */
function parseLines(text: string): LogLine[] {
  return text.split("\n").flatMap((raw) => {
    const jsonStart = raw.indexOf("{");
    if (jsonStart < 0) return [];
    try {
      const line = JSON.parse(raw.slice(jsonStart));
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

/** Earlier events of the line's instance, about itself or endpoints it tried. */
function earlierEvents(lines: readonly LogLine[], line: LogLine): LogLine[] {
  const tried = triedEndpoints(line);
  const before = lines.filter((other) =>
    other.instance === line.instance && other.time <= line.time &&
    other.time > line.time - EARLIER_EVENTS_MS &&
    other["request"] === undefined
  );
  const endpointEvents = before.filter((other) => {
    const endpoint = other["endpoint"];
    return typeof endpoint === "string" && tried.has(endpoint);
  });
  const instanceEvents = before.filter((other) =>
    other["endpoint"] === undefined
  );
  return [
    ...instanceEvents.slice(-MAX_EARLIER_EVENTS),
    ...endpointEvents.slice(-MAX_EARLIER_EVENTS),
  ].sort((a, b) => a.time - b.time);
}

/** Names in the `tried` field, where each is followed by its load in brackets. */
function triedEndpoints(line: LogLine): ReadonlySet<string> {
  const entries = String(line["tried"] ?? "").split(" ");
  return new Set(entries.map((entry) => entry.split("(", 1)[0] ?? ""));
}

function formatLine(line: LogLine, opts: CommonOptions): string {
  if (opts.json) return JSON.stringify(line);
  const { time, instance, event, level: _, ...rest } = line;
  const fields = Object.entries(rest)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  const timestamp = new Date(time).toISOString();
  return [timestamp, instance, event, ...fields].join(" ");
}
