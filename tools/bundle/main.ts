/**
 * `npm run bundle`: makes `target/magnoliahook.js`.
 *
 * @module
 */
import { bundle } from "./bundle.ts";

await bundle("target/magnoliahook.js");
