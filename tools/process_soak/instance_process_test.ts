import test from "ava";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { InstanceProcess } from "./instance_process.ts";

// Guards against findings by the connections of a killed process whose exit has
// not shown when a rolling stop reaches it.
test("a killed process is not stopped gracefully", async (t) => {
  const dir = await mkdtemp(join(tmpdir(), "magnoliahook-instance-"));
  const program = join(dir, "program.js");
  await writeFile(program, "setInterval(() => {}, 1000);");
  const instance = new InstanceProcess({
    id: "i1",
    zone: "z1",
    region: "r1",
    zones: { z1: "r1" },
    host: "127.0.0.1",
    storePort: 1,
    program,
    dir,
    graceS: 1,
  });
  instance.start();
  instance.stop();
  t.not(instance.stoppingSince, undefined);
  instance.kill();
  instance.stop();
  t.is(instance.stoppingSince, undefined);
  await instance.close();
  await rm(dir, { recursive: true, force: true });
});
