/**
 * `magnoliahook serve`: runs an entry instance as a daemon.
 *
 * @module
 */
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
import { HttpPlatform } from "../store/mod.ts";
import { loadSettings, type Settings } from "../settings/mod.ts";
import { type CliContext, PLATFORM_TOKEN_ENV } from "./context.ts";
import { EXIT, type ExitCode } from "./exit.ts";

/** Runs an instance until SIGTERM or SIGINT; returns the exit code. */
export async function serve(
  file: string,
  ctx: CliContext,
): Promise<ExitCode> {
  const cfg = await loadSettings(file);
  if (cfg.isErr()) {
    ctx.err(describe(cfg.error));
    return EXIT.badInput;
  }
  const metrics = createMetrics(cfg.value);
  const { url, timeout_ms } = cfg.value.platform;
  const instance = await Instance.start({
    cfg: cfg.value,
    platform: new HttpPlatform({
      baseUrl: url,
      token: ctx.env[PLATFORM_TOKEN_ENV],
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
    ctx.err(describe(instance.error));
    return EXIT.failed;
  }
  const { callerUrl, adminUrl } = instance.value;
  ctx.out(JSON.stringify({ event: "serving", callerUrl, adminUrl }));
  await ctx.stopped();
  await instance.value.stop();
  return EXIT.ok;
}

function createMetrics(cfg: Settings): Metrics {
  if (cfg.metrics === undefined) return new MemoryMetrics();
  const globalTags = { instance: cfg.instance.id, zone: cfg.instance.zone };
  return new StatsdMetrics({ ...cfg.metrics, globalTags });
}
