import test from "ava";
import { parseSchedule } from "./fault_schedule.ts";

test("a schedule is ordered by time", (t) => {
  const schedule = parseSchedule("endpoint drain@1100, kill all@0");
  t.deepEqual(schedule._unsafeUnwrap(), [
    { name: "kill all", atMs: 0 },
    { name: "endpoint drain", atMs: 1_100 },
  ]);
});

for (const text of ["", "kill", "kill@", "kill@soon", "nothing@5"]) {
  test(`"${text}" is not a schedule`, (t) => {
    t.regex(parseSchedule(text)._unsafeUnwrapErr(), /is not FAULT@MS/);
  });
}
