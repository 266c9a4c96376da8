#!/usr/bin/env node
/**
 * The command line.
 *
 * @module
 */
import process from "node:process";
import sade from "sade";
import { serve } from "./serve.ts";

const program = sade("magnoliahook");
program
  .version("0.1.0")
  .command("serve", "Run an entry instance until SIGTERM")
  .option("--settings", "The settings file (TOML)")
  .example("serve --settings /etc/magnoliahook.toml")
  .action(async (opts: { settings?: string }) => {
    process.exitCode = await serve(opts.settings ?? "magnoliahook.toml");
  });
program.parse(process.argv);
