#!/usr/bin/env node
/**
 * The command line.
 *
 * @module
 */
import process from "node:process";
import { run } from "./program.ts";
import { systemContext } from "./system_context.ts";

process.exitCode = await run(systemContext(), process.argv);
