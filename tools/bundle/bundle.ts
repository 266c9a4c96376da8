/**
 * Makes the daemon for the platform one file.
 *
 * Instances restart with a part of a core, and callers are refused until they
 * are up, so what a library loads and the daemon does not use is left out: of
 * undici all but connections and requests, of zod the texts in other languages.
 *
 * @module
 */
import { build, type Plugin } from "esbuild";

/** The parts of undici that the daemon uses. */
const UNDICI = `
  const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
  Dispatcher.prototype.request = require("undici/lib/api/api-request.js");
  exports.Agent = require("undici/lib/dispatcher/agent.js");
  exports.Client = require("undici/lib/dispatcher/client.js");
  exports.buildConnector = require("undici/lib/core/connect.js");
`;
/** The texts of zod that the daemon uses. */
const LOCALES = `export { default as en } from "./en.js";`;

const lean: Plugin = {
  name: "lean",
  setup(setup) {
    setup.onResolve({ filter: /^undici$/ }, () => ({
      path: "undici",
      namespace: "lean",
    }));
    setup.onLoad({ filter: /^undici$/, namespace: "lean" }, () => ({
      contents: UNDICI,
      resolveDir: ".",
    }));
    setup.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: LOCALES,
    }));
  },
};

/**
 * Bundles the daemon into a file.
 *
 * @param plugins Changes to what is bundled, before the usual ones.
 */
export async function bundle(
  outfile: string,
  plugins: readonly Plugin[] = [],
): Promise<void> {
  await build({
    entryPoints: ["platform/main.ts"],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    minifyWhitespace: true,
    plugins: [...plugins, lean],
    banner: {
      js: "import { createRequire } from 'node:module';" +
        "const require = createRequire(import.meta.url);",
    },
  });
}
