import test from "ava";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { LOG_TABLE } from "./log_table.ts";
import { METRIC_TABLE } from "./metric_table.ts";

const ROOTS = ["..", "../../platform"].map((path) =>
  new URL(path, import.meta.url).pathname
);
const METRIC = /\.(count|gauge|timing)\(\s*"([a-z_.]+)"/g;
const EVENT = /\.event\(\s*"([a-z_]+)"/g;

async function sources(): Promise<string[]> {
  const texts = await Promise.all(ROOTS.map(async (root) => {
    const files = await readdir(root, { recursive: true });
    const used = files
      .filter((f) => f.endsWith(".ts") && !f.endsWith("_test.ts"))
      .filter((f) => !f.includes("testing"));
    return await Promise.all(used.map((f) => readFile(join(root, f), "utf8")));
  }));
  return texts.flat();
}

test("METRIC_TABLE (core/metric_table.ts) lists exactly the metrics in the code", async (t) => {
  const used = new Map<string, string>();
  for (const text of await sources()) {
    for (const [, type = "", name = ""] of text.matchAll(METRIC)) {
      used.set(name, type);
    }
  }
  const listed = Object.entries(METRIC_TABLE).map(([n, m]) => [n, m.type]);
  t.deepEqual(Object.fromEntries([...used].sort()), Object.fromEntries(listed));
});

test("LOG_TABLE (core/log_table.ts) lists exactly the events in the code", async (t) => {
  const used = new Set<string>();
  for (const text of await sources()) {
    for (const [, name = ""] of text.matchAll(EVENT)) used.add(name);
  }
  t.deepEqual([...used].sort(), Object.keys(LOG_TABLE).sort());
});
