/**
 * The command line's commands, their options, examples and help.
 *
 * @module
 */
import sade from "sade";
import { unknownNameMessage } from "../core/mod.ts";
import {
  apply,
  check,
  exportDocument,
  importDocument,
  show,
} from "./commands/document.ts";
import { changeDrain, listDrains } from "./commands/drains.ts";
import { explain } from "./commands/explain.ts";
import { issueAccountKey, withdrawAccountKey } from "./commands/keys.ts";
import { reportBurn } from "./commands/report.ts";
import { status } from "./commands/status.ts";
import type { CliContext, CommonOptions } from "./context.ts";
import type { ExitCode } from "./exit.ts";
import { serve } from "./serve.ts";

export interface OptionSpec {
  readonly flag: string;
  readonly help: string;
  /** Takes no value. */
  readonly boolean?: boolean;
}

/** Parsed options by name. */
export type OptionValues =
  & CommonOptions
  & Readonly<Record<string, string | number | boolean | undefined>>;

export interface CommandSpec {
  readonly usage: string;
  readonly help: string;
  readonly options: readonly OptionSpec[];
  readonly examples: readonly string[];
  readonly run: (
    ctx: CliContext,
    args: readonly (string | undefined)[],
    opts: OptionValues,
  ) => Promise<ExitCode>;
}

const JSON_OPTION: OptionSpec = {
  flag: "json",
  help: "Print JSON for programs, failures too",
  boolean: true,
};
const PLATFORM_OPTIONS: readonly OptionSpec[] = [
  { flag: "platform", help: "The platform's URL" },
  { flag: "settings", help: "A settings file that names the platform" },
  JSON_OPTION,
];
const EDIT_OPTIONS: readonly OptionSpec[] = [
  ...PLATFORM_OPTIONS,
  {
    flag: "author",
    help: "Who edits; else MAGNOLIAHOOK_AUTHOR, else USER",
  },
];
const PLATFORM_FLAG = "--platform http://127.0.0.1:8500";

/** All commands, in the order in which help lists them. */
export const COMMANDS: readonly CommandSpec[] = [
  {
    usage: "serve",
    help: "Run an entry instance until SIGTERM",
    options: [{ flag: "settings", help: "The settings file (TOML)" }],
    examples: ["serve --settings /etc/magnoliahook.toml"],
    run: (ctx, _args, opts) =>
      serve(optionalString(opts.settings) ?? "magnoliahook.toml", ctx),
  },
  {
    usage: "check <path>",
    help: "Check an exported document, or a directory of sections, offline",
    options: [JSON_OPTION],
    examples: ["check sections/", "check document.json --json"],
    run: (ctx, [path = ""], opts) => check(ctx, path, opts),
  },
  {
    usage: "apply <section> <file>",
    help: "Replace a section by a JSON or TOML file",
    options: [
      ...EDIT_OPTIONS,
      {
        flag: "expect",
        help: "Refuse unless the section stands at this version",
      },
    ],
    examples: [
      `apply rates rates.toml ${PLATFORM_FLAG}`,
      `apply services/crewdesk crewdesk.json --expect 7 ${PLATFORM_FLAG}`,
    ],
    run: (ctx, [section = "", file = ""], opts) => {
      const version = opts["expect"] === undefined
        ? undefined
        : Number(opts["expect"]);
      return apply(ctx, { section, file, version }, opts);
    },
  },
  {
    usage: "show [section]",
    help: "Print what sections there are, or a section's content",
    options: PLATFORM_OPTIONS,
    examples: [
      `show ${PLATFORM_FLAG}`,
      `show rates --json ${PLATFORM_FLAG}`,
    ],
    run: (ctx, [section], opts) => show(ctx, section, opts),
  },
  {
    usage: "export [file]",
    help: "Write the whole document to a file or to standard output",
    options: PLATFORM_OPTIONS,
    examples: [`export document.json ${PLATFORM_FLAG}`],
    run: (ctx, [file], opts) => exportDocument(ctx, file, opts),
  },
  {
    usage: "import <path>",
    help: "Put an exported document, or a directory, on an empty platform",
    options: EDIT_OPTIONS,
    examples: [
      `import document.json ${PLATFORM_FLAG}`,
      `import sections/ ${PLATFORM_FLAG}`,
    ],
    run: (ctx, [path = ""], opts) => importDocument(ctx, path, opts),
  },
  {
    usage: "key issue <account>",
    help: "Make a key of an account; it is printed once, its digest is kept",
    options: [...EDIT_OPTIONS, { flag: "id", help: "The key's name" }],
    examples: [`key issue county-1 --id county-1-2027 ${PLATFORM_FLAG}`],
    run: (ctx, [account = ""], opts) =>
      issueAccountKey(ctx, { account, id: optionalString(opts["id"]) }, opts),
  },
  {
    usage: "key withdraw <account> <id>",
    help: "Withdraw a key of an account",
    options: EDIT_OPTIONS,
    examples: [`key withdraw county-1 county-1-2026 ${PLATFORM_FLAG}`],
    run: (ctx, [account = "", id = ""], opts) =>
      withdrawAccountKey(ctx, { account, id }, opts),
  },
  drainCommand("add", "Give an endpoint, zone, region or instance no new work"),
  drainCommand("remove", "End a drain"),
  {
    usage: "drain list",
    help: "Print the drains in force",
    options: PLATFORM_OPTIONS,
    examples: [`drain list --json ${PLATFORM_FLAG}`],
    run: (ctx, _args, opts) => listDrains(ctx, opts),
  },
  {
    usage: "status",
    help: "Print the generation and the listed instances",
    options: [
      ...PLATFORM_OPTIONS,
      {
        flag: "admin",
        help:
          "Also ask the instance at this URL; a role's token comes by MAGNOLIAHOOK_TOKEN or MAGNOLIAHOOK_TOKEN_FILE",
      },
    ],
    examples: [
      `status ${PLATFORM_FLAG}`,
      `status --admin http://127.0.0.1:9000 ${PLATFORM_FLAG}`,
    ],
    run: (ctx, _args, opts) =>
      status(ctx, { admin: optionalString(opts["admin"]) }, opts),
  },
  {
    usage: "explain <request>",
    help:
      "Print a request's way from the logs of several instances, named after it, with what each had learned before",
    options: [JSON_OPTION],
    examples: ["explain 9c41d07be2a35f68 entry-1.log entry-2.log"],
    run: (ctx, [request = ""], opts) =>
      explain(ctx, { request, files: extraArgs(opts) }, opts),
  },
  {
    usage: "report burn",
    help:
      "Print burn rates, budget left and what burned it, per service and account",
    options: [
      ...PLATFORM_OPTIONS,
      {
        flag: "html",
        help: "Print one HTML file with plots",
        boolean: true,
      },
    ],
    examples: [
      `report burn ${PLATFORM_FLAG}`,
      `report burn --html ${PLATFORM_FLAG} > burn.html`,
      `report burn --json ${PLATFORM_FLAG}`,
    ],
    run: (ctx, _args, opts) =>
      reportBurn(ctx, { html: opts["html"] === true }, opts),
  },
];

function drainCommand(action: "add" | "remove", help: string): CommandSpec {
  return {
    usage: `drain ${action} <kind> <id>`,
    help,
    options: [
      ...EDIT_OPTIONS,
      {
        flag: "section",
        help: "The section it stands in; drains if not given",
      },
    ],
    examples: [`drain ${action} zone gulf-a ${PLATFORM_FLAG}`],
    run: (ctx, [kind = "", id = ""], opts) => {
      const args = { kind, id, section: optionalString(opts["section"]) };
      return changeDrain(ctx, { action, args }, opts);
    },
  };
}

/** Runs the command in `argv`, which has the form of `process.argv`. */
export async function run(
  ctx: CliContext,
  argv: readonly string[],
): Promise<ExitCode> {
  const program = sade("magnoliahook").version(VERSION);
  for (const command of COMMANDS) registerCommand(program, command, ctx);
  const parsed = program.parse([...argv], {
    lazy: true,
    unknown: (flag) => unknownNameMessage("option", flag, commandFlags(argv)),
    boolean: ["json", "html"],
    string: STRING_FLAGS,
  });
  // For help and version, `parse` prints the text and returns no command.
  if (parsed === undefined) return 0;
  return await parsed.handler(...parsed.args);
}

const VERSION = "0.1.0";
const STRING_FLAGS = [
  ...new Set(
    COMMANDS.flatMap((c) => c.options).filter((o) => !o.boolean)
      .map((o) => o.flag),
  ),
];

function registerCommand(
  program: sade.Sade,
  command: CommandSpec,
  ctx: CliContext,
): void {
  program.command(command.usage, command.help);
  for (const option of command.options) {
    if (option.boolean) program.option(`--${option.flag}`, option.help, false);
    else program.option(`--${option.flag}`, option.help);
  }
  for (const example of command.examples) program.example(example);
  program.action((...handlerArgs: unknown[]) => {
    const opts = handlerArgs.at(-1) as OptionValues;
    const args = handlerArgs.slice(0, -1) as (string | undefined)[];
    return command.run(ctx, args.map(optionalString), opts);
  });
}

/** Options of the called command, for suggestions on a mistyped option. */
function commandFlags(argv: readonly string[]): string[] {
  const words = argv.slice(2).filter((a) => !a.startsWith("-")).join(" ");
  const command = COMMANDS.find((c) =>
    words.startsWith(c.usage.replace(/ [<[].*/, ""))
  );
  return (command?.options ?? []).map((o) => `--${o.flag}`);
}

/** Positional arguments beyond those in the command's usage. */
function extraArgs(opts: OptionValues): string[] {
  const words: unknown = opts["_"];
  return Array.isArray(words) ? words.map(String) : [];
}

function optionalString(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}
