import test from "ava";
import { TextMetrics } from "../telemetry/mod.ts";
import { SettingsInForce } from "./mod.ts";

// Guards against metrics that show two settings in force at once.
test("only the last settings are in force", async (t) => {
  const metrics = new TextMetrics();
  const inForce = new SettingsInForce("1a2b", metrics);
  t.deepEqual(inForce.fields, { settings: "1a2b" });
  inForce.replace("3c4d");
  t.deepEqual(inForce.fields, { settings: "3c4d" });
  const text = await metrics.text();
  t.regex(text, /settings_in_force\{digest="1a2b"\} 0/);
  t.regex(text, /settings_in_force\{digest="3c4d"\} 1/);
});
