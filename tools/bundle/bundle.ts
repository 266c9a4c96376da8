/**
 * Bundles the daemon for the platform.
 *
 * Instances restart with a part of a core, and callers are refused until they
 * are up, so what a library loads and the daemon does not use is left out: of
 * zod the texts in other languages. The files are CommonJS, whose loader does
 * less work at a start than that of modules.
 *
 * @module
 */
import { rmSync } from "node:fs";
import { build, type BuildOptions, type Plugin } from "esbuild";
import { CODE_CACHE, DAEMON, PROGRAM } from "./program.ts";

/** The texts of zod that the daemon uses. */
const LOCALES = `export { default as en } from "./en.js";`;

const lean: Plugin = {
  name: "lean",
  setup(setup) {
    setup.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: LOCALES,
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

/** Bundles the daemon: the program and what it loads. */
export async function bundle(): Promise<void> {
  // The runtime tells sources apart by their length only.
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
    plugins: [lean],
    // The loader hands in what is required.
    banner: { js: "(function(require){" },
    footer: { js: "})" },
  });
}

/**
 * Bundles the daemon into one file that runs by itself.
 *
 * @param plugins Changes to what is bundled, before the usual ones.
 */
export async function bundleAlone(
  outfile: string,
  plugins: readonly Plugin[] = [],
): Promise<void> {
  await build({
    ...COMMON,
    entryPoints: ["platform/main.ts"],
    outfile,
    plugins: [...plugins, lean],
  });
}
