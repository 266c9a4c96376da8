/**
 * Bundles the daemon for the platform.
 *
 * Instances restart on a fraction of a core and callers are refused until they
 * are ready, so library code that the daemon does not use, such as zod's other
 * locales, is left out. The files are CommonJS because its loader does less work
 * at startup than the ES module loader.
 *
 * @module
 */
import { rmSync } from "node:fs";
import { build, type BuildOptions, type Plugin } from "esbuild";
import { CODE_CACHE, DAEMON, PROGRAM } from "./program.ts";

/** Replaces zod's index of locales; the daemon uses English only. */
const ENGLISH_LOCALE = `export { default as en } from "./en.js";`;

const englishOnly: Plugin = {
  name: "lean",
  setup(setup) {
    setup.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: ENGLISH_LOCALE,
    }));
  },
};

const COMMON: BuildOptions = {
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  minifyWhitespace: true,
};

/** Bundles the loader and the daemon that it runs. */
export async function bundle(): Promise<void> {
  // V8 compares sources by length only, so a stale cache could be accepted.
  rmSync(CODE_CACHE, { force: true });
  await build({
    ...COMMON,
    entryPoints: ["tools/bundle/loader.ts"],
    outfile: PROGRAM,
  });
  await build({
    ...COMMON,
    entryPoints: ["platform/main.ts"],
    outfile: DAEMON,
    plugins: [englishOnly],
    // The loader passes `require` to this function.
    banner: { js: "(function(require){" },
    footer: { js: "})" },
  });
}

/**
 * Bundles the daemon into one file that runs without the loader.
 *
 * @param plugins Plugins that run before the default ones.
 */
export async function bundleStandalone(
  outfile: string,
  plugins: readonly Plugin[] = [],
): Promise<void> {
  await build({
    ...COMMON,
    entryPoints: ["platform/main.ts"],
    outfile,
    plugins: [...plugins, englishOnly],
  });
}
