/**
 * Writes the reference pages and the examples: `npm run reference`.
 *
 * @module
 */
import { mkdir, writeFile } from "node:fs/promises";
import { dirname } from "node:path";
import { exampleFiles } from "./examples.ts";
import { referencePages } from "./pages.ts";

for (const [path, text] of [...referencePages(), ...exampleFiles()]) {
  await mkdir(dirname(path), { recursive: true });
  await writeFile(path, text);
}
