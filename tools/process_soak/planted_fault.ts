/**
 * The program with a mistake in it, to see that the soak finds it.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import type { Plugin } from "esbuild";

/** A mistake: a text of one source file, and what stands there instead. */
export interface PlantedFault {
  readonly file: string;
  readonly text: string;
  readonly instead: string;
}

/** Replaces the text while the program is bundled; fails if it is not there. */
export function planted({ file, text, instead }: PlantedFault): Plugin {
  return {
    name: "planted",
    setup(setup) {
      const filter = new RegExp(`${file.replaceAll(".", "\\.")}$`);
      setup.onLoad({ filter }, async ({ path }) => {
        const source = await readFile(path, "utf8");
        if (!source.includes(text)) throw new Error(`${path} lacks "${text}"`);
        return { contents: source.replace(text, instead), loader: "ts" };
      });
    },
  };
}
