/**
 * Renders a burn report as text and as a self-contained HTML file.
 *
 * @module
 */
import type { BurnEntry, BurnPoint, BurnReport } from "./burn_report.ts";

const WIDTH = 640;
const HEIGHT = 120;
const PERCENT = 100;

/** Renders the report as text: per service and account, rates and causes. */
export function reportText(report: BurnReport): string {
  if (report.entries.length === 0) return "no requests were counted";
  const lines = report.entries.flatMap(entryLines);
  const cut = report.truncated.map((zone) =>
    `zone ${zone}: rows were omitted because of the summary's size limit`
  );
  return [...lines, ...cut].join("\n");
}

function entryLines(entry: BurnEntry): string[] {
  const burns = entry.windows.map((w) =>
    `${w.window} ${w.availabilityBurn.toFixed(2)}/${w.latencyBurn.toFixed(2)}`
  );
  const alerts = entry.alerts.length === 0
    ? ""
    : `  ALERT ${entry.alerts.join(" ")}`;
  const left = (entry.budgetLeft * PERCENT).toFixed(1);
  const head =
    `${entry.service} ${entry.account}  budget left ${left} %  burn (availability/latency) ${
      burns.join("  ")
    }${alerts}`;
  const causes = entry.causes.map(([cause, n]) => `${cause} ${n}`).join(", ");
  return causes === "" ? [head] : [head, `  burned by ${causes}`];
}

/** Renders the report as one HTML file with plots as inline SVG. */
export function reportHtml(report: BurnReport): string {
  const at = new Date(report.at).toISOString();
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report ${at}</title>
<style>
body { font: 14px sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #ccc; padding: 2px 8px; text-align: right; }
.alert { color: #b00; font-weight: bold; }
</style></head><body>
<h1>Service-level burn</h1>
<p>As of ${at}. A burn rate of 1 uses the budget up as fast as the objective
allows. In the plots availability is the solid line, latency the dashed one, and
the dotted line stands at 1.</p>
${report.entries.map(entryHtml).join("\n")}
</body></html>
`;
}

function entryHtml(entry: BurnEntry): string {
  const rows = entry.windows.map((w) =>
    `<tr><td>${w.window}</td><td>${w.good}</td><td>${w.bad}</td><td>${w.slow}</td><td>${
      w.availabilityBurn.toFixed(2)
    }</td><td>${w.latencyBurn.toFixed(2)}</td></tr>`
  );
  const causes = entry.causes
    .map(([cause, n]) => `${escapeHtml(cause)}: ${n}`).join(", ");
  const alerts = entry.alerts.length === 0
    ? ""
    : `<p class="alert">Above ${entry.alerts.join(" and ")}</p>`;
  return `<h2>${escapeHtml(entry.service)} ${escapeHtml(entry.account)}</h2>
<p>Budget left of three days: ${
    (entry.budgetLeft * PERCENT).toFixed(1)
  } %. Burned by: ${causes || "nothing"}.</p>
${alerts}
<table><tr><th>window</th><th>good</th><th>bad</th><th>slow</th><th>availability burn</th><th>latency burn</th></tr>
${rows.join("\n")}</table>
${plot(entry.points)}`;
}

function plot(points: readonly BurnPoint[]): string {
  const first = points[0]?.at ?? 0;
  const span = Math.max(1, (points.at(-1)?.at ?? 0) - first);
  const top = Math.max(
    2,
    ...points.map((p) => Math.max(p.availabilityBurn, p.latencyBurn)),
  );
  const y = (burn: number) => (HEIGHT * (1 - burn / top)).toFixed(1);
  const line = (burn: (p: BurnPoint) => number) =>
    points.map((p) => {
      const x = (WIDTH * (p.at - first) / span).toFixed(1);
      return `${x},${y(burn(p))}`;
    }).join(" ");
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" height="${HEIGHT}" role="img">
<rect width="${WIDTH}" height="${HEIGHT}" fill="#f7f7f7"/>
<line x1="0" x2="${WIDTH}" y1="${y(1)}" y2="${
    y(1)
  }" stroke="#888" stroke-dasharray="2 3"/>
<polyline fill="none" stroke="#b00" stroke-width="2" points="${
    line((p) => p.availabilityBurn)
  }"/>
<polyline fill="none" stroke="#06c" stroke-width="2" stroke-dasharray="6 3" points="${
    line((p) => p.latencyBurn)
  }"/>
<text x="4" y="12" font-size="11">${top.toFixed(1)}</text>
</svg>`;
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
