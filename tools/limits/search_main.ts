/**
 * Searches courses of demand, limits, delays and restarts that pass a limit of an
 * endpoint, deeper than in CI.
 *
 * Usage: `npm run limits:search -- --runs 1000 --seed 1`
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import * as fc from "fast-check";
import {
  COURSES,
  playCourse,
  SEARCHED_FLEETS,
} from "../../src/decisions/endpoint_limits/testing/limit_search.ts";

const { values: opts } = parseArgs({
  options: {
    runs: { type: "string", default: "200" },
    seed: { type: "string", default: "1" },
  },
});
const [runs, seed] = [Number(opts.runs), Number(opts.seed)];
let fullest = 0;
const exceeded: unknown[] = [];
fc.assert(
  fc.property(COURSES, SEARCHED_FLEETS, (course, fleet) => {
    const most = playCourse(course, fleet);
    fullest = Math.max(fullest, most);
    if (most > 1) exceeded.push({ most, fleet, course });
  }),
  { numRuns: runs, seed },
);
console.log(JSON.stringify({ runs, seed, fullest, exceeded }));
process.exit(exceeded.length > 0 ? 1 : 0);
