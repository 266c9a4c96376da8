/**
 * `npm run bundle`: makes the program in `target/`.
 *
 * @module
 */
import { bundle } from "./bundle.ts";
import { makeCodeCache } from "./code_cache.ts";

await bundle();
const made = await makeCodeCache().catch((cause) => {
  console.error(`the daemon does not run here: ${String(cause)}`);
  return false;
});
if (!made) {
  console.error("no code cache: the daemon starts slower without it");
}
