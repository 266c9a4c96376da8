/**
 * The reference pages, generated from the tables and schemas that the code uses.
 *
 * @module
 */
import { ADMIN_ROUTES } from "../../src/admin/mod.ts";
import { EXIT_MEANING } from "../../src/cli/exit.ts";
import { COMMANDS } from "../../src/cli/program.ts";
import { LOG_TABLE, METRIC_TABLE } from "../../src/core/mod.ts";
import { SECTION_KINDS, SECTION_SCHEMAS } from "../../src/document/mod.ts";
import { Settings } from "../../src/settings/mod.ts";
import { openApi } from "./open_api.ts";
import { schemaTable } from "./schema_table.ts";
import { toYaml } from "./yaml.ts";

const GENERATED_NOTICE =
  "<!-- Made by `npm run reference` from the code; edit it there. -->";

/** Every page, by path relative to the repository root. */
export function referencePages(): ReadonlyMap<string, string> {
  return new Map([
    ["docs/CLI.md", cliPage()],
    ["docs/SETTINGS.md", settingsPage()],
    ["docs/DOCUMENT.md", documentPage()],
    ["docs/METRICS.md", metricsPage()],
    ["docs/LOGS.md", logsPage()],
    ["docs/ADMIN_API.yaml", toYaml(openApi(ADMIN_ROUTES))],
  ]);
}

function cliPage(): string {
  const commands = COMMANDS.map(({ usage, help, options, examples }) => {
    const flags = options.map((o) =>
      `| \`--${o.flag}${o.boolean ? "" : " VALUE"}\` | ${o.help} |`
    );
    return [
      `## ${usage.replace(/ [<[].*/, "")}`,
      `${help}.`,
      code([`magnoliahook ${usage} [options]`]),
      ["| Option | Meaning |", "| --- | --- |", ...flags].join("\n"),
      code(examples.map((e) => `magnoliahook ${e}`)),
    ].join("\n\n");
  });
  const codes = Object.entries(EXIT_MEANING)
    .map(([n, meaning]) => `| ${n} | ${meaning} |`);
  return page([
    "# Command line",
    "Commands read and write the document in the platform's store. Where it is, `--platform URL` or the settings file named by `--settings` says. Secrets come by environment variable or file and never as an argument, since every user of a machine can read a process's arguments: `MAGNOLIAHOOK_PLATFORM_TOKEN` is the platform's bearer token, `MAGNOLIAHOOK_TOKEN` or the file that `MAGNOLIAHOOK_TOKEN_FILE` names a role's token for the administration API.",
    "## Exit codes",
    ["| Code | Meaning |", "| --- | --- |", ...codes].join("\n"),
    ...commands,
  ]);
}

function settingsPage(): string {
  return page([
    "# Settings",
    "One TOML file for each entry instance holds what it cannot learn from the document: who and where it is, its listeners, and where the platform is. An unknown key is refused and the nearest one named.",
    code([
      "[instance]",
      'id = "gulf-a-1"',
      'zone = "gulf-a"',
      'region = "gulf"',
      "",
      "[caller]",
      'host = "10.1.0.5"',
      "port = 8443",
      "",
      "[caller.tls]",
      'cert_file = "/etc/magnoliahook/cert.pem"',
      'key_file = "/etc/magnoliahook/key.pem"',
      "",
      "[platform]",
      'url = "http://10.1.0.2:8500"',
    ], "toml"),
    schemaTable(Settings),
  ]);
}

function documentPage(): string {
  const sections = SECTION_KINDS.map((kind) =>
    [`## ${kind}`, schemaTable(SECTION_SCHEMAS[kind])].join("\n\n")
  );
  return page([
    "# Steering document",
    "The document consists of sections. A section is named by its kind, or by kind and a part such as `services/crewdesk`, so that several teams may keep parts of one kind; each has an owner, who edits it through the administration API or the command line. The whole document is checked before an edit is accepted, and an accepted edit raises the generation by one. A section's version is the generation that changed it last.",
    "In the tables `NAME` stands for an identifier that the team chooses, and `[]` for an entry of a list.",
    ...sections,
  ]);
}

function metricsPage(): string {
  const rows = Object.entries(METRIC_TABLE).map(([name, m]) =>
    `| \`magnoliahook.${name}\` | ${m.type} | ${m.unit} | ${
      m.tags.join(", ")
    } | ${m.help} |`
  );
  return page([
    "# Metrics",
    "Sent by StatsD over UDP to the address in the settings, with the tags `instance` and `zone` on each. No metric holds a key or a caller's own text.",
    [
      "| Name | Type | Unit | Tags | Meaning |",
      "| --- | --- | --- | --- | --- |",
      ...rows,
    ].join("\n"),
  ]);
}

function logsPage(): string {
  const rows = Object.entries(LOG_TABLE).map(([name, e]) => {
    const namespace = e.namespace === ""
      ? "magnoliahook"
      : `magnoliahook:${e.namespace}`;
    return `| \`${name}\` | \`${namespace}\` | ${
      e.fields.join(", ")
    } | ${e.help} |`;
  });
  return page([
    "# Logs",
    "One line an event on standard error: the event's name and its fields as JSON. `DEBUG=magnoliahook:*,magnoliahook` shows all of them, `DEBUG=magnoliahook:document` one namespace. No line holds a key or a caller's own text.",
    [
      "| Event | Namespace | Fields | Meaning |",
      "| --- | --- | --- | --- |",
      ...rows,
    ].join("\n"),
  ]);
}

function page(parts: readonly string[]): string {
  const [title = "", ...rest] = parts;
  return [title, GENERATED_NOTICE, ...rest].join("\n\n") + "\n";
}

function code(lines: readonly string[], language = "sh"): string {
  return ["```" + language, ...lines, "```"].join("\n");
}
