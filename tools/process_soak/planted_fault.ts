/**
 * Builds the program with a deliberate defect that the soak has to detect.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import type { Plugin } from "esbuild";

/** A source mutation: a text in one source file, and its replacement. */
export interface SourceMutation {
  readonly file: string;
  readonly text: string;
  readonly replacement: string;
}

/** Applies the mutation during bundling; fails if the file lacks the text. */
export function mutateSource(
  { file, text, replacement }: SourceMutation,
): Plugin {
  return {
    name: "planted",
    setup(setup) {
      const filter = new RegExp(`${file.replaceAll(".", "\\.")}$`);
      setup.onLoad({ filter }, async ({ path }) => {
        const source = await readFile(path, "utf8");
        if (!source.includes(text)) throw new Error(`${path} lacks "${text}"`);
        return { contents: source.replace(text, replacement), loader: "ts" };
      });
    },
  };
}
