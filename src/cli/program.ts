/**
 * The command line's commands, their options, examples and help.
 *
 * @module
 */
import sade from "sade";
import { unknownName } from "../core/mod.ts";
import {
  apply,
  check,
  exportDocument,
  importDocument,
  show,
} from "./commands/document.ts";
import { changeDrain, listDrains } from "./commands/drains.ts";
import { explain } from "./commands/explain.ts";
import { issue, withdraw } from "./commands/keys.ts";
import { reportBurn } from "./commands/report.ts";
import { status } from "./commands/status.ts";
import type { CliContext, CommonOptions } from "./context.ts";
import type { ExitCode } from "./exit.ts";
import { serve } from "./serve.ts";

/** One option of a command. */
export interface OptionSpec {
  readonly flag: string;
  readonly help: string;
  /** Present without a value. */
  readonly boolean?: boolean;
}

/** Options as they come, by name. */
export type OptionValues =
  & CommonOptions
  & Readonly<Record<string, string | number | boolean | undefined>>;

/** One command. */
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
const AT = "--platform http://127.0.0.1:8500";

/** Every command, in the order of the help. */
export const COMMANDS: readonly CommandSpec[] = [
  {
    usage: "serve",
    help: "Run an entry instance until SIGTERM",
    options: [{ flag: "settings", help: "The settings file (TOML)" }],
    examples: ["serve --settings /etc/magnoliahook.toml"],
    run: (ctx, _args, opts) =>
      serve(text(opts.settings) ?? "magnoliahook.toml", ctx),
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
      `apply rates rates.toml ${AT}`,
      `apply services/crewdesk crewdesk.json --expect 7 ${AT}`,
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
    examples: [`show ${AT}`, `show rates --json ${AT}`],
    run: (ctx, [section], opts) => show(ctx, section, opts),
  },
  {
    usage: "export [file]",
    help: "Write the whole document to a file or to standard output",
    options: PLATFORM_OPTIONS,
    examples: [`export document.json ${AT}`],
    run: (ctx, [file], opts) => exportDocument(ctx, file, opts),
  },
  {
    usage: "import <path>",
    help: "Put an exported document, or a directory, on an empty platform",
    options: EDIT_OPTIONS,
    examples: [`import document.json ${AT}`, `import sections/ ${AT}`],
    run: (ctx, [path = ""], opts) => importDocument(ctx, path, opts),
  },
  {
    usage: "key issue <account>",
    help: "Make a key of an account; it is printed once, its digest is kept",
    options: [...EDIT_OPTIONS, { flag: "id", help: "The key's name" }],
    examples: [`key issue county-1 --id county-1-2027 ${AT}`],
    run: (ctx, [account = ""], opts) =>
      issue(ctx, { account, id: text(opts["id"]) }, opts),
  },
  {
    usage: "key withdraw <account> <id>",
    help: "Withdraw a key of an account",
    options: EDIT_OPTIONS,
    examples: [`key withdraw county-1 county-1-2026 ${AT}`],
    run: (ctx, [account = "", id = ""], opts) =>
      withdraw(ctx, { account, id }, opts),
  },
  drainCommand("add", "Give an endpoint, zone, region or instance no new work"),
  drainCommand("remove", "End a drain"),
  {
    usage: "drain list",
    help: "Print the drains in force",
    options: PLATFORM_OPTIONS,
    examples: [`drain list --json ${AT}`],
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
    examples: [`status ${AT}`, `status --admin http://127.0.0.1:9000 ${AT}`],
    run: (ctx, _args, opts) =>
      status(ctx, { admin: text(opts["admin"]) }, opts),
  },
  {
    usage: "explain <request>",
    help:
      "Print a request's way from the logs of several instances, named after it, with what each had learned before",
    options: [JSON_OPTION],
    examples: ["explain 9c41d07be2a35f68 entry-1.log entry-2.log"],
    run: (ctx, [request = ""], opts) =>
      explain(ctx, { request, files: rest(opts) }, opts),
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
      `report burn ${AT}`,
      `report burn --html ${AT} > burn.html`,
      `report burn --json ${AT}`,
    ],
    run: (ctx, _args, opts) =>
      reportBurn(ctx, { html: opts["html"] === true }, opts),
  },
];

function drainCommand(what: "add" | "remove", help: string): CommandSpec {
  return {
    usage: `drain ${what} <kind> <id>`,
    help,
    options: [
      ...EDIT_OPTIONS,
      {
        flag: "section",
        help: "The section it stands in; drains if not given",
      },
    ],
    examples: [`drain ${what} zone gulf-a ${AT}`],
    run: (ctx, [kind = "", id = ""], opts) => {
      const args = { kind, id, section: text(opts["section"]) };
      return changeDrain(ctx, { what, args }, opts);
    },
  };
}

/** Runs the command that `argv` names, as `process.argv` has it. */
export async function run(
  ctx: CliContext,
  argv: readonly string[],
): Promise<ExitCode> {
  const program = sade("magnoliahook").version(VERSION);
  for (const command of COMMANDS) declare(program, command, ctx);
  const found = program.parse([...argv], {
    lazy: true,
    unknown: (flag) => unknownName("option", flag, flagsOf(argv)),
    boolean: ["json", "html"],
    string: STRING_FLAGS,
  });
  // Help and version print and give nothing to run.
  if (found === undefined) return 0;
  return await found.handler(...found.args);
}

const VERSION = "0.1.0";
const STRING_FLAGS = [
  ...new Set(
    COMMANDS.flatMap((c) => c.options).filter((o) => !o.boolean)
      .map((o) => o.flag),
  ),
];

function declare(
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
  program.action((...given: unknown[]) => {
    const opts = given.at(-1) as OptionValues;
    const args = given.slice(0, -1) as (string | undefined)[];
    return command.run(ctx, args.map(text), opts);
  });
}

/** The options of the command that was called, for the hint at a mistyped one. */
function flagsOf(argv: readonly string[]): string[] {
  const words = argv.slice(2).filter((a) => !a.startsWith("-")).join(" ");
  const command = COMMANDS.find((c) =>
    words.startsWith(c.usage.replace(/ [<[].*/, ""))
  );
  return (command?.options ?? []).map((o) => `--${o.flag}`);
}

/** Words after those that the usage names. */
function rest(opts: OptionValues): string[] {
  const words: unknown = opts["_"];
  return Array.isArray(words) ? words.map(String) : [];
}

function text(value: unknown): string | undefined {
  return value === undefined ? undefined : String(value);
}
