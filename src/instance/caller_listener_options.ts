/**
 * Limits and TLS of the caller listener, taken from the settings.
 *
 * @module
 */
import type { Clock, Log } from "../core/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { ListenerOptions } from "./listener.ts";

export function callerListenerOptions(
  { cfg, clock, log }: { cfg: Settings; clock: Clock; log: Log },
): ListenerOptions {
  const { limits, tls } = cfg.caller;
  return {
    limits: {
      headerBytes: limits.header_bytes,
      bodyBytes: limits.body_bytes,
      connections: limits.connections,
      connectionsPerAddress: limits.connections_per_address,
      headerMs: limits.header_ms,
      requestMs: limits.request_ms,
      idleMs: limits.idle_ms,
    },
    ...(tls === undefined ? {} : {
      tls: {
        files: {
          certFile: tls.cert_file,
          keyFile: tls.key_file,
          reloadIntervalMs: tls.reload_ms,
        },
        clock,
        log: log.child("tls"),
      },
    }),
  };
}
