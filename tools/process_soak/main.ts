/**
 * `npm run soak:processes -- --seed N --seconds S --per-zone N`: runs the real
 * program as processes, and exits 1 if a property was violated. The last line
 * of output is JSON.
 *
 * @module
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { ProcessSoak } from "./process_soak.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seconds: { type: "string", default: "40" },
    "per-zone": { type: "string", default: "2" },
    program: { type: "string", default: "target/magnoliahook.cjs" },
  },
});
const result = await new ProcessSoak({
  seed: Number(values.seed),
  seconds: Number(values.seconds),
  perZone: Number(values["per-zone"]),
  program: values.program,
}).run();
const { violations, trace, lines, ...figures } = result;
const [first] = violations;
if (first !== undefined) {
  for (const line of trace) console.log(line);
  for (const { atMs, property, detail } of violations.slice(0, 10)) {
    console.log(`seed ${result.seed}, ${atMs} ms: "${property}": ${detail}`);
  }
  for (const line of lines) console.log(line);
}
console.log(JSON.stringify({
  ...figures,
  violations: violations.length,
  findings: [...new Set(violations.map((v) => v.property))],
}));
process.exit(violations.length > 0 ? 1 : 0);
