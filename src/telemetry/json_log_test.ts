import test from "ava";
import { ManualClock } from "../core/mod.ts";
import { JsonLog } from "./mod.ts";

// Guards against lines that do not identify the settings in effect.
test("each line carries the settings in effect when it is written", (t) => {
  const lines: string[] = [];
  const sink = { write: (line: string) => void lines.push(line) };
  let settings = "1a2b";
  const log = JsonLog.to(
    sink,
    { instance: "i1" },
    new ManualClock(),
    () => ({ settings }),
  );
  log.event("instance_started");
  settings = "3c4d";
  log.event("request_refused", { plan: 7 });
  const read = lines.map((line) => JSON.parse(line));
  t.deepEqual(read.map((line) => line.settings), ["1a2b", "3c4d"]);
  t.is(read[1].plan, 7);
  t.is(read[1].instance, "i1");
});
