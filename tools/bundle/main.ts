/**
 * `npm run bundle`: makes the program in `target/`.
 *
 * @module
 */
import { bundle } from "./bundle.ts";
import { makeCodeCache } from "./code_cache.ts";

await bundle();
if (!await makeCodeCache()) {
  console.error("no code cache: the daemon starts slower without it");
}
