/**
 * The caller side's limits and certificate, as the settings give them.
 *
 * @module
 */
import type { Clock, Log } from "../core/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { ListenerOptions } from "./listener.ts";

/** Turns settings into a listener's options. */
export function callerOptions(
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
          reloadMs: tls.reload_ms,
        },
        clock,
        log: log.child("tls"),
      },
    }),
  };
}
