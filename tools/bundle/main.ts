/**
 * `npm run bundle`: builds the program into `target/`.
 *
 * @module
 */
import { bundle } from "./bundle.ts";
import { makeCodeCache } from "./code_cache.ts";

await bundle();
const cacheWritten = await makeCodeCache().catch((cause) => {
  console.error(
    `cannot run the daemon to create its code cache: ${String(cause)}`,
  );
  return false;
});
if (!cacheWritten) {
  console.error(
    "code cache not written; the daemon will start more slowly without it",
  );
}
