/**
 * Exhaustive search of the small lending model, deeper than in CI.
 *
 * Usage: `npm run budgets:search -- --depth 8 --messages 3`
 *
 * @module
 */
import { parseArgs } from "node:util";
import { searchLending } from "../../src/decisions/budgets/testing/lend_model.ts";

const { values: opts } = parseArgs({
  options: {
    depth: { type: "string", default: "8" },
    messages: { type: "string", default: "3" },
  },
});
const bounds = {
  depth: Number(opts.depth),
  messages: Number(opts.messages),
};
const startedAt = performance.now();
const found = searchLending(bounds);
const seconds = Math.round((performance.now() - startedAt) / 1_000);
console.log(JSON.stringify({ ...bounds, ...found, seconds }));
