/**
 * `npm run bench -- NAME`: runs one benchmark, which prints a table and ends
 * with a line of JSON.
 *
 * @module
 */
import process from "node:process";
import { benchDecisions } from "./decisions/decisions.ts";
import { benchLookup } from "./lookup.ts";

/** Benchmarks by name. */
const BENCHES: Readonly<Record<string, () => void | Promise<void>>> = {
  decisions: benchDecisions,
  lookup: benchLookup,
};

const BAD_INPUT = 2;
const name = process.argv[2] ?? "";
const bench = Object.hasOwn(BENCHES, name) ? BENCHES[name] : undefined;
if (bench === undefined) {
  console.error(`usage: bench ${Object.keys(BENCHES).join("|")}`);
  process.exitCode = BAD_INPUT;
} else await bench();
