import test from "ava";
import { execFile } from "node:child_process";
import { readFile } from "node:fs/promises";
import { promisify } from "node:util";

const ROOT = new URL("../../", import.meta.url).pathname;

test("the package is built from src only, without tests and fixtures", async (t) => {
  // Guards against shipping test fixtures by accident, among them the private
  // keys of test certificates.
  const args = ["tsc", "-p", "tsconfig.build.json", "--listFilesOnly"];
  const { stdout } = await promisify(execFile)("npx", args, { cwd: ROOT });
  const built = stdout.split("\n").filter((f) =>
    f.startsWith(ROOT) && !f.includes("/node_modules/")
  );
  t.true(built.length > 100);
  t.deepEqual(built.filter((f) => !f.startsWith(`${ROOT}src/`)), []);
  t.deepEqual(built.filter((f) => /_test\.ts$|\/testing\//.test(f)), []);
  const pack = JSON.parse(await readFile(`${ROOT}package.json`, "utf8"));
  t.deepEqual(pack.files, ["dist", "README.md", "LICENSE"]);
});
