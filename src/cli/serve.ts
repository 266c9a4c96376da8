/**
 * `magnoliahook serve`: the library as a daemon.
 *
 * @module
 */
import process from "node:process";
import {
  DebugLog,
  describe,
  MemoryMetrics,
  type Metrics,
  StatsdMetrics,
  SystemClock,
  SystemRandom,
} from "../core/mod.ts";
import { HttpEndpointClient } from "../endpoints/mod.ts";
import { Instance } from "../instance/mod.ts";
import { ConnectPeerTransport } from "../peers/mod.ts";
import { HttpPlatform } from "../platform/mod.ts";
import { loadSettings, type Settings } from "../settings/mod.ts";

/** Exit codes of the command line; docs/CLI.md lists them. */
export const EXIT = { ok: 0, failed: 1, badInput: 2 } as const;

/** Runs an instance until SIGTERM or SIGINT; gives the exit code. */
export async function serve(file: string): Promise<number> {
  const cfg = await loadSettings(file);
  if (cfg.isErr()) {
    console.error(describe(cfg.error));
    return EXIT.badInput;
  }
  const metrics = metricsFor(cfg.value);
  const { url, timeout_ms } = cfg.value.platform;
  const instance = await Instance.start({
    cfg: cfg.value,
    platform: new HttpPlatform({
      baseUrl: url,
      timeoutMs: timeout_ms,
      metrics,
    }),
    transport: new ConnectPeerTransport(),
    endpoints: new HttpEndpointClient(),
    clock: new SystemClock(),
    random: new SystemRandom(),
    metrics,
    log: new DebugLog(),
  });
  if (instance.isErr()) {
    console.error(describe(instance.error));
    return EXIT.failed;
  }
  const { callerUrl, adminUrl } = instance.value;
  console.log(JSON.stringify({ event: "serving", callerUrl, adminUrl }));
  await stopSignal();
  await instance.value.stop();
  return EXIT.ok;
}

function metricsFor(cfg: Settings): Metrics {
  if (cfg.metrics === undefined) return new MemoryMetrics();
  const globalTags = { instance: cfg.instance.id, zone: cfg.instance.zone };
  return new StatsdMetrics({ ...cfg.metrics, globalTags });
}

function stopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}
